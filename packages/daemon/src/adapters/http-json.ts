/**
 * Reads small documents from the platform, limited in time and size.
 */
import type { Result } from '@wisteriavalve/common'
import { withDeadline } from './deadline.js'
import { createSmallRequestClient, type SmallResponse } from './small-request.js'

export type HttpReader = {
  get: (url: string, options: { timeoutMs: number, signal?: AbortSignal }) => Promise<Result<HttpResponse, string>>
  close: () => Promise<void>
}

export type HttpResponse = SmallResponse

const CONNECTIONS_MAX = 8
const KEEP_ALIVE_MS = 15_000
const CONNECT_TIMEOUT_MS = 1_000

export const describeError = (error: unknown): string => {
  if (!(error instanceof Error)) return String(error)
  const code = 'code' in error && typeof error.code === 'string' ? error.code : ''
  return error.message || code || error.name
}

/** @param bytesMax maximum size of a response body */
export const createHttpReader = (bytesMax: number): HttpReader => {
  const client = createSmallRequestClient({ bytesMax, connectionsMax: CONNECTIONS_MAX, connectTimeoutMs: CONNECT_TIMEOUT_MS, keepAliveMs: KEEP_ALIVE_MS })
  const get: HttpReader['get'] = async (url, { timeoutMs, signal }) => {
    try {
      return { ok: true, value: await withDeadline(timeoutMs, signal, deadline => client.send(url, { method: 'GET' }, deadline)) }
    } catch (error) {
      return { ok: false, error: describeError(error) }
    }
  }
  return { get, close: client.close }
}

export const parseJson = (bytes: Uint8Array): unknown => {
  try {
    return JSON.parse(Buffer.from(bytes).toString('utf8'))
  } catch {
    return undefined
  }
}
