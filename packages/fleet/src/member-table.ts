/**
 * Members in the view of this node. Every change passes through the member
 * lifecycle, so no source can revert a state.
 */
import type { MemberState, MemberUpdate } from '@wisteriavalve/schema'
import { nextMemberState } from './member-lifecycle.js'

export type MemberRecord = {
  update: MemberUpdate
  /** Time of the last change of state. */
  sinceMs: number
  /** Recorded before a pause and not confirmed since; not forwarded to other nodes. */
  isStale: boolean
}

export type MemberChange = { record: MemberRecord, previous: MemberState | undefined }

export type MemberTable = {
  get: (nodeId: string) => MemberRecord | undefined
  records: () => Iterable<MemberRecord>
  add: (update: MemberUpdate, nowMs: number) => MemberChange
  /** Returns undefined when the update changes nothing. */
  apply: (update: MemberUpdate, nowMs: number) => MemberChange | undefined
  /** Marks members as dead whose suspicion timed out and returns the changes. */
  expireSuspicions: (timeoutMs: number, nowMs: number) => MemberChange[]
  /** Removes dead members after the retention time and returns their ids. */
  forgetDead: (retentionMs: number, nowMs: number) => string[]
  markStale: (nowMs: number) => void
  /** Members that are not dead. */
  presentCount: () => number
}

export const createMemberTable = (): MemberTable => {
  const records = new Map<string, MemberRecord>()
  let presentCount = 0

  const updatePresentCount = (previous: MemberState | undefined, next: MemberState): void => {
    presentCount += Number(next !== 'dead') - Number(previous !== undefined && previous !== 'dead')
  }

  const add = (update: MemberUpdate, nowMs: number): MemberChange => {
    const record = { update, sinceMs: nowMs, isStale: false }
    records.set(update.nodeId, record)
    updatePresentCount(undefined, update.state)
    return { record, previous: undefined }
  }

  const change = (record: MemberRecord, update: MemberUpdate, nowMs: number): MemberChange => {
    const previous = record.update.state
    record.update = update
    if (previous !== update.state) record.sinceMs = nowMs
    updatePresentCount(previous, update.state)
    return { record, previous }
  }

  const apply = (update: MemberUpdate, nowMs: number): MemberChange | undefined => {
    const record = records.get(update.nodeId)
    if (!record || update.incarnation < record.update.incarnation) return undefined
    record.isStale = false
    const age = update.incarnation > record.update.incarnation ? 'newer' : 'same'
    const next = nextMemberState(record.update.state, `${age}-${update.state}`)
    return next === undefined ? undefined : change(record, { ...update, state: next }, nowMs)
  }

  const expireSuspicions = (timeoutMs: number, nowMs: number): MemberChange[] => {
    const changes: MemberChange[] = []
    for (const record of records.values()) {
      if (record.update.state !== 'suspect' || nowMs - record.sinceMs < timeoutMs) continue
      const state = nextMemberState('suspect', 'suspicion-expired') ?? 'dead'
      changes.push(change(record, { ...record.update, state }, nowMs))
    }
    return changes
  }

  const forgetDead = (retentionMs: number, nowMs: number): string[] => {
    const forgotten: string[] = []
    for (const [nodeId, record] of records) {
      if (record.update.state !== 'dead' || nowMs - record.sinceMs < retentionMs) continue
      records.delete(nodeId)
      forgotten.push(nodeId)
    }
    return forgotten
  }

  const markStale = (nowMs: number): void => {
    for (const record of records.values()) {
      record.isStale = true
      if (record.update.state === 'suspect' || record.update.state === 'dead') record.sinceMs = nowMs
    }
  }

  return {
    get: nodeId => records.get(nodeId),
    records: () => records.values(),
    add,
    apply,
    expireSuspicions,
    forgetDead,
    markStale,
    presentCount: () => presentCount
  }
}
