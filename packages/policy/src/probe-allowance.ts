/**
 * Rate limit for the load probes of this node to each target. The limit holds for
 * all nodes together, so each node uses an equal part of it. Allowance that was
 * not used for some seconds may be used in a burst.
 */

export type ProbeAllowance = {
  /** Whether the target may be probed now. */
  has: (targetId: string, nowMs: number) => boolean
  take: (targetId: string, nowMs: number) => void
}

/** Seconds of the limit that may be saved for a burst. */
const BURST_S = 5
/** A target that was not probed for this long has a full allowance again, so its entry may be deleted. */
const RETENTION_MS = 60_000
const TARGETS_MAX = 20_000

type Tokens = { count: number, updatedMs: number }

/** @param ratePerTargetPerS fleet-wide limit for each target */
export const createProbeAllowance = (ratePerTargetPerS: number, fleetSize: () => number): ProbeAllowance => {
  const targets = new Map<string, Tokens>()

  const ratePerS = (): number => ratePerTargetPerS / fleetSize()
  const burst = (): number => Math.max(1, BURST_S * ratePerS())

  const countAt = (targetId: string, nowMs: number): number => {
    const tokens = targets.get(targetId)
    return tokens ? Math.min(burst(), tokens.count + ratePerS() * (nowMs - tokens.updatedMs) / 1_000) : burst()
  }

  const removeExpired = (nowMs: number): void => {
    for (const [targetId, { updatedMs }] of targets) if (nowMs - updatedMs > RETENTION_MS) targets.delete(targetId)
  }

  return {
    has: (targetId, nowMs) => countAt(targetId, nowMs) >= 1,
    take: (targetId, nowMs) => {
      if (targets.size >= TARGETS_MAX) removeExpired(nowMs)
      targets.set(targetId, { count: countAt(targetId, nowMs) - 1, updatedMs: nowMs })
    }
  }
}
