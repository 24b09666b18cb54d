/**
 * The state that the platform publishes in its store, as read by this node: the
 * newest configuration and the list of targets. A configuration is never replaced
 * by an older one. A target that is removed from the list gets no new requests.
 * The exception is the time right after the store was unreachable: entries expire
 * during the outage and are listed again soon after, so a missing target is kept
 * for a grace period.
 */
import type { ListedTarget } from '@wisteriavalve/common'
import type { PublishedChange, PublishedConfiguration, PublishedState, PublishedStateView, PublishedTarget } from './types.js'
import type { TargetSet } from './target-union.js'
import { LEAVING_RETENTION_MS, RELISTING_GRACE_MS } from './constants.js'

type TargetRecord = {
  entry: PublishedTarget
  /** When the target was removed from the list; undefined while it is listed. */
  removedMs?: number
  /** A removed target receives requests until this time. */
  keptUntilMs: number
}

const toTarget = ({ service: _service, state: _state, ...target }: PublishedTarget): ListedTarget => target

export const createPublishedState = (): PublishedState => {
  const records = new Map<string, TargetRecord>()
  const changedServices = new Set<string>()
  let configuration: PublishedConfiguration | undefined
  let isConfigurationNew = false
  let revision = 0
  let reachableSinceMs = -Infinity
  let isStoreUnreachable = false

  const upsertTarget = (entry: PublishedTarget): void => {
    const previous = records.get(entry.id)
    if (previous && previous.entry.service !== entry.service) changedServices.add(previous.entry.service)
    records.set(entry.id, { entry, keptUntilMs: -Infinity })
    changedServices.add(entry.service)
  }

  const removeTarget = (targetId: string, nowMs: number): void => {
    const target = records.get(targetId)
    if (!target || target.removedMs !== undefined) return
    target.removedMs = nowMs
    target.keptUntilMs = isStoreUnreachable ? Infinity : reachableSinceMs + RELISTING_GRACE_MS
    changedServices.add(target.entry.service)
  }

  const adoptIfNewer = (candidate: PublishedConfiguration): boolean => {
    if (configuration && candidate.version <= configuration.version) return false
    configuration = candidate
    isConfigurationNew = true
    for (const { name } of candidate.services) changedServices.add(name)
    return true
  }

  const applyAll: PublishedState['applyAll'] = (view, nowMs) => {
    if (view.revision < revision) return
    revision = view.revision
    if (view.configuration) adoptIfNewer(view.configuration)
    const listed = new Set(view.targets.map(({ id }) => id))
    for (const entry of view.targets) upsertTarget(entry)
    for (const targetId of records.keys()) if (!listed.has(targetId)) removeTarget(targetId, nowMs)
  }

  const applyChange = (change: PublishedChange, nowMs: number): void => {
    if (change.type === 'target') upsertTarget(change.target)
    else if (change.type === 'target-removed') removeTarget(change.targetId, nowMs)
    else adoptIfNewer(change.configuration)
  }

  const applyChanges: PublishedState['applyChanges'] = (newRevision, changes, nowMs) => {
    if (newRevision < revision) return
    for (const change of changes) applyChange(change, nowMs)
    revision = newRevision
  }

  /** Ends expired grace periods and deletes targets removed long ago. */
  const expireRecords = (nowMs: number): void => {
    for (const [targetId, target] of records) {
      if (target.removedMs === undefined) continue
      if (target.keptUntilMs !== -Infinity && nowMs >= target.keptUntilMs) {
        target.keptUntilMs = -Infinity
        changedServices.add(target.entry.service)
      }
      if (nowMs - target.removedMs >= LEAVING_RETENTION_MS && target.keptUntilMs === -Infinity) records.delete(targetId)
    }
  }

  const buildTargetSet = (service: string, nowMs: number): TargetSet => {
    const set: TargetSet = { targets: [], leavingIds: [] }
    for (const { entry, removedMs, keptUntilMs } of records.values()) {
      if (entry.service !== service) continue
      const isRemoved = removedMs !== undefined && nowMs >= keptUntilMs
      if (!isRemoved) set.targets.push(toTarget(entry))
      if (isRemoved || entry.state === 'draining') set.leavingIds.push(entry.id)
    }
    return set
  }

  const takeChanges: PublishedState['takeChanges'] = nowMs => {
    expireRecords(nowMs)
    const targets = new Map([...changedServices].map(service => [service, buildTargetSet(service, nowMs)]))
    changedServices.clear()
    const adopted = isConfigurationNew ? configuration : undefined
    isConfigurationNew = false
    return { configuration: adopted, targets }
  }

  const view = (): PublishedStateView => ({
    revision,
    configuration,
    targets: [...records.values()].filter(({ removedMs }) => removedMs === undefined).map(({ entry }) => entry)
  })

  return {
    applyAll,
    applyChanges,
    recordStoreUnreachable: () => { isStoreUnreachable = true },
    recordStoreReachable: nowMs => {
      if (!isStoreUnreachable) return
      isStoreUnreachable = false
      reachableSinceMs = nowMs
      for (const target of records.values()) if (target.keptUntilMs === Infinity) target.keptUntilMs = nowMs + RELISTING_GRACE_MS
    },
    takeChanges,
    view,
    revision: () => revision,
    configuration: () => configuration
  }
}
