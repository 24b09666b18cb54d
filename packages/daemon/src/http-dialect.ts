/**
 * The HTTP dialect between a daemon, its callers and its backend servers: names
 * of headers and how their values are interpreted. The default dialect is
 * specified in docs/interfaces.md; platforms with other headers supply their
 * own.
 */
import { parseLoadReport, parsePauseMs, parseRequestLimit, type LoadReport, type StatedLimit } from '@wisteriavalve/policy'

export type HttpDialect = {
  requestIdHeader: string
  /** Header with the remaining time in ms that the sender of a request waits. */
  timeoutHeader: string
  retryAllowanceHeader?: string
  callDepthHeader?: string
  forwardedForHeader?: string
  /** Header with the id of the intended target; any other target refuses the request. */
  targetIdHeader?: string
  loadReportHeader: string
  /** Response header in which a target states its id in response to a load probe. */
  answeredByHeader?: string
  /** Whether a response states that its target is draining. */
  isDraining: (header: (name: string) => string | undefined) => boolean
  /** Time for which a target that refuses a request asks to be left alone; undefined without such a wish. */
  readPauseMs: (status: number, header: (name: string) => string | undefined) => number | undefined
  /** Time in ms for which a target states in a response to a load probe that it stays cold; undefined if it states none. */
  readWarmupMs: (header: (name: string) => string | undefined) => number | undefined
  /** What a response says about the requests per second that its target accepts from all nodes together. */
  readRequestLimit: (header: (name: string) => string | undefined) => StatedLimit
  /** Further response headers that are not forwarded to callers. */
  droppedResponseHeaders: readonly string[]
  parseLoadReport: (text: string | undefined) => LoadReport | undefined
  /** Headers that a response has with one value at most. */
  singleValueHeaders: readonly string[]
  /** Whether a response has the mark of a request that the target has not run. */
  hasNotRunMark: (header: (name: string) => string | undefined) => boolean
  /** Whether a response states that the target has not run the request. */
  isNotRun: (status: number, header: (name: string) => string | undefined) => boolean
  /** Whether a response comes from another target than the intended one. */
  isWrongTarget: (status: number) => boolean
  /** Whether targets echo the request id. A response with a different id then belongs to another request. */
  echoesRequestId: boolean
  /** Whether the regular end of the connection ends a response without a length. */
  allowsEndByClose: boolean
  /** Formats the value of Retry-After. */
  formatRetryAfter: (retryAfterMs: number) => string
  /** Whether entry and ready answers are served on the callers' address. */
  servesWellKnown: boolean
}

const NOT_RUN_HEADER = 'x-request-not-run'
const DRAINING_HEADER = 'x-draining'
const REQUEST_LIMIT_HEADER = 'x-request-limit-per-s'

const UNAVAILABLE_STATUS = 503

/** Reads the pause from the standard header. */
export const readPauseMs: HttpDialect['readPauseMs'] = (status, header) =>
  status === UNAVAILABLE_STATUS ? parsePauseMs(header('retry-after'), Date.now()) : undefined

const hasNotRunMark: HttpDialect['hasNotRunMark'] = header => header(NOT_RUN_HEADER) === 'true'

export const DEFAULT_DIALECT: HttpDialect = {
  requestIdHeader: 'x-request-id',
  timeoutHeader: 'x-request-timeout-ms',
  retryAllowanceHeader: 'x-retry-allowance',
  callDepthHeader: 'x-call-depth',
  forwardedForHeader: 'x-forwarded-for',
  loadReportHeader: 'endpoint-load-metrics',
  readPauseMs,
  readWarmupMs: () => undefined,
  isDraining: header => header(DRAINING_HEADER) === 'true',
  readRequestLimit: header => parseRequestLimit(header(REQUEST_LIMIT_HEADER)),
  droppedResponseHeaders: [NOT_RUN_HEADER, DRAINING_HEADER, REQUEST_LIMIT_HEADER],
  parseLoadReport,
  singleValueHeaders: ['x-request-id', NOT_RUN_HEADER],
  hasNotRunMark,
  isNotRun: (status, header) => (status === 429 || status === 503) && hasNotRunMark(header),
  isWrongTarget: () => false,
  echoesRequestId: false,
  allowsEndByClose: false,
  formatRetryAfter: retryAfterMs => String(Math.max(1, Math.ceil(retryAfterMs / 1_000))),
  servesWellKnown: true
}
