/**
 * Types of the backend server stand-in and of what it records.
 */

export type BackendOptions = {
  id: string
  slots: number
  seed: number
  /** Requests that wait for a slot; more are shed. */
  queueMax?: number
  /** Median service time; the distribution is log-normal. */
  serviceTimeMs?: number
  /** Standard deviation of the logarithm of the service time. */
  sigma?: number
  answerBytes?: number
  host?: string
  port?: number
  /** After its start the server reports `starting` and is slow for this time. */
  coldMs?: number
  neighbours?: NeighbourOptions
}

/** Phases in which other work on the host takes most of its processor. */
export type NeighbourOptions = {
  meanQuietMs: number
  meanBusyMs: number
  /** Service takes this many times as long in a busy phase. */
  slowdown: number
}

/** What tests switch while the server runs. */
export type BackendBehaviour = {
  /** Service takes this many times as long; a straggler has a high value. */
  slowdown: number
  /** Answers each request with 500 at once. */
  failFast: boolean
  /** Refuses each request with 503 and x-request-not-run. */
  shed: boolean
  /** Resets the connection after this many bytes of the answer's body. */
  breakAnswerAfterBytes?: number
  /** honest; stale: repeats the first report; idle: always claims to be idle. */
  loadReport: 'honest' | 'stale' | 'idle'
  /** honest; ready: claims to be ready even while it fails or drains. */
  health: 'honest' | 'ready'
  /** Whether responses carry x-draining while the server drains. */
  drainHeader: boolean
}

/** One thing that the server records. Times are Unix time in ms. */
export type BackendEvent =
  | { type: 'started', requestId: string }
  | { type: 'refused', requestId: string }
  | { type: 'answered', requestId: string }
  /** The caller's connection closed before the answer was complete. */
  | { type: 'cancelled', requestId: string }
  /** complete is false when the upload broke off; intact says whether it had the announced checksum. */
  | { type: 'upload', requestId: string, complete: boolean, intact: boolean, sizeBytes: number }
  | { type: 'drain-began' }
  | { type: 'arrived-after-drain', requestId: string, afterDrainMs: number }

export type BackendEventWithServer = BackendEvent & { serverId: string, timeMs: number }

export type Backend = {
  id: string
  host: string
  port: number
  behave: (changes: Partial<BackendBehaviour>) => void
  inFlight: () => number
  probeCount: () => number
  connectionCount: () => number
  /** Begins to drain; resolves when all accepted requests are answered. Does not stop the server. */
  drain: () => Promise<void>
  /** Ends all connections by a reset, as the death of the process does. */
  kill: () => Promise<void>
  /** Drains, waits for graceMs, then closes. */
  stop: (graceMs?: number) => Promise<void>
}
