/**
 * Headers between caller and backend server. Raw header lists alternate names
 * and values, as node:http and undici give them.
 */
import { CALL_DEPTH_MAX, REQUEST_TIMEOUT_MAX_MS, RETRY_ALLOWANCE_DEFAULT } from './constants.js'

/** RFC 9110, 7.6.1, and the older names that are still in use. */
const HOP_BY_HOP = ['connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'transfer-encoding', 'upgrade']
const REQUEST_DROPPED = new Set([...HOP_BY_HOP, 'trailer', 'expect', 'x-request-timeout-ms', 'x-retry-allowance', 'x-call-depth', 'x-request-id', 'x-forwarded-for'])
/** x-result-code and x-result-class are this node's statement about the request, so a backend server cannot make it. */
const RESPONSE_DROPPED = new Set([...HOP_BY_HOP, 'x-request-id', 'endpoint-load-metrics', 'x-draining', 'x-request-not-run', 'x-result-code', 'x-result-class'])
/** Framing and routing must not be removable by naming them in Connection. */
const KEPT = new Set(['host', 'content-length', 'content-type'])
const NOT_IN_TRAILERS = new Set([...RESPONSE_DROPPED, 'content-length', 'host', 'trailer', 'content-type', 'content-encoding', 'set-cookie'])

export type ControlHeaders = { timeoutMs?: number, allowance: number, depth: number }

const EMPTY: ReadonlySet<string> = new Set()

const connectionNames = (value: string | undefined): ReadonlySet<string> => {
  if (value === undefined || value === 'keep-alive' || value === 'close') return EMPTY
  return new Set(value.toLowerCase().split(',').map(name => name.trim()).filter(name => !KEPT.has(name)))
}

const copy = (raw: readonly string[], dropped: ReadonlySet<string>, named: ReadonlySet<string>): string[] => {
  const kept: string[] = []
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = (raw[index] as string).toLowerCase()
    if (dropped.has(name) || (named.size > 0 && named.has(name))) continue
    kept.push(raw[index] as string, raw[index + 1] as string)
  }
  return kept
}

/** Request headers that pass to the backend server, without the control headers. */
export const forwardedRequestHeaders = (raw: readonly string[], connection: string | undefined): string[] =>
  copy(raw, REQUEST_DROPPED, connectionNames(connection))

/** Response headers that pass to the caller. */
export const forwardedResponseHeaders = (raw: readonly string[], connection: string | undefined): string[] =>
  copy(raw, RESPONSE_DROPPED, connectionNames(connection))

export const forwardedTrailers = (raw: readonly string[]): [string, string][] => {
  const kept = copy(raw, NOT_IN_TRAILERS, EMPTY)
  return kept.flatMap((name, index) => index % 2 === 0 ? [[name, kept[index + 1] as string] as [string, string]] : [])
}

const readWhole = (text: string | string[] | undefined, min: number, max: number): number | undefined | 'invalid' => {
  if (text === undefined) return undefined
  if (typeof text !== 'string' || !/^\d{1,9}$/.test(text)) return 'invalid'
  const value = Number(text)
  return value >= min && value <= max ? value : 'invalid'
}

/** A call depth above the limit is a result of its own, so any whole number is accepted here. */
export const parseControlHeaders = (headers: NodeJS.Dict<string | string[]>): ControlHeaders | { invalid: string } => {
  const timeoutMs = readWhole(headers['x-request-timeout-ms'], 1, REQUEST_TIMEOUT_MAX_MS)
  if (timeoutMs === 'invalid') return { invalid: 'x-request-timeout-ms' }
  const allowance = readWhole(headers['x-retry-allowance'], 0, 100)
  if (allowance === 'invalid') return { invalid: 'x-retry-allowance' }
  const depth = readWhole(headers['x-call-depth'], 0, 999_999_999)
  if (depth === 'invalid') return { invalid: 'x-call-depth' }
  return { timeoutMs, allowance: allowance ?? RETRY_ALLOWANCE_DEFAULT, depth: depth ?? 0 }
}

export const isTooDeep = (depth: number): boolean => depth > CALL_DEPTH_MAX

const REQUEST_ID = /^[\x21-\x7e]{1,128}$/

export const isRequestId = (text: unknown): text is string => typeof text === 'string' && REQUEST_ID.test(text)

/** Value of the first header with this lower-case name. */
export const rawHeader = (raw: readonly string[], name: string): string | undefined => {
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const key = raw[index] as string
    if (key.length === name.length && key.toLowerCase() === name) return raw[index + 1]
  }
  return undefined
}
