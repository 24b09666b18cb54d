/**
 * Headers between caller and backend server. Raw header lists alternate names
 * and values, as node:http and undici give them.
 */
import { CALL_DEPTH_MAX, REQUEST_TIMEOUT_MAX_MS, RETRY_ALLOWANCE_DEFAULT } from './constants.js'
import type { Wire } from './wire.js'

/** RFC 9110, 7.6.1, and the older names that are still in use. */
const HOP_BY_HOP = ['connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'transfer-encoding', 'upgrade']
/** x-result-code and x-result-class are this node's statement about the request, so a backend server cannot make it. */
const OWN_STATEMENTS = ['x-result-code', 'x-result-class']
/** Framing and routing must not be removable by naming them in Connection. */
const KEPT = new Set(['host', 'content-length', 'content-type'])
const NOT_IN_TRAILERS = ['content-length', 'host', 'trailer', 'content-type', 'content-encoding', 'set-cookie']

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

/** Which headers pass from one side to the other, with the names of a dialect. */
export type HeaderRules = {
  /** Request headers that pass to the backend server, without the control headers. */
  request: (raw: readonly string[], connection: string | undefined) => string[]
  /** Response headers that pass to the caller. */
  response: (raw: readonly string[], connection: string | undefined) => string[]
  trailers: (raw: readonly string[]) => [string, string][]
}

const lowerCase = (names: readonly (string | undefined)[]): string[] =>
  names.flatMap(name => name === undefined ? [] : [name.toLowerCase()])

export const createHeaderRules = (wire: Wire): HeaderRules => {
  const requestDropped = new Set([
    ...HOP_BY_HOP, 'trailer', 'expect',
    ...lowerCase([wire.requestIdHeader, wire.timeoutHeader, wire.retryAllowanceHeader, wire.callDepthHeader, wire.forwardedForHeader, wire.targetIdHeader])
  ])
  const responseDropped = new Set([
    ...HOP_BY_HOP, ...OWN_STATEMENTS, ...lowerCase([wire.requestIdHeader, wire.loadReportHeader, wire.drainingHeader, ...wire.droppedResponseHeaders])
  ])
  const notInTrailers = new Set([...responseDropped, ...NOT_IN_TRAILERS])
  return {
    request: (raw, connection) => copy(raw, requestDropped, connectionNames(connection)),
    response: (raw, connection) => copy(raw, responseDropped, connectionNames(connection)),
    trailers: raw => {
      const kept = copy(raw, notInTrailers, EMPTY)
      return kept.flatMap((name, index) => index % 2 === 0 ? [[name, kept[index + 1] as string] as [string, string]] : [])
    }
  }
}

const readWhole = (text: string | string[] | undefined, min: number, max: number): number | undefined | 'invalid' => {
  if (text === undefined) return undefined
  if (typeof text !== 'string' || !/^\d{1,9}$/.test(text)) return 'invalid'
  const value = Number(text)
  return value >= min && value <= max ? value : 'invalid'
}

/** A call depth above the limit is a result of its own, so any whole number is accepted here. */
export const parseControlHeaders = (headers: NodeJS.Dict<string | string[]>, wire: Wire): ControlHeaders | { invalid: string } => {
  const valueOf = (name: string | undefined): string | string[] | undefined => name === undefined ? undefined : headers[name.toLowerCase()]
  const timeoutMs = readWhole(valueOf(wire.timeoutHeader), 1, REQUEST_TIMEOUT_MAX_MS)
  if (timeoutMs === 'invalid') return { invalid: wire.timeoutHeader }
  const allowance = readWhole(valueOf(wire.retryAllowanceHeader), 0, 100)
  if (allowance === 'invalid') return { invalid: wire.retryAllowanceHeader ?? '' }
  const depth = readWhole(valueOf(wire.callDepthHeader), 0, 999_999_999)
  if (depth === 'invalid') return { invalid: wire.callDepthHeader ?? '' }
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
