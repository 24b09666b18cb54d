/**
 * Plans health probes so that the whole fleet stays within the probe limit of
 * each target, independent of the nodes' views of membership. Each node has the
 * fixed share probesPerTargetPerS / entryVmCountMax, from a token bucket with a
 * depth of one. A token that becomes due while the target answers other requests
 * is discarded; otherwise all nodes would probe together when traffic ends. Two
 * probes of one node to a target are at least entryVmCountMax /
 * probesPerTargetPerS seconds apart, so the fleet keeps the limit in every window
 * of that length. In shorter windows, probes of different nodes can coincide.
 */
import { PAUSE_GAP_MS, PROBE_AFTER_IDLE_MS } from './constants.js'
import type { ProbeCandidate, ProbePlanner, ProbePlannerOptions } from './types.js'

type Bucket = { tokens: number, updatedMs: number }

/** Spreads the probes of nodes that started together. */
const PHASE_JITTER = 0.1

export const createProbePlanner = (options: ProbePlannerOptions): ProbePlanner => {
  const { random } = options
  let { probesPerTargetPerS, entryVmCountMax } = options
  let buckets = new Map<string, Bucket>()

  const ratePerMs = (): number => probesPerTargetPerS / entryVmCountMax / 1000

  const refill = (bucket: Bucket, nowMs: number): void => {
    const gapMs = nowMs - bucket.updatedMs
    // An unannounced pause does not refill tokens either: the process could not have used them.
    if (gapMs > 0 && gapMs <= PAUSE_GAP_MS) bucket.tokens = Math.min(1, bucket.tokens + gapMs * ratePerMs())
    bucket.updatedMs = nowMs
  }

  const hasRecentResponse = ({ lastResponseMs, lastProbeResponseMs }: ProbeCandidate, nowMs: number): boolean => {
    const intervalMs = 1000 / probesPerTargetPerS
    // With the full interval, half of the probes would be skipped and observations would be twice as old.
    return (lastResponseMs !== undefined && nowMs - lastResponseMs < Math.max(PROBE_AFTER_IDLE_MS, intervalMs)) ||
      (lastProbeResponseMs !== undefined && nowMs - lastProbeResponseMs < intervalMs / 2)
  }

  const takeToken = (bucket: Bucket): boolean => {
    if (bucket.tokens < 1) return false
    bucket.tokens = -PHASE_JITTER * random.next()
    return true
  }

  const next = (candidates: readonly ProbeCandidate[], nowMs: number): string[] => {
    const due: string[] = []
    const current = new Map<string, Bucket>()
    for (const candidate of candidates) {
      if (current.has(candidate.targetId)) continue
      const bucket = buckets.get(candidate.targetId) ?? { tokens: -random.next(), updatedMs: nowMs }
      current.set(candidate.targetId, bucket)
      refill(bucket, nowMs)
      if (probesPerTargetPerS > 0 && takeToken(bucket) && !hasRecentResponse(candidate, nowMs)) due.push(candidate.targetId)
    }
    buckets = current
    return due
  }

  return {
    next,
    resumeAfterPause: (_gapMs, nowMs) => { for (const bucket of buckets.values()) bucket.updatedMs = nowMs },
    reconfigure: rates => { ({ probesPerTargetPerS, entryVmCountMax } = rates) }
  }
}
