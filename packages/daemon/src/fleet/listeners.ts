/**
 * Listeners of one event, called in the order in which they were added.
 */
export const createListeners = <A extends unknown[]>() => {
  const listeners: Array<(...values: A) => void> = []
  return {
    add: (listener: (...values: A) => void): void => { listeners.push(listener) },
    emit: (...values: A): void => { for (const listener of listeners) listener(...values) }
  }
}
