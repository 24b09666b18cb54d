/**
 * The HTTP dialect that a daemon speaks with callers and backend servers:
 * names of headers, and how the statements in them are read. The product's own
 * dialect is specified in docs/interfaces.md; a platform with other names
 * passes its own.
 */
import { parseLoadReport, type LoadReport } from '@wisteriavalve/policy'

export type Wire = {
  requestIdHeader: string
  /** Header with the time in ms that the sender of a request still waits. */
  timeoutHeader: string
  retryAllowanceHeader?: string
  callDepthHeader?: string
  forwardedForHeader?: string
  /** Header that names the target a request is meant for; any other target refuses it. */
  targetIdHeader?: string
  loadReportHeader: string
  /** Header with which a target gives its id to a probe. */
  answeredByHeader?: string
  /** Header with which a target says that it is leaving. */
  drainingHeader?: string
  /** Further headers of backend servers that are not passed on to callers. */
  droppedResponseHeaders: readonly string[]
  parseLoadReport: (text: string | undefined) => LoadReport | undefined
  /** Whether a response states that the target has not run the request. */
  isNotRun: (status: number, header: (name: string) => string | undefined) => boolean
  /** Whether a response comes from another target than the request named. */
  isWrongTarget: (status: number) => boolean
  /** Targets repeat the id of the request, so an answer without it belongs to another request. */
  echoesRequestId: boolean
  /** The end of a connection without an error ends a response that names no length. */
  allowsEndByClose: boolean
  /** Value of Retry-After. */
  formatRetryAfter: (retryAfterMs: number) => string
  /** Whether entry and ready answers are served on the callers' address. */
  servesWellKnown: boolean
}

const NOT_RUN_HEADER = 'x-request-not-run'

export const PRODUCT_WIRE: Wire = {
  requestIdHeader: 'x-request-id',
  timeoutHeader: 'x-request-timeout-ms',
  retryAllowanceHeader: 'x-retry-allowance',
  callDepthHeader: 'x-call-depth',
  forwardedForHeader: 'x-forwarded-for',
  loadReportHeader: 'endpoint-load-metrics',
  drainingHeader: 'x-draining',
  droppedResponseHeaders: [NOT_RUN_HEADER],
  parseLoadReport,
  isNotRun: (status, header) => (status === 429 || status === 503) && header(NOT_RUN_HEADER) === 'true',
  isWrongTarget: () => false,
  echoesRequestId: false,
  allowsEndByClose: false,
  formatRetryAfter: retryAfterMs => String(Math.max(1, Math.ceil(retryAfterMs / 1_000))),
  servesWellKnown: true
}
