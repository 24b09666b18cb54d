/**
 * Confines exceptions of a library to one connection. undici and node:http handle
 * the bytes and the end of a connection in listeners that they put on its socket.
 * An exception in one of them would reach `uncaughtException`, where the connection
 * is unknown, so the listeners are wrapped when they are added.
 *
 * Not covered are callbacks that a library defers by itself (timers, `setImmediate`,
 * microtasks) and those of a native parser. An exception there still ends the process.
 */
import { channel } from 'node:diagnostics_channel'
import type { EventEmitter } from 'node:events'
import type { Socket } from 'node:net'
import type { Readable } from 'node:stream'

/** The library that threw, by the side of its connection. */
export type GuardedSide = 'target' | 'client' | 'caller' | 'peer'

/** The address is that of the other end. */
export type LibraryException = { side: GuardedSide, address: string, error: unknown }

type Listener = (...args: unknown[]) => void

/** Reported through a channel, because connections are opened in places that have no log. */
const exceptions = channel('wisteriavalve.library-exception')

/** @returns a function that ends the subscription */
export const onLibraryException = (report: (exception: LibraryException) => void): (() => void) => {
  const listener = (message: unknown): void => report(message as LibraryException)
  exceptions.subscribe(listener)
  return () => { exceptions.unsubscribe(listener) }
}

/** Wraps the listeners that are added from now on. Those added with `once` are left as they are. */
export const guardListeners = (emitter: EventEmitter, onException: (error: unknown, event: string | symbol, retry: () => void) => void): void => {
  const add = emitter.on.bind(emitter)
  const addGuarded = (event: string | symbol, listener: Listener): EventEmitter => {
    // `once` adds a wrapper of its own, which it removes by identity.
    if ('listener' in listener) return add(event, listener)
    const guarded: Listener = (...args) => {
      const run = (): void => { Reflect.apply(listener, emitter, args) }
      try {
        run()
      } catch (error) {
        onException(error, event, run)
      }
    }
    // Lets `removeListener` find the wrapper by the listener.
    return add(event, Object.assign(guarded, { listener }))
  }
  Object.assign(emitter, { on: addGuarded, addListener: addGuarded })
}

const toError = (error: unknown): Error => error instanceof Error ? error : new Error(String(error))

type Connection = Omit<LibraryException, 'error'>

/**
 * Closes a connection when a listener of the library throws.
 * @param onException called before the connection is closed
 */
export const guardConnection = (socket: Socket, connection: Connection, onException?: (error: Error) => void): void =>
  guardListeners(socket, (error, event, retry) => {
    exceptions.publish({ ...connection, error } satisfies LibraryException)
    onException?.(toError(error))
    socket.destroy(toError(error))
    if (event !== 'close') return
    // undici takes a connection out of its client in its listener of the close, and a client with a connection
    // that is not taken out never sends again. The exception came from the response, which is not handled again.
    try {
      retry()
    } catch {}
  })

/** Does the same for the stream from which a library reads the body of a request. */
export const guardBody = (stream: Readable, connection: Connection, onException: (error: Error) => void): void =>
  guardListeners(stream, error => {
    exceptions.publish({ ...connection, error } satisfies LibraryException)
    onException(toError(error))
  })

/** Does the same for the client of one connection, which emits an exception of a request that it fails as an error. */
export const guardClient = (client: EventEmitter, connection: Connection, onException: (error: Error) => void): void => {
  client.on('error', error => {
    exceptions.publish({ ...connection, error } satisfies LibraryException)
    onException(toError(error))
  })
}
