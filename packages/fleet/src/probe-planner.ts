/**
 * Plans health probes so that the whole fleet stays within the bound on each
 * target whatever the nodes know of each other: each node has the fixed share
 * bound / most entry VMs, from a token bucket with a depth of one. A token
 * that falls due while the target answers others is lost and not saved;
 * otherwise all nodes would probe together when traffic ends. Two probes of a
 * node to a target are at least most entry VMs / bound seconds apart, so the
 * whole fleet keeps the bound in every window of that length; within shorter
 * ones the probes of different nodes can fall together.
 */
import { PAUSE_GAP_MS, PROBE_TRAFFIC_QUIET_MS } from './constants.js'
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
    // An unannounced pause gives nothing either: the process was not there to spend the tokens.
    if (gapMs > 0 && gapMs <= PAUSE_GAP_MS) bucket.tokens = Math.min(1, bucket.tokens + gapMs * ratePerMs())
    bucket.updatedMs = nowMs
  }

  const isInformed = ({ lastAnswerMs, lastProbeAnswerMs }: ProbeCandidate, nowMs: number): boolean => {
    const bound = 1000 / probesPerTargetPerS
    // With the whole interval here, half of the slots would be lost and information would be twice as old.
    return (lastAnswerMs !== undefined && nowMs - lastAnswerMs < Math.max(PROBE_TRAFFIC_QUIET_MS, bound)) ||
      (lastProbeAnswerMs !== undefined && nowMs - lastProbeAnswerMs < bound / 2)
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
      if (probesPerTargetPerS > 0 && takeToken(bucket) && !isInformed(candidate, nowMs)) due.push(candidate.targetId)
    }
    buckets = current
    return due
  }

  return {
    next,
    wake: (_gapMs, nowMs) => { for (const bucket of buckets.values()) bucket.updatedMs = nowMs },
    reconfigure: rates => { ({ probesPerTargetPerS, entryVmCountMax } = rates) }
  }
}
