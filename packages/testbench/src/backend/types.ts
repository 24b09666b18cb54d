/**
 * Types of the backend server test double and of the events that it records.
 */

export type BackendOptions = {
  id: string
  slots: number
  seed: number
  /** Maximum number of requests that wait for a slot; further ones are shed. */
  queueMax?: number
  /** Median of the log-normally distributed service time. */
  serviceTimeMs?: number
  /** Standard deviation of the logarithm of the service time. */
  sigma?: number
  answerBytes?: number
  host?: string
  port?: number
  /** Duration after the start in which the server is slow and reports `starting`. */
  coldMs?: number
  neighbours?: NeighbourOptions
}

/** Phases in which other work on the host takes most of the processor time. */
export type NeighbourOptions = {
  meanQuietMs: number
  meanBusyMs: number
  /** Factor on service times in a busy phase. */
  slowdown: number
}

/** Behaviour that tests change while the server runs. */
export type BackendBehaviour = {
  /** Factor on service times; high for a straggler. */
  slowdown: number
  /** Responds to each request with status 500 immediately. */
  failFast: boolean
  /** Refuses each request with status 503 and x-request-not-run. */
  shed: boolean
  /** Resets the connection after this many bytes of the response body. */
  breakAnswerAfterBytes?: number
  /** honest: the actual load; stale: always the first report; idle: always no load. */
  loadReport: 'honest' | 'stale' | 'idle'
  /** honest: the actual state; ready: always ready, also while the server fails or drains. */
  health: 'honest' | 'ready'
  /** Whether responses carry x-draining while the server drains. */
  drainHeader: boolean
  /** Whether responses echo the x-request-id of their request. */
  echoesRequestIds: boolean
}

/** Event that the server records. */
export type BackendEvent =
  | { type: 'started', requestId: string }
  | { type: 'refused', requestId: string }
  | { type: 'answered', requestId: string }
  /** The connection was closed before the response was complete. */
  | { type: 'cancelled', requestId: string }
  /** complete is false when the upload was aborted; intact is true when it had the announced checksum. */
  | { type: 'upload', requestId: string, complete: boolean, intact: boolean, sizeBytes: number }
  | { type: 'drain-began' }
  | { type: 'arrived-after-drain', requestId: string, afterDrainMs: number }

/** timeMs is Unix time in ms. */
export type BackendEventWithServer = BackendEvent & { serverId: string, timeMs: number }

export type Backend = {
  id: string
  host: string
  port: number
  setBehaviour: (changes: Partial<BackendBehaviour>) => void
  inFlight: () => number
  probeCount: () => number
  connectionCount: () => number
  /** Starts to drain. Resolves when all accepted requests have ended. Does not stop the server. */
  drain: () => Promise<void>
  /** Closes the server and resets all connections, as a crash of the process does. */
  kill: () => Promise<void>
  /** Drains, accepts connections for another graceMs, then closes. */
  stop: (graceMs?: number) => Promise<void>
}
