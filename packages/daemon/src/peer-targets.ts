/**
 * The other nodes as destinations of requests, for a node that is cut off from
 * the targets. Their state and connections are kept like those of targets.
 */
import type { Clock, Random } from '@wisteriavalve/common'
import { UNREACHABLE_LOAD_PERCENT } from '@wisteriavalve/fleet'
import { createTargetTable, selectPeer, type TargetTable, type ZoneRestriction } from '@wisteriavalve/policy'
import type { MemberUpdate, Target } from '@wisteriavalve/schema'
import { createTargetConnections, type TargetConnections } from './backend-connections.js'

export type PeerTargets = {
  table: TargetTable
  /** Peer for a request; undefined if no peer is usable. */
  select: (exclude: ReadonlySet<string>, restriction: ZoneRestriction) => Target | undefined
  connectionsTo: (peer: Target) => TargetConnections
  closeIdle: () => void
}

export type PeerTargetsOptions = {
  clock: Clock
  random: Random
  nodeId: string
  zone: string
  members: () => readonly MemberUpdate[]
}

/** A node relays all its requests while it is cut off. */
const CONNECTIONS_PER_PEER = 64
const REFRESH_INTERVAL_MS = 250

/** Whether a node announces that no target answers it. */
const isCutOffMember = ({ loadPercent = 0 }: MemberUpdate): boolean => loadPercent >= UNREACHABLE_LOAD_PERCENT

const toTarget = ({ nodeId, host, callerPort, zone }: MemberUpdate): Target => ({ id: nodeId, host, port: callerPort, zone })

export const createPeerTargets = ({ clock, random, nodeId, zone, members }: PeerTargetsOptions): PeerTargets => {
  const table = createTargetTable({ service: 'peers', slotsPerTarget: CONNECTIONS_PER_PEER, connectionShare: CONNECTIONS_PER_PEER })
  const connections = new Map<string, TargetConnections>()
  const cutOffIds = new Set<string>()
  let refreshedMs = -Infinity
  let connectionId = 0

  const dropRemoved = (): void => {
    for (const [peerId, pool] of connections) {
      if (table.target(peerId)) continue
      pool.closeIdle()
      if (pool.count() === 0) connections.delete(peerId)
    }
  }

  const refresh = (nowMs: number): void => {
    if (nowMs - refreshedMs < REFRESH_INTERVAL_MS) return
    refreshedMs = nowMs
    const alive = members().filter(member => member.nodeId !== nodeId && member.state === 'alive')
    table.setTargets(alive.map(toTarget), nowMs)
    cutOffIds.clear()
    for (const member of alive) if (isCutOffMember(member)) cutOffIds.add(member.nodeId)
    dropRemoved()
  }

  return {
    table,
    select: (exclude, { allowedZones }) => {
      const nowMs = clock.nowMs()
      refresh(nowMs)
      const selected = selectPeer(table.routing(nowMs).candidates, { zone, exclude, isCutOff: peerId => cutOffIds.has(peerId), allowedZones }, nowMs, random)
      return selected && table.target(selected.target.id)
    },
    connectionsTo: peer => {
      const existing = connections.get(peer.id)
      if (existing?.target.host === peer.host && existing.target.port === peer.port) return existing
      existing?.closeIdle()
      const pool = createTargetConnections({ target: peer, share: () => CONNECTIONS_PER_PEER, isReuseTrusted: () => false, echoesRequestIds: true, clock, nextId: () => ++connectionId })
      connections.set(peer.id, pool)
      return pool
    },
    closeIdle: () => { for (const pool of connections.values()) pool.closeIdle() }
  }
}
