/**
 * Bounds how often this node asks a target for its load. The limit holds for
 * all nodes together, so each takes an equal part of it; what was not used for
 * some seconds may be used in a burst.
 */

export type ProbeAllowance = {
  /** Whether the target may be asked now. */
  has: (targetId: string, nowMs: number) => boolean
  take: (targetId: string, nowMs: number) => void
}

/** Seconds of the limit that may be saved for a burst. */
const BURST_S = 5
/** Targets that were not asked for so long have a full allowance again. */
const FORGET_MS = 60_000
const TARGETS_MAX = 20_000

type Tokens = { count: number, atMs: number }

/** @param ratePerTargetPerS limit of the whole fleet, for each target */
export const createProbeAllowance = (ratePerTargetPerS: number, fleetSize: () => number): ProbeAllowance => {
  const targets = new Map<string, Tokens>()

  const ratePerS = (): number => ratePerTargetPerS / fleetSize()
  const burst = (): number => Math.max(1, BURST_S * ratePerS())

  const countAt = (targetId: string, nowMs: number): number => {
    const tokens = targets.get(targetId)
    return tokens ? Math.min(burst(), tokens.count + ratePerS() * (nowMs - tokens.atMs) / 1_000) : burst()
  }

  const forgetOld = (nowMs: number): void => {
    for (const [targetId, { atMs }] of targets) if (nowMs - atMs > FORGET_MS) targets.delete(targetId)
  }

  return {
    has: (targetId, nowMs) => countAt(targetId, nowMs) >= 1,
    take: (targetId, nowMs) => {
      if (targets.size >= TARGETS_MAX) forgetOld(nowMs)
      targets.set(targetId, { count: countAt(targetId, nowMs) - 1, atMs: nowMs })
    }
  }
}
