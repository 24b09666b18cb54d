/**
 * Filtering and parsing of headers between caller and backend server. Raw
 * header lists alternate names and values, as in node:http and undici.
 */
import { CALL_DEPTH_MAX, RELAYED_ATTEMPTS_HEADER, RELAYED_BY_HEADER, RELAYED_REVISION_HEADER, REQUEST_TIMEOUT_MAX_MS, RETRY_ALLOWANCE_DEFAULT } from './constants.js'
import type { HttpDialect } from './http-dialect.js'

/** Hop-by-hop headers of RFC 9110, section 7.6.1, and older ones that are still in use. */
const HOP_BY_HOP = ['connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'transfer-encoding', 'upgrade']
/** Only this node states the result of a request, so these headers of a backend server are dropped. */
const NODE_ONLY_HEADERS = ['x-result-code', 'x-result-class']
/** Headers for framing and routing, which are kept even if the Connection header lists them. */
const NOT_REMOVABLE = new Set(['host', 'content-length', 'content-type'])
const NOT_IN_TRAILERS = ['content-length', 'host', 'trailer', 'content-type', 'content-encoding', 'set-cookie']

export type ControlHeaders = { timeoutMs?: number, retryAllowance: number, callDepth: number }

const EMPTY: ReadonlySet<string> = new Set()

const connectionNames = (value: string | undefined): ReadonlySet<string> => {
  if (value === undefined || value === 'keep-alive' || value === 'close') return EMPTY
  return new Set(value.toLowerCase().split(',').map(name => name.trim()).filter(name => !NOT_REMOVABLE.has(name)))
}

const copyHeaders = (raw: readonly string[], dropped: ReadonlySet<string>, named: ReadonlySet<string>): string[] => {
  const kept: string[] = []
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = (raw[index] as string).toLowerCase()
    if (dropped.has(name) || (named.size > 0 && named.has(name))) continue
    kept.push(raw[index] as string, raw[index + 1] as string)
  }
  return kept
}

/** Filters headers by the names of an HTTP dialect. */
export type HeaderRules = {
  /** Request headers to forward to the backend server, without the control headers. */
  request: (raw: readonly string[], connection: string | undefined) => string[]
  /**
   * Response headers to forward to the caller.
   * @param keepsTrailerField whether trailers can follow the response; node:http refuses the field otherwise
   */
  response: (raw: readonly string[], connection: string | undefined, keepsTrailerField: boolean) => string[]
  trailers: (raw: readonly string[]) => [string, string][]
}

const lowerCase = (names: readonly (string | undefined)[]): string[] =>
  names.flatMap(name => name === undefined ? [] : [name.toLowerCase()])

export const createHeaderRules = (dialect: HttpDialect): HeaderRules => {
  const requestDropped = new Set([
    ...HOP_BY_HOP, 'trailer', 'expect', RELAYED_BY_HEADER, RELAYED_REVISION_HEADER, RELAYED_ATTEMPTS_HEADER,
    ...lowerCase([dialect.requestIdHeader, dialect.timeoutHeader, dialect.retryAllowanceHeader, dialect.callDepthHeader, dialect.forwardedForHeader, dialect.targetIdHeader])
  ])
  const responseDropped = new Set([
    ...HOP_BY_HOP, ...NODE_ONLY_HEADERS, ...lowerCase([dialect.requestIdHeader, dialect.loadReportHeader, ...dialect.droppedResponseHeaders])
  ])
  const droppedWithoutTrailers = new Set([...responseDropped, 'trailer'])
  const notInTrailers = new Set([...responseDropped, ...NOT_IN_TRAILERS])
  return {
    request: (raw, connection) => copyHeaders(raw, requestDropped, connectionNames(connection)),
    response: (raw, connection, keepsTrailerField) => copyHeaders(raw, keepsTrailerField ? responseDropped : droppedWithoutTrailers, connectionNames(connection)),
    trailers: raw => {
      const kept = copyHeaders(raw, notInTrailers, EMPTY)
      return kept.flatMap((name, index) => index % 2 === 0 ? [[name, kept[index + 1] as string] as [string, string]] : [])
    }
  }
}

const parseWholeNumber = (text: string | string[] | undefined, min: number, max: number): number | undefined | 'invalid' => {
  if (text === undefined) return undefined
  if (typeof text !== 'string' || !/^\d{1,9}$/.test(text)) return 'invalid'
  const value = Number(text)
  return value >= min && value <= max ? value : 'invalid'
}

/** Accepts any call depth, because exceeding the limit has a result code of its own. */
export const parseControlHeaders = (headers: NodeJS.Dict<string | string[]>, dialect: HttpDialect): ControlHeaders | { invalid: string } => {
  const valueOf = (name: string | undefined): string | string[] | undefined => name === undefined ? undefined : headers[name.toLowerCase()]
  const timeoutMs = parseWholeNumber(valueOf(dialect.timeoutHeader), 1, REQUEST_TIMEOUT_MAX_MS)
  if (timeoutMs === 'invalid') return { invalid: dialect.timeoutHeader }
  const allowance = parseWholeNumber(valueOf(dialect.retryAllowanceHeader), 0, 100)
  if (allowance === 'invalid') return { invalid: dialect.retryAllowanceHeader ?? '' }
  const depth = parseWholeNumber(valueOf(dialect.callDepthHeader), 0, 999_999_999)
  if (depth === 'invalid') return { invalid: dialect.callDepthHeader ?? '' }
  return { timeoutMs, retryAllowance: allowance ?? RETRY_ALLOWANCE_DEFAULT, callDepth: depth ?? 0 }
}

export const isTooDeep = (depth: number): boolean => depth > CALL_DEPTH_MAX

/** Any id is passed on as its caller sent it; node:http has checked its characters. */
export const isRequestId = (text: unknown): text is string => typeof text === 'string' && text !== ''

/** Value of the first header with the given lower-case name. */
export const rawHeader = (raw: readonly string[], name: string): string | undefined => {
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const key = raw[index] as string
    if (key.length === name.length && key.toLowerCase() === name) return raw[index + 1]
  }
  return undefined
}
