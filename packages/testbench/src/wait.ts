/**
 * Waits by polling.
 */

const POLL_MS = 25

/**
 * Polls until `read` returns a value other than undefined and false, and returns that value.
 * @throws Error when it takes longer than timeoutMs
 */
export const waitUntil = async <T>(what: string, timeoutMs: number, read: () => T | undefined | false | Promise<T | undefined | false>): Promise<T> => {
  const endMs = performance.now() + timeoutMs
  while (performance.now() < endMs) {
    const value = await read()
    if (value !== undefined && value !== false) return value
    await new Promise(resolve => { setTimeout(resolve, POLL_MS) })
  }
  throw new Error(`timed out after ${timeoutMs} ms: ${what}`)
}
