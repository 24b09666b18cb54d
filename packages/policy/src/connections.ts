/**
 * Choice of a connection to a target, and detection of connections that went
 * silent while new ones work.
 */
import { CONNECTION_FRESH_MS, SILENT_MIN_MS, SILENT_P99_FACTOR } from './constants.js'
import type { ConnectionChoice, ConnectionRequest, ConnectionView } from './types.js'

/**
 * Connections that a node may hold to one target. The count of entry VMs comes
 * from the published configuration, so the sum over all nodes stays within the
 * target's limit whatever the nodes know of each other. At least 1, since a
 * node without a connection could not serve.
 */
export const connectionShare = (connectionsPerTarget: number, entryVmCountMax: number): number =>
  Math.max(1, Math.floor(connectionsPerTarget / entryVmCountMax))

const answeredMs = (connection: ConnectionView): number => connection.lastAnsweredMs ?? -Infinity
const freshMs = (connection: ConnectionView): number => connection.lastAnsweredMs ?? connection.openedMs

/**
 * A connection that was opened within the same time and never used counts as a
 * new one: its handshake proves as much as an answer does.
 */
const isFresh = (connection: ConnectionView, nowMs: number): boolean =>
  nowMs - freshMs(connection) <= CONNECTION_FRESH_MS

/** Idle connection that answered last; the others become idle for longer and can be closed. */
const mostRecent = (connections: readonly ConnectionView[]): ConnectionView | undefined => {
  let best: ConnectionView | undefined
  for (const connection of connections) {
    if (connection.busy || connection.retired) continue
    if (!best || freshMs(connection) > freshMs(best)) best = connection
  }
  return best
}

const stalest = (connections: readonly ConnectionView[]): ConnectionView | undefined => {
  let worst: ConnectionView | undefined
  for (const connection of connections) {
    if (connection.busy) continue
    if (!worst || freshMs(connection) < freshMs(worst)) worst = connection
  }
  return worst
}

/**
 * A second attempt is sent because the first one may be on a silent path, which
 * can take all pooled connections with it. It therefore goes over a connection
 * that worked after the first attempt was sent, or over a new one.
 */
const isTrusted = (connection: ConnectionView, { idempotent, provenSinceMs }: ConnectionRequest, nowMs: number): boolean =>
  (idempotent || isFresh(connection, nowMs)) && (provenSinceMs === undefined || freshMs(connection) >= provenSinceMs)

/**
 * A non-idempotent request only goes over a connection that answered within the
 * last second or over a new one, since a silent connection would leave its
 * outcome unknown. Retired connections count against the share until they are
 * closed, because the target still holds them.
 */
export const chooseConnection = (
  connections: readonly ConnectionView[], request: ConnectionRequest, nowMs: number
): ConnectionChoice => {
  const best = mostRecent(connections)
  if (best && isTrusted(best, request, nowMs)) return { choice: 'reuse', id: best.id }
  if (connections.length < request.share) return { choice: 'open' }
  const unusable = stalest(connections)
  return unusable ? { choice: 'wait', closeFirst: unusable.id } : { choice: 'wait' }
}

/** Time without progress after which a connection may count as silent. */
export const silenceLimitMs = (firstByteP99Ms: number | undefined): number =>
  Math.max(SILENT_MIN_MS, SILENT_P99_FACTOR * (firstByteP99Ms ?? 0))

/** Last time anything moved on the running request; the time of sending counts. */
const progressMs = (connection: ConnectionView): number =>
  Math.max(connection.lastProgressMs, connection.sentMs ?? -Infinity)

const isSilent = (connection: ConnectionView, all: readonly ConnectionView[], limitMs: number, nowMs: number): boolean => {
  const sinceMs = progressMs(connection)
  return connection.busy && connection.sentMs !== undefined && nowMs - sinceMs > limitMs &&
    all.some(other => other.openedMs > connection.openedMs && answeredMs(other) > sinceMs)
}

/**
 * Connections of one target to retire. A silent path usually takes all
 * connections of its age with it, so those that were opened before the last
 * progress on a silent connection go together.
 *
 * @param firstByteP99Ms of the target
 */
export const findSilentConnections = (
  connections: readonly ConnectionView[], nowMs: number, firstByteP99Ms?: number
): number[] => {
  const limitMs = silenceLimitMs(firstByteP99Ms)
  let boundaryMs = -Infinity
  const retired = new Set<number>()
  for (const connection of connections) {
    if (!isSilent(connection, connections, limitMs, nowMs)) continue
    retired.add(connection.id)
    boundaryMs = Math.max(boundaryMs, progressMs(connection))
  }
  for (const connection of connections) if (connection.openedMs < boundaryMs) retired.add(connection.id)
  return connections.filter(({ id, retired: isRetired }) => !isRetired && retired.has(id)).map(({ id }) => id)
}
