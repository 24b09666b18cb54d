/**
 * Sends one health probe: a GET of the health path with a limit on time and
 * body size. Each probe opens a new connection and never uses one of the
 * connections for requests.
 */
import type { ProbeResult } from '@wisteriavalve/policy'
import { isBackendHealth, type Target } from '@wisteriavalve/schema'
import { withDeadline } from '../adapters/deadline.js'
import { parseJson } from '../adapters/http-json.js'
import { createSmallRequestClient } from '../adapters/small-request.js'

export type ProbeRunner = {
  probe: (target: Target, healthPath: string) => Promise<ProbeResult>
  close: () => Promise<void>
}

const TIMEOUT_MS = 1000
const BODY_BYTES_MAX = 16_384
const CONNECT_ERRORS = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EHOSTDOWN', 'UND_ERR_CONNECT_TIMEOUT'])

const toProbeFailure = (error: unknown): ProbeResult => {
  const code = error instanceof Error && 'code' in error ? String(error.code) : ''
  if (CONNECT_ERRORS.has(code)) return { ok: false, failure: 'connect-failed' }
  return { ok: false, failure: code.startsWith('ECONN') || code === 'EPIPE' || code === 'UND_ERR_SOCKET' ? 'reset' : 'timeout' }
}

const formatHost = (host: string): string => host.includes(':') ? `[${host}]` : host

export const createProbeRunner = (nowMs: () => number): ProbeRunner => {
  const client = createSmallRequestClient({ bytesMax: BODY_BYTES_MAX, connectionsMax: 1, connectTimeoutMs: TIMEOUT_MS })

  const readHealth = async (url: string, signal: AbortSignal): Promise<ProbeResult> => {
    const startMs = nowMs()
    const { status, body } = await client.send(url, { method: 'GET', closesConnection: true }, signal)
    const health = parseJson(body)
    if (status !== 200 || !isBackendHealth(health)) return { ok: false, failure: 'error-status' }
    return { ok: true, state: health.state, load: { inFlight: health.inFlight, slots: health.slots }, latencyMs: nowMs() - startMs }
  }

  return {
    probe: async (target, healthPath) => {
      try {
        return await withDeadline(TIMEOUT_MS, undefined, signal => readHealth(`http://${formatHost(target.host)}:${target.port}${healthPath}`, signal))
      } catch (error) {
        return toProbeFailure(error)
      }
    },
    close: client.close
  }
}
