/**
 * Bounds the reads of one node on the configuration service. The service
 * allows about 2,000 reads/s over all readers; the share of each node keeps
 * the whole fleet at a tenth of that even when every node reads at once.
 */
import type { Clock } from '@wisteriavalve/common'
import { wait } from './wait.js'

export type ReadLimit = {
  /** Resolves when a read may be made. */
  acquire: (signal: AbortSignal) => Promise<void>
  setEntryVmCountMax: (count: number) => void
}

const FLEET_READS_PER_S = 200
const READS_PER_S_MAX = 10
const DEPTH = 20

export const createReadLimit = (clock: Clock): ReadLimit => {
  let ratePerS = READS_PER_S_MAX
  /** Time at which the reads granted so far are paid for. */
  let paidMs = clock.nowMs()
  return {
    acquire: async signal => {
      const nowMs = clock.nowMs()
      paidMs = Math.max(paidMs, nowMs - DEPTH * 1000 / ratePerS) + 1000 / ratePerS
      if (paidMs > nowMs) await wait(clock, paidMs - nowMs, signal)
    },
    setEntryVmCountMax: count => { ratePerS = Math.min(READS_PER_S_MAX, Math.max(0.5, FLEET_READS_PER_S / count)) }
  }
}
