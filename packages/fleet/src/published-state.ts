/**
 * What the platform publishes in its store, as far as this node has read it:
 * the newest configuration and the list of targets. A configuration is never
 * replaced by an older one. A target that is removed from the list gets no new
 * work, except right after the store was away: its entries lapse meanwhile and
 * are back soon, so a target that is missing then is kept for a short time.
 */
import type { ListedTarget } from '@wisteriavalve/common'
import type { PublishedChange, PublishedConfiguration, PublishedState, PublishedStateView, PublishedTarget } from './types.js'
import type { TargetSet } from './target-union.js'
import { LEAVING_MEMORY_MS, RELISTING_GRACE_MS } from './constants.js'

type Known = {
  entry: PublishedTarget
  /** When the target was removed from the list; undefined while it is listed. */
  removedMs?: number
  /** A removed target gets work until then. */
  keptUntilMs: number
}

const toTarget = ({ service: _service, state: _state, ...target }: PublishedTarget): ListedTarget => target

export const createPublishedState = (): PublishedState => {
  const known = new Map<string, Known>()
  const touched = new Set<string>()
  let configuration: PublishedConfiguration | undefined
  let isConfigurationNew = false
  let revision = 0
  let returnedMs = -Infinity
  let isAway = false

  const put = (entry: PublishedTarget): void => {
    const before = known.get(entry.id)
    if (before && before.entry.service !== entry.service) touched.add(before.entry.service)
    known.set(entry.id, { entry, keptUntilMs: -Infinity })
    touched.add(entry.service)
  }

  const remove = (targetId: string, nowMs: number): void => {
    const target = known.get(targetId)
    if (!target || target.removedMs !== undefined) return
    target.removedMs = nowMs
    target.keptUntilMs = isAway ? Infinity : returnedMs + RELISTING_GRACE_MS
    touched.add(target.entry.service)
  }

  const offer = (candidate: PublishedConfiguration): boolean => {
    if (configuration && candidate.version <= configuration.version) return false
    configuration = candidate
    isConfigurationNew = true
    for (const { name } of candidate.services) touched.add(name)
    return true
  }

  const applyAll: PublishedState['applyAll'] = (view, nowMs) => {
    if (view.revision < revision) return
    revision = view.revision
    if (view.configuration) offer(view.configuration)
    const listed = new Set(view.targets.map(({ id }) => id))
    for (const entry of view.targets) put(entry)
    for (const targetId of known.keys()) if (!listed.has(targetId)) remove(targetId, nowMs)
  }

  const applyChange = (change: PublishedChange, nowMs: number): void => {
    if (change.type === 'target') put(change.target)
    else if (change.type === 'target-removed') remove(change.targetId, nowMs)
    else offer(change.configuration)
  }

  const applyChanges: PublishedState['applyChanges'] = (newRevision, changes, nowMs) => {
    if (newRevision < revision) return
    for (const change of changes) applyChange(change, nowMs)
    revision = newRevision
  }

  /** Ends what is only kept for a time. */
  const expire = (nowMs: number): void => {
    for (const [targetId, target] of known) {
      if (target.removedMs === undefined) continue
      if (target.keptUntilMs !== -Infinity && nowMs >= target.keptUntilMs) {
        target.keptUntilMs = -Infinity
        touched.add(target.entry.service)
      }
      if (nowMs - target.removedMs >= LEAVING_MEMORY_MS && target.keptUntilMs === -Infinity) known.delete(targetId)
    }
  }

  const setOf = (service: string, nowMs: number): TargetSet => {
    const set: TargetSet = { targets: [], leavingIds: [] }
    for (const { entry, removedMs, keptUntilMs } of known.values()) {
      if (entry.service !== service) continue
      const isGone = removedMs !== undefined && nowMs >= keptUntilMs
      if (!isGone) set.targets.push(toTarget(entry))
      if (isGone || entry.state === 'draining') set.leavingIds.push(entry.id)
    }
    return set
  }

  const takeChanges: PublishedState['takeChanges'] = nowMs => {
    expire(nowMs)
    const targets = new Map([...touched].map(service => [service, setOf(service, nowMs)]))
    touched.clear()
    const adopted = isConfigurationNew ? configuration : undefined
    isConfigurationNew = false
    return { configuration: adopted, targets }
  }

  const view = (): PublishedStateView => ({
    revision,
    configuration,
    targets: [...known.values()].filter(({ removedMs }) => removedMs === undefined).map(({ entry }) => entry)
  })

  return {
    applyAll,
    applyChanges,
    noteAway: () => { isAway = true },
    noteReturned: nowMs => {
      if (!isAway) return
      isAway = false
      returnedMs = nowMs
      for (const target of known.values()) if (target.keptUntilMs === Infinity) target.keptUntilMs = nowMs + RELISTING_GRACE_MS
    },
    takeChanges,
    view,
    revision: () => revision,
    configuration: () => configuration
  }
}
