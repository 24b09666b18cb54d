/**
 * Requests under which targets have ended. A request that crashes each target
 * that runs it comes again, at any node, and takes one target after the other. It
 * is known by its identity: the same method, path, caller and body. Once it has
 * been running at three targets when they ended, it is banned: refused, and sent
 * to no target. A request that merely was at a target that ended is cleared by
 * its next answer.
 *
 * A ban ends after some time, because a fault in a target is mended one day. One
 * further crash then doubles the time.
 */
import type { CrashReport, SuspectRequests } from './types.js'

/** Crashes after which a request is banned. */
const CRASHES_OF_BAN = 3
/** Crashes after which a request is not sent a second time by the node that has it. */
const CRASHES_OF_LAST_ATTEMPT = 2
const BAN_MS = 10 * 60_000
const BAN_MAX_MS = 24 * 3_600_000
/** Several nodes report the same crash; each notices it within this time. */
const SAME_CRASH_MS = 1_000
const SUSPECTS_MAX = 1_024
/** Maximum number of crashes that a node tells one that has started. */
const REPORTS_MAX = 256
/** Later crashes only extend the ban. */
const CRASHES_KEPT_MAX = 16

type Suspect = { crashes: CrashReport[], lastCrashMs: number }

const isSameCrash = (a: CrashReport, b: CrashReport): boolean =>
  a.service === b.service && a.targetId === b.targetId && Math.abs(a.crashedMs - b.crashedMs) < SAME_CRASH_MS

const banMs = (crashCount: number): number => crashCount < CRASHES_OF_BAN ? 0 : Math.min(BAN_MAX_MS, BAN_MS * 2 ** (crashCount - CRASHES_OF_BAN))

/** Time after the last crash for which a request is remembered: one ban longer than it is banned. */
const memoryMs = (crashCount: number): number => banMs(crashCount) + BAN_MS

/** @param groupOf the part of an identity that is known first */
export const createSuspectRequests = (groupOf: (identity: string) => string): SuspectRequests => {
  /** In the order of the latest crash. */
  const suspects = new Map<string, Suspect>()
  /** Number of suspects of each group. */
  const groupSizes = new Map<string, number>()
  /** Time of the last answer of requests that were suspects, in the order of the answers. */
  const answeredMs = new Map<string, number>()

  const add = (identity: string, suspect: Suspect): void => {
    const group = groupOf(identity)
    suspects.set(identity, suspect)
    groupSizes.set(group, (groupSizes.get(group) ?? 0) + 1)
  }

  const remove = (identity: string): void => {
    if (!suspects.delete(identity)) return
    const group = groupOf(identity)
    const size = (groupSizes.get(group) ?? 0) - 1
    if (size > 0) groupSizes.set(group, size)
    else groupSizes.delete(group)
  }

  const findSuspect = (identity: string, nowMs: number): Suspect | undefined => {
    const suspect = suspects.get(identity)
    if (!suspect || nowMs - suspect.lastCrashMs < memoryMs(suspect.crashes.length)) return suspect
    remove(identity)
    return undefined
  }

  /** Drops the oldest suspect that is not banned, or else the oldest one. */
  const dropOne = (): void => {
    const harmless = [...suspects].find(([, { crashes }]) => crashes.length < CRASHES_OF_BAN)
    const identity = harmless?.[0] ?? suspects.keys().next().value
    if (identity !== undefined) remove(identity)
  }

  const recordCrash: SuspectRequests['recordCrash'] = (report, nowMs) => {
    if (report.crashedMs <= (answeredMs.get(report.identity) ?? -Infinity)) return false
    const suspect = findSuspect(report.identity, nowMs) ?? { crashes: [], lastCrashMs: -Infinity }
    if (suspect.crashes.some(crash => isSameCrash(crash, report))) return false
    if (suspect.crashes.length < CRASHES_KEPT_MAX) suspect.crashes.push(report)
    suspect.lastCrashMs = Math.max(suspect.lastCrashMs, report.crashedMs)
    remove(report.identity)
    add(report.identity, suspect)
    if (suspects.size > SUSPECTS_MAX) dropOne()
    return true
  }

  const recordAnswered: SuspectRequests['recordAnswered'] = (identity, atMs) => {
    answeredMs.delete(identity)
    answeredMs.set(identity, atMs)
    if (answeredMs.size > SUSPECTS_MAX) answeredMs.delete(answeredMs.keys().next().value as string)
    const suspect = suspects.get(identity)
    remove(identity)
    const later = suspect?.crashes.filter(({ crashedMs }) => crashedMs > atMs) ?? []
    if (suspect && later.length > 0) add(identity, { ...suspect, crashes: later })
  }

  const crashCount = (identity: string, nowMs: number): number => findSuspect(identity, nowMs)?.crashes.length ?? 0

  return {
    recordCrash,
    recordAnswered,
    crashCount,
    isBanned: (identity, nowMs) => {
      const suspect = findSuspect(identity, nowMs)
      return suspect !== undefined && nowMs - suspect.lastCrashMs < banMs(suspect.crashes.length)
    },
    mayRepeat: (identity, nowMs) => crashCount(identity, nowMs) < CRASHES_OF_LAST_ATTEMPT,
    hasGroup: group => groupSizes.has(group),
    reports: nowMs => [...suspects.keys()]
      .flatMap(identity => findSuspect(identity, nowMs) ?? [])
      .sort((a, b) => b.crashes.length - a.crashes.length || b.lastCrashMs - a.lastCrashMs)
      .flatMap(({ crashes }) => crashes)
      .slice(0, REPORTS_MAX),
    count: () => suspects.size
  }
}
