/**
 * Rate limit for one node's reads of the configuration service. The service
 * allows about 2,000 reads/s over all readers. The limit of each node keeps the
 * whole fleet at a tenth of that, even when all nodes read at the same time.
 */
import type { Clock } from '@wisteriavalve/common'
import { wait } from './wait.js'

export type ReadLimiter = {
  /** Resolves when the rate permits the next read. */
  acquire: (signal: AbortSignal) => Promise<void>
  setEntryVmCountMax: (count: number) => void
}

const FLEET_READS_PER_S = 200
const READS_PER_S_MAX = 10
const BURST_READS = 20

export const createReadLimiter = (clock: Clock): ReadLimiter => {
  let readsPerS = READS_PER_S_MAX
  /** Time until which the reads granted so far use up the permitted rate. */
  let reservedUntilMs = clock.nowMs()
  return {
    acquire: async signal => {
      const nowMs = clock.nowMs()
      reservedUntilMs = Math.max(reservedUntilMs, nowMs - BURST_READS * 1000 / readsPerS) + 1000 / readsPerS
      if (reservedUntilMs > nowMs) await wait(clock, reservedUntilMs - nowMs, signal)
    },
    setEntryVmCountMax: count => { readsPerS = Math.min(READS_PER_S_MAX, Math.max(0.5, FLEET_READS_PER_S / count)) }
  }
}
