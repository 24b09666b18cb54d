/**
 * Merges the observations of all nodes for each target.
 */
import type { NodeStatus, TargetStatus } from '@wisteriavalve/schema'

export type Health = TargetStatus['health']

/** Health and reason of a target as reported by a number of nodes. */
export type HealthView = { health: Health, reason: string, nodeCount: number }

export type MergedTarget = {
  service: string
  targetId: string
  address: string
  zone: string
  /** Sorted by the number of nodes, largest first. */
  views: HealthView[]
  inFlight: number
  connections: number
  /** Whether the target is trusted with reused connections although it does not echo request ids. */
  trustsReuse: boolean
  /** Requests per second that the target accepts from all nodes together; the smallest value of all nodes. */
  requestLimitPerS?: number
  /** Time for which the target has asked to be left alone; the largest value of all nodes. */
  pausedMs?: number
  /** Largest value of all nodes; undefined when no node has measured it. */
  firstByteP99Ms?: number
}

/** Worst state first, so it is shown first. */
const HEALTH_ORDER: readonly Health[] = ['gone', 'ejected', 'draining', 'probation', 'cold', 'ready']

const addView = (views: HealthView[], { health, reason }: TargetStatus): void => {
  const view = views.find(other => other.health === health && other.reason === reason)
  if (view) view.nodeCount++
  else views.push({ health, reason, nodeCount: 1 })
}

const maxOf = (a: number | undefined, b: number | undefined): number | undefined =>
  a === undefined ? b : b === undefined ? a : Math.max(a, b)

const createMergedTarget = ({ service, targetId, host, port, zone }: TargetStatus): MergedTarget =>
  ({ service, targetId, address: `${host}:${port}`, zone, views: [], inFlight: 0, connections: 0, trustsReuse: false })

export const mergeTargets = (nodes: readonly NodeStatus[]): MergedTarget[] => {
  const merged = new Map<string, MergedTarget>()
  for (const target of nodes.flatMap(({ targets }) => targets)) {
    const key = `${target.service} ${target.targetId}`
    const entry = merged.get(key) ?? createMergedTarget(target)
    merged.set(key, entry)
    addView(entry.views, target)
    entry.inFlight += target.inFlight
    entry.connections += target.connections
    entry.trustsReuse ||= target.trustsReuse === true
    if (target.requestLimitPerS !== undefined) entry.requestLimitPerS = Math.min(entry.requestLimitPerS ?? Infinity, target.requestLimitPerS)
    entry.pausedMs = maxOf(entry.pausedMs, target.pausedMs)
    entry.firstByteP99Ms = maxOf(entry.firstByteP99Ms, target.firstByteP99Ms)
  }
  for (const { views } of merged.values()) views.sort((a, b) => b.nodeCount - a.nodeCount || HEALTH_ORDER.indexOf(a.health) - HEALTH_ORDER.indexOf(b.health))
  const keyOf = ({ service, targetId }: MergedTarget): string => `${service} ${targetId}`
  return [...merged.values()].sort((a, b) => keyOf(a) < keyOf(b) ? -1 : 1)
}

export const isReadyEverywhere = ({ views }: MergedTarget): boolean => views.every(({ health }) => health === 'ready')

/** "ready" or "ejected 2, ready 1" */
export const describeHealth = ({ views }: MergedTarget): string => {
  const counts = HEALTH_ORDER
    .map(health => ({ health, count: views.filter(view => view.health === health).reduce((sum, { nodeCount }) => sum + nodeCount, 0) }))
    .filter(({ count }) => count > 0)
  return counts.length === 1 ? counts[0]?.health ?? '' : counts.map(({ health, count }) => `${health} ${count}`).join(', ')
}
