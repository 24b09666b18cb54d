/**
 * The state that the platform publishes in its store, as read by this node: the
 * newest configuration, the list of targets and the evacuated zones. A configuration is never replaced
 * by an older one. A target that is removed from the list gets no new requests.
 * The exception is the time right after the store was unreachable or restored:
 * entries that were lost are listed again soon after, so a missing target is kept
 * for a grace period.
 */
import { isDeepStrictEqual } from 'node:util'
import type { ListedTarget } from '@wisteriavalve/common'
import { createEvacuations } from './evacuations.js'
import { createTargetRecord, isDoubtful, isForgettable, isLeaving, isListingConfirmed, isRemoved, listedEntry, type PublishedTargetRecord } from './published-target.js'
import { compareStorePositions, NO_STORE_POSITION } from './store-position.js'
import type { TargetSet } from './target-union.js'
import type { PublishedChange, PublishedConfiguration, PublishedState, PublishedStateView, PublishedTarget } from './types.js'
import { EVACUATION_GRACE_MS, RELISTING_GRACE_MS, TARGET_LEASE_DEFAULT_MS } from './constants.js'

export type PublishedStateOptions = {
  /** Time after which the store removes the entry of a target that has stopped renewing it. */
  targetLeaseMs: number
}

const toTarget = ({ service: _service, state: _state, ...target }: PublishedTarget): ListedTarget => target

const isSameContent = ({ restoreCount: _a, ...a }: PublishedConfiguration, { restoreCount: _b, ...b }: PublishedConfiguration): boolean =>
  isDeepStrictEqual(a, b)

