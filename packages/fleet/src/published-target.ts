/**
 * What a node knows of one target in the platform's store. A restored store can
 * list a target that has left since the copy was made. Such a listing is doubtful
 * until the target's lease in the restored store has run out once: a target that
 * lives has renewed it by then.
 */
import type { PublishedTarget } from './types.js'
import { LEAVING_RETENTION_MS, RELISTING_GRACE_MS } from './constants.js'

export type PublishedTargetRecord = {
  entry: PublishedTarget
  /** When the target was removed from the list; undefined while it is listed. */
  removedMs?: number
  /** A removed target receives requests until this time. */
  keptUntilMs: number
  /** Entry of a restored store for a target that is known to have left. */
  doubtfulListing?: { entry: PublishedTarget, sinceMs: number }
}

export const createTargetRecord = (entry: PublishedTarget): PublishedTargetRecord => ({ entry, keptUntilMs: -Infinity })

export const isRemoved = ({ removedMs, keptUntilMs }: PublishedTargetRecord, nowMs: number): boolean =>
  removedMs !== undefined && nowMs >= keptUntilMs

/** Whether the target gets no new requests. */
export const isLeaving = (record: PublishedTargetRecord, nowMs: number): boolean =>
  isRemoved(record, nowMs) || record.entry.state === 'draining'

const isSameProcess = (a: PublishedTarget, b: PublishedTarget): boolean =>
  a.incarnation === b.incarnation && a.host === b.host && a.port === b.port

/** Whether an entry of a restored store contradicts that the target has left. */
export const isDoubtful = (record: PublishedTargetRecord, listed: PublishedTarget, nowMs: number): boolean =>
  listed.state === 'ready' && isLeaving(record, nowMs) && isSameProcess(record.entry, listed)

export const isListingConfirmed = ({ doubtfulListing }: PublishedTargetRecord, targetLeaseMs: number, nowMs: number): boolean =>
  doubtfulListing !== undefined && nowMs - doubtfulListing.sinceMs >= targetLeaseMs + RELISTING_GRACE_MS

/** The target as the store lists it; undefined when it is not listed. */
export const listedEntry = ({ entry, removedMs, doubtfulListing }: PublishedTargetRecord): PublishedTarget | undefined =>
  doubtfulListing?.entry ?? (removedMs === undefined ? entry : undefined)

/** Whether the removal is so long ago that no list shows the target any more. */
export const isForgettable = ({ removedMs, keptUntilMs, doubtfulListing }: PublishedTargetRecord, nowMs: number): boolean =>
  removedMs !== undefined && doubtfulListing === undefined && nowMs - removedMs >= LEAVING_RETENTION_MS && keptUntilMs === -Infinity
