/**
 * Relays requests of a node that is cut off from the targets to a peer, which
 * handles them like requests of its own callers. A request is relayed by one node
 * at most, so it cannot go in a circle, and one that is not idempotent only while
 * it cannot have run.
 */
import type { Reachability } from '@wisteriavalve/policy'
import { resultCode, type Kind, type ResultName, type Target } from '@wisteriavalve/schema'
import type { Call } from './adapters/caller-http.js'
import { RELAYED_ATTEMPTS_HEADER, RELAYED_BY_HEADER, RELAYED_REVISION_HEADER } from './constants.js'
import { attemptsLeft, type Attempt, type Exchange } from './exchange.js'
import { rawHeader } from './headers.js'
import { probeLoad } from './load-probes.js'
import type { NodeEvents, ReachabilityKind } from './node-events.js'
import type { PeerTargets } from './peer-targets.js'
import type { PipelineContext } from './pipeline-context.js'

export const RELAY_REASON = 'no target answers this node'
/** Retry-After of a node that is cut off. It is short because the caller's next try goes to another node. */
export const CUT_OFF_RETRY_AFTER_MS = 40

/** What a node needs to notice that it is cut off, and to hand its requests to others. */
export type Relaying = {
  nodeId: string
  /** Revision of the configuration in force; 0 before the first one. */
  configurationRevision: () => number
  peers: PeerTargets
  /** Responses of targets. */
  responses: Reachability
  /** New connections to targets. Those that are open can live on while no new one opens. */
  connections: Reachability
}

/** Peers that a request is relayed to, one after the other, until one accepts it. */
const RELAYS_MAX = 5
/** Targets that a request found without a connection, after which a peer is asked instead of further targets. */
const CONNECT_FAILURES_MIN = 2
/** Time for which a peer is passed over that cannot take requests. */
const PEER_PAUSE_MS = 1_000
/** Results of a peer for which another peer, or this node, handles the request. */
const REFUSALS: readonly ResultName[] = ['targets-unreachable', 'connect-failed', 'node-leaving', 'node-not-ready', 'caller-limit']
const REFUSAL_CODES: ReadonlySet<string> = new Set(REFUSALS.map(name => resultCode(name).code))

export const isRelayed = ({ req }: Pick<Call, 'req'>): boolean => req.headers[RELAYED_BY_HEADER] !== undefined

/** A peer gets all attempts that are left. Those that it does not use are lost, unless it refuses the request. */
export const relayHeaders = ({ nodeId, configurationRevision }: Relaying, { attemptsMax, sendCount }: Exchange): string[] => [
  RELAYED_BY_HEADER, nodeId,
  RELAYED_REVISION_HEADER, String(configurationRevision()),
  ...(attemptsMax === Infinity ? [] : [RELAYED_ATTEMPTS_HEADER, String(attemptsMax - sendCount)])
]

/** Counts the attempts that a peer may make as made, because their number is not known if its answer is lost. */
export const delegateAttempts = (attempt: Attempt): void => {
  const { exchange } = attempt
  if (exchange.attemptsMax === Infinity) return
  attempt.delegatedCount = exchange.attemptsMax - exchange.sendCount
  exchange.sendCount = exchange.attemptsMax
}

/** Takes back the attempts of a peer that has not sent the request to any target. */
export const reclaimAttempts = (attempt: Attempt): void => {
  attempt.exchange.sendCount -= attempt.delegatedCount
  attempt.delegatedCount = 0
}

/** Number of targets that a request of a caller or a peer may be sent to. */
export const readAttemptsMax = ({ req }: Call, { attemptsMax = Infinity }: Kind): number => {
  const given = req.headers[RELAYED_ATTEMPTS_HEADER]
  const isGiven = isRelayed({ req }) && typeof given === 'string' && /^[1-9]\d{0,2}$/.test(given)
  return isGiven ? Math.min(attemptsMax, Number(given)) : attemptsMax
}

/**
 * Whether the node that relays a request has a newer configuration than this one.
 * Handled here, the request would show its caller a configuration that goes back.
 */
export const isBehindRelay = ({ relaying: { configurationRevision } }: PipelineContext, { req }: Call): boolean =>
  isRelayed({ req }) && Number(req.headers[RELAYED_REVISION_HEADER] ?? 0) > configurationRevision()

export const isCutOff = ({ relaying: { responses }, clock }: PipelineContext): boolean => responses.isLost(clock.nowMs())

const canRelay = (exchange: Exchange): boolean => {
  const { call, relayCount, attempts, body, unknownResult, kind } = exchange
  return !isRelayed(call) && attemptsLeft(exchange) >= 1 && relayCount < RELAYS_MAX && attempts.length === 0 && body.canOpen() && (unknownResult === undefined || kind.idempotent)
}

/**
 * Whether this node cannot reach a target for a request: nothing answers it, or
 * the request found no connection, at several targets or while no new one opens.
 * @param lastResult result of the previous attempt of the request
 */
export const cannotReachTargets = (context: PipelineContext, { connectFailureCount }: Exchange, lastResult: ResultName | undefined): boolean =>
  isCutOff(context) ||
  (lastResult === 'connect-failed' && (connectFailureCount >= CONNECT_FAILURES_MIN || context.relaying.connections.isLost(context.clock.nowMs())))

/** @param lastResult result of the previous attempt */
export const selectRelayPeer = (context: PipelineContext, exchange: Exchange, lastResult: ResultName | undefined): Target | undefined =>
  cannotReachTargets(context, exchange, lastResult) && canRelay(exchange) ? context.relaying.peers.select(exchange.triedTargetIds, exchange) : undefined

/** Probes a target from time to time, because a response ends the state of being cut off. */
export const tryTargetAgain = (context: PipelineContext, { runtime }: Exchange): void => {
  const nowMs = context.clock.nowMs()
  if (!context.relaying.responses.takeTrial(nowMs)) return
  const { candidates } = runtime.table.routing(nowMs)
  const state = candidates[context.random.int(Math.max(1, candidates.length))]
  if (state) probeLoad(context, runtime, state.target.id, () => undefined)
}

/** Whether the peer has not handled the request, so that it can be sent elsewhere. */
export const isRefusedByPeer = (headers: readonly string[]): boolean => REFUSAL_CODES.has(rawHeader(headers, 'x-result-code') ?? '')

export const passOverPeer = ({ relaying, clock, recorder }: PipelineContext, { targetId }: Attempt): void => {
  recorder.relayRefused()
  relaying.peers.table.recordPause(targetId, PEER_PAUSE_MS, clock.nowMs())
}

/** The result of a peer is the result of the request. */
export const resultHeaders = (headers: readonly string[]): string[] =>
  ['x-result-code', 'x-result-class'].flatMap(name => {
    const value = rawHeader(headers, name)
    return value === undefined ? [] : [name, value]
  })

/** Reports when this node loses its targets and when it reaches them again. */
export const createReachabilityLog = ({ responses, connections }: Relaying, report: NodeEvents['recordReachability']): { update: (nowMs: number) => void } => {
  const lost = { response: false, connection: false }

  const updateKind = (kind: ReachabilityKind, reachability: Reachability, nowMs: number): void => {
    const isLost = reachability.isLost(nowMs)
    if (lost[kind] === isLost) return
    lost[kind] = isLost
    report(kind, isLost, reachability.series(nowMs))
  }

  return {
    update: nowMs => {
      updateKind('response', responses, nowMs)
      updateKind('connection', connections, nowMs)
    }
  }
}