export const createPublishedState = ({ targetLeaseMs }: PublishedStateOptions = { targetLeaseMs: TARGET_LEASE_DEFAULT_MS }): PublishedState => {
  const records = new Map<string, PublishedTargetRecord>()
  const changedServices = new Set<string>()
  const evacuations = createEvacuations()
  let configuration: PublishedConfiguration | undefined
  let isConfigurationNew = false
  let position = NO_STORE_POSITION
  let reachableSinceMs = -Infinity
  let isStoreUnreachable = false

  const upsertTarget = (entry: PublishedTarget): void => {
    const previous = records.get(entry.id)
    if (previous && previous.entry.service !== entry.service) changedServices.add(previous.entry.service)
    records.set(entry.id, createTargetRecord(entry))
    changedServices.add(entry.service)
  }

  const removeTarget = (targetId: string, nowMs: number): void => {
    const target = records.get(targetId)
    if (!target) return
    delete target.doubtfulListing
    if (target.removedMs !== undefined) return
    target.removedMs = nowMs
    target.keptUntilMs = isStoreUnreachable ? Infinity : reachableSinceMs + RELISTING_GRACE_MS
    changedServices.add(target.entry.service)
  }

  const adopt = (adopted: PublishedConfiguration): void => {
    configuration = adopted
    isConfigurationNew = true
    for (const { name } of adopted.services) changedServices.add(name)
  }

  /** A restored store can give a version out again. Of two contents of one version, that of the later restore is in force. */
  const offerConfiguration = (candidate: PublishedConfiguration): void => {
    if (!configuration || candidate.version > configuration.version) {
      adopt(candidate)
      return
    }
    if (candidate.version < configuration.version || candidate.restoreCount <= configuration.restoreCount) return
    if (isSameContent(candidate, configuration)) configuration = candidate
    else adopt(candidate)
  }

  const applyListing = (entry: PublishedTarget, isRestored: boolean, nowMs: number): void => {
    const record = records.get(entry.id)
    const mayBeOutdated = isRestored || record?.doubtfulListing !== undefined
    if (record && mayBeOutdated && isDoubtful(record, entry, nowMs)) record.doubtfulListing = { entry, sinceMs: record.doubtfulListing?.sinceMs ?? nowMs }
    else upsertTarget(entry)
  }

  const applyAll: PublishedState['applyAll'] = (view, nowMs) => {
    if (view.configuration) offerConfiguration(view.configuration)
    if (compareStorePositions(view, position) < 0) return
    const isRestored = view.restoreCount > position.restoreCount && position !== NO_STORE_POSITION
    if (isRestored) reachableSinceMs = nowMs
    position = { restoreCount: view.restoreCount, revision: view.revision }
    const listed = new Set(view.targets.map(({ id }) => id))
    for (const entry of view.targets) applyListing(entry, isRestored, nowMs)
    for (const targetId of records.keys()) if (!listed.has(targetId)) removeTarget(targetId, nowMs)
    if (view.evacuatedZones) evacuations.applyAll(view.evacuatedZones, (isStoreUnreachable ? nowMs : reachableSinceMs) + EVACUATION_GRACE_MS, isRestored)
  }

  const applyChange = (change: PublishedChange, nowMs: number): void => {
    if (change.type === 'target') upsertTarget(change.target)
    else if (change.type === 'target-removed') removeTarget(change.targetId, nowMs)
    else if (change.type === 'evacuation') evacuations.apply(change)
    else offerConfiguration(change.configuration)
  }

  const applyChanges: PublishedState['applyChanges'] = ({ restoreCount, revision }, changes, nowMs) => {
    if (restoreCount !== position.restoreCount || revision < position.revision) return
    for (const change of changes) applyChange(change, nowMs)
    position = { restoreCount, revision }
  }

  const endGracePeriod = (record: PublishedTargetRecord, nowMs: number): void => {
    if (record.keptUntilMs === -Infinity || nowMs < record.keptUntilMs) return
    record.keptUntilMs = -Infinity
    changedServices.add(record.entry.service)
  }

  /** Ends expired grace periods, believes confirmed listings and deletes targets removed long ago. */
  const expireRecords = (nowMs: number): void => {
    for (const [targetId, record] of records) {
      endGracePeriod(record, nowMs)
      if (record.doubtfulListing && isListingConfirmed(record, targetLeaseMs, nowMs)) upsertTarget(record.doubtfulListing.entry)
      else if (isForgettable(record, nowMs)) records.delete(targetId)
    }
  }

  const buildTargetSet = (service: string, nowMs: number): TargetSet => {
    const set: TargetSet = { targets: [], leavingIds: [] }
    for (const record of records.values()) {
      if (record.entry.service !== service) continue
      if (!isRemoved(record, nowMs)) set.targets.push(toTarget(record.entry))
      if (isLeaving(record, nowMs)) set.leavingIds.push(record.entry.id)
    }
    return set
  }

  const takeChanges: PublishedState['takeChanges'] = nowMs => {
    expireRecords(nowMs)
    evacuations.expire(nowMs)
    const targets = new Map([...changedServices].map(service => [service, buildTargetSet(service, nowMs)]))
    changedServices.clear()
    const adopted = isConfigurationNew ? configuration : undefined
    isConfigurationNew = false
    const evacuatedZones = evacuations.takeChange()
    return { configuration: adopted, targets, ...(evacuatedZones && { evacuatedZones }) }
  }

  const view = (): PublishedStateView => ({
    ...position,
    configuration,
    targets: [...records.values()].flatMap(record => listedEntry(record) ?? []),
    evacuatedZones: evacuations.listedZones()
  })

  return {
    applyAll,
    applyChanges,
    offerConfiguration,
    recordStoreUnreachable: () => { isStoreUnreachable = true },
    recordStoreReachable: nowMs => {
      if (!isStoreUnreachable) return
      isStoreUnreachable = false
      reachableSinceMs = nowMs
      for (const target of records.values()) if (target.keptUntilMs === Infinity) target.keptUntilMs = nowMs + RELISTING_GRACE_MS
    },
    takeChanges,
    view,
    position: () => position,
    configuration: () => configuration,
    evacuatedZones: evacuations.zones
  }
}
