/**
 * Permits for requests to targets that limit the requests of all nodes together:
 * asks the permit owner of a target, and issues permits as the owner.
 */
import {
  createPermitIssuer, createPermitShare, createWarmupPermitIssuer, isWarmupGrant, isWarmupQuery, rankPermitOwners, SERVICE_BYTES_MAX, substituteShare,
  TARGET_ID_BYTES_MAX, toWireName, type PermitAnswer, type PermitQuery
} from '@wisteriavalve/fleet'
import type { MemberUpdate } from '@wisteriavalve/schema'
import type { PeerClients } from '../adapters/peer-client.js'
import { describeError } from '../adapters/http-json.js'
import type { DaemonContext } from '../types.js'

export type Permits = {
  /** Asks the owner. If it does not answer, the permit is denied and the next query goes to the next node. */
  request: (query: Omit<PermitQuery, 'nodeId'>) => Promise<PermitAnswer>
  /** Answers a peer that takes this node for the owner. */
  issue: (query: PermitQuery) => PermitAnswer
  counters: () => Record<string, number>
}

export type PermitsOptions = {
  context: DaemonContext
  members: () => readonly MemberUpdate[]
  clients: PeerClients
  /** Whether other nodes are configured. */
  hasSeeds?: () => boolean
}

/** A peer answers within a few ms; a request should not lose more of its time. */
const OWNER_TIMEOUT_MS = 150
/** Time for which an owner that did not answer is passed over. */
const FAILED_OWNER_MS = 2_000
const RETRY_AFTER_FAILURE_MS = 50

/** All nodes use the names that messages hold, so that a long name has one owner and one account. */
const withWireNames = <Q extends Pick<PermitQuery, 'service' | 'targetId'>>(query: Q): Q =>
  ({ ...query, service: toWireName(query.service, SERVICE_BYTES_MAX), targetId: toWireName(query.targetId, TARGET_ID_BYTES_MAX) })

export const createPermits = ({ context, members, clients, hasSeeds = () => false }: PermitsOptions): Permits => {
  const { clock, random, settings, log } = context
  const issuer = createPermitIssuer(random)
  const warmupIssuer = createWarmupPermitIssuer(random)
  const share = createPermitShare(clock.nowMs())
  const failedUntilMs = new Map<string, number>()
  const counts = { permits_granted: 0, permits_denied: 0, permits_issued: 0, permit_owners_failed: 0, warmup_permits_granted: 0, warmup_permits_denied: 0, warmup_permits_issued: 0 }

  let hasSeenPeer = false

  const limitShare = (owners: readonly string[], nowMs: number): number =>
    share.current(owners.length, nowMs) * substituteShare(owners.indexOf(settings.nodeId))

  /** A node that has not reached any other since its start issues nothing: many such nodes would each issue the whole rate. */
  const warmupShare = (owners: readonly string[], nowMs: number): number => {
    hasSeenPeer ||= owners.length > 1
    return !hasSeenPeer && hasSeeds() ? 0 : limitShare(owners, nowMs)
  }

  const ownersOf = ({ service, targetId }: Pick<PermitQuery, 'service' | 'targetId'>): string[] =>
    rankPermitOwners({ selfId: settings.nodeId, zone: settings.zone, members: members() }, service, targetId)

  const issueFor = (query: PermitQuery): PermitAnswer => {
    const owners = ownersOf(query)
    const nowMs = clock.nowMs()
    const answer = isWarmupQuery(query)
      ? warmupIssuer.issue(query, warmupShare(owners, nowMs), nowMs)
      : issuer.issue(query, limitShare(owners, nowMs), nowMs)
    if (answer.decision === 'granted') counts[isWarmupQuery(query) ? 'warmup_permits_issued' : 'permits_issued']++
    return answer
  }

  const count = (query: PermitQuery, answer: PermitAnswer): void => {
    if (isWarmupQuery(query)) counts[isWarmupGrant(answer) ? 'warmup_permits_granted' : 'warmup_permits_denied']++
    else if (answer.decision === 'granted') counts.permits_granted++
    else if (answer.decision === 'denied') counts.permits_denied++
  }

  const deny = ({ statement }: Pick<PermitQuery, 'statement'>): PermitAnswer => ({ decision: 'denied', retryAfterMs: RETRY_AFTER_FAILURE_MS, statement })

  const askPeer = async (peer: MemberUpdate, query: PermitQuery): Promise<PermitAnswer> => {
    try {
      return await clients.to(peer).permit.mutate(query, { signal: AbortSignal.timeout(OWNER_TIMEOUT_MS) })
    } catch (error) {
      counts.permit_owners_failed++
      failedUntilMs.set(peer.nodeId, clock.nowMs() + FAILED_OWNER_MS)
      log('peer_unreachable', { member: peer.nodeId, message: `no answer to a query for a permit: ${describeError(error)}` })
      return deny(query)
    }
  }

  const request: Permits['request'] = async withoutNode => {
    const query: PermitQuery = { ...withWireNames(withoutNode), nodeId: settings.nodeId }
    const nowMs = clock.nowMs()
    const ownerId = ownersOf(query).find(nodeId => nodeId === settings.nodeId || (failedUntilMs.get(nodeId) ?? -Infinity) <= nowMs)
    const owner = members().find(({ nodeId }) => nodeId === ownerId)
    const answer = ownerId === settings.nodeId ? issueFor(query) : owner ? await askPeer(owner, query) : deny(query)
    count(query, answer)
    return answer
  }

  return { request, issue: query => issueFor(withWireNames(query)), counters: () => ({ ...counts }) }
}
