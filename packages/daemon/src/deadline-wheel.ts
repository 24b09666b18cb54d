/**
 * Hashed timing wheel (Varghese and Lauck, 1987). All request deadlines share
 * one timer, which is set for the earliest occupied slot, so the process sleeps
 * until a deadline is due. Most requests end before their deadlines, and a
 * cancelled entry leaves the timer as it is: it then fires once without effect.
 */
import type { Clock } from '@wisteriavalve/common'

export type WheelEntry = { tick: number, run: () => void }

export type DeadlineWheel = {
  /** Runs the callback at the given time or up to one tick later. */
  schedule: (atMs: number, run: () => void) => WheelEntry
  cancel: (entry: WheelEntry) => void
  size: () => number
}

export const createDeadlineWheel = (clock: Clock, tickMs: number): DeadlineWheel => {
  const slots = new Map<number, Set<WheelEntry>>()
  let size = 0
  let armedTick = Infinity
  let cancelTimer = (): void => {}
  /** All slots up to this tick have run. */
  let lastTick = Math.floor(clock.nowMs() / tickMs)

  const armFor = (tick: number): void => {
    if (tick >= armedTick) return
    cancelTimer()
    armedTick = tick
    cancelTimer = clock.after(Math.max(0, Math.ceil(tick * tickMs - clock.nowMs())), runDueSlots)
  }

  /** The next slot is usually a few ticks away; when it is not, comparing the slots takes fewer steps than the ticks between. */
  const findEarliestTick = (): number => {
    for (let step = 1; step <= slots.size; step++) if (slots.has(lastTick + step)) return lastTick + step
    let earliest = Infinity
    for (const tick of slots.keys()) earliest = Math.min(earliest, tick)
    return earliest
  }

  const runSlot = (tick: number): void => {
    const slot = slots.get(tick)
    if (!slot) return
    slots.delete(tick)
    size -= slot.size
    for (const entry of slot) {
      slot.delete(entry)
      entry.run()
    }
  }

  const runDueSlots = (): void => {
    armedTick = Infinity
    const tick = Math.floor(clock.nowMs() / tickMs)
    const firstTick = lastTick + 1
    lastTick = tick
    // After a long time there are fewer occupied slots than missed ticks, so the slots are iterated instead.
    if (tick - firstTick > slots.size) [...slots.keys()].filter(key => key <= tick).sort((a, b) => a - b).forEach(runSlot)
    else for (let due = firstTick; due <= tick; due++) runSlot(due)
    if (size > 0) armFor(findEarliestTick())
  }

  const schedule = (atMs: number, run: () => void): WheelEntry => {
    if (size === 0) lastTick = Math.floor(clock.nowMs() / tickMs)
    const tick = Math.max(lastTick + 1, Math.ceil(atMs / tickMs))
    const entry = { tick, run }
    const slot = slots.get(tick)
    if (slot) slot.add(entry)
    else slots.set(tick, new Set([entry]))
    size++
    armFor(tick)
    return entry
  }

  const cancel = (entry: WheelEntry): void => {
    const slot = slots.get(entry.tick)
    if (!slot?.delete(entry)) return
    size--
    if (slot.size === 0) slots.delete(entry.tick)
  }

  return { schedule, cancel, size: () => size }
}
