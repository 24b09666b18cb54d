/**
 * Selects a connection to a target, and detects connections that became silent
 * while newer connections work.
 */
import { CONNECTION_FRESH_MS, SILENT_MIN_MS, SILENT_P99_FACTOR } from './constants.js'
import type { ConnectionChoice, ConnectionRequest, ConnectionView } from './types.js'

/**
 * Maximum number of connections of a node to one target. The count of entry VMs
 * comes from the published configuration, so the sum over all nodes stays within
 * the target's limit even if the nodes have different membership views. At least
 * 1, since a node without a connection could not serve requests.
 */
export const connectionShare = (connectionsPerTarget: number, entryVmCountMax: number): number =>
  Math.max(1, Math.floor(connectionsPerTarget / entryVmCountMax))

const lastResponseMs = (connection: ConnectionView): number => connection.lastResponseMs ?? -Infinity
const lastVerifiedMs = (connection: ConnectionView): number => connection.lastResponseMs ?? connection.openedMs

/**
 * An unused connection that was opened within the same time also counts as fresh,
 * since a handshake verifies the path as well as a response does.
 */
const isFresh = (connection: ConnectionView, nowMs: number): boolean =>
  nowMs - lastVerifiedMs(connection) <= CONNECTION_FRESH_MS

/** The idle connection with the latest response. Reusing it lets the others stay idle until they can be closed. */
const mostRecent = (connections: readonly ConnectionView[]): ConnectionView | undefined => {
  let best: ConnectionView | undefined
  for (const connection of connections) {
    if (connection.isBusy || connection.isRetired) continue
    if (!best || lastVerifiedMs(connection) > lastVerifiedMs(best)) best = connection
  }
  return best
}

const leastRecent = (connections: readonly ConnectionView[]): ConnectionView | undefined => {
  let oldest: ConnectionView | undefined
  for (const connection of connections) {
    if (connection.isBusy) continue
    if (!oldest || lastVerifiedMs(connection) < lastVerifiedMs(oldest)) oldest = connection
  }
  return oldest
}

/**
 * A second attempt is sent because the first one may be on a silent path, which
 * can affect all pooled connections. It therefore uses a connection that was
 * verified after the first attempt was sent, or a new one.
 */
const isVerified = (connection: ConnectionView, { idempotent, verifiedSinceMs }: ConnectionRequest, nowMs: number): boolean =>
  (idempotent || isFresh(connection, nowMs)) && (verifiedSinceMs === undefined || lastVerifiedMs(connection) >= verifiedSinceMs)

/**
 * A second copy of an earlier response is recognized by its request id. Two
 * requests with the same id must therefore not use the same connection.
 */
const hasCarried = ({ requestIds }: ConnectionView, { requestId }: ConnectionRequest): boolean =>
  requestId !== undefined && requestIds?.has(requestId) === true

const isReusable = (connection: ConnectionView, request: ConnectionRequest, nowMs: number): boolean =>
  isVerified(connection, request, nowMs) && !hasCarried(connection, request)

/**
 * A non-idempotent request only uses a connection that completed a response within
 * the last second, or a new one, since a silent connection would leave its outcome
 * unknown. Retired connections count against the share until they are closed,
 * because they are still open on the target.
 */
export const chooseConnection = (
  connections: readonly ConnectionView[], request: ConnectionRequest, nowMs: number
): ConnectionChoice => {
  const best = mostRecent(connections)
  if (best && isReusable(best, request, nowMs)) return { choice: 'reuse', id: best.id }
  if (connections.length < request.share) return { choice: 'open' }
  const unusable = leastRecent(connections)
  return unusable ? { choice: 'wait', closeFirstId: unusable.id } : { choice: 'wait' }
}

/** Time without progress after which a connection may count as silent. */
export const silenceLimitMs = (firstByteP99Ms: number | undefined): number =>
  Math.max(SILENT_MIN_MS, SILENT_P99_FACTOR * (firstByteP99Ms ?? 0))

/** Time of the last progress of the running request; sending it counts as progress. */
const progressMs = (connection: ConnectionView): number =>
  Math.max(connection.lastProgressMs, connection.sentMs ?? -Infinity)

const isSilent = (connection: ConnectionView, all: readonly ConnectionView[], limitMs: number, nowMs: number): boolean => {
  const sinceMs = progressMs(connection)
  return connection.isBusy && connection.sentMs !== undefined && nowMs - sinceMs > limitMs &&
    all.some(other => other.openedMs > connection.openedMs && lastResponseMs(other) > sinceMs)
}

/**
 * Connections of one target to retire. A path failure usually affects all
 * connections of the same age, so all connections that were opened before the last
 * progress on a silent connection are retired together.
 *
 * @param firstByteP99Ms 99th percentile of the target's time to first byte
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
  return connections.filter(({ id, isRetired: wasRetired }) => !wasRetired && retired.has(id)).map(({ id }) => id)
}
