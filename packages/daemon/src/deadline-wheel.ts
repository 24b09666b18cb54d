/**
 * Hashed timing wheel (Varghese and Lauck, 1987). All request deadlines share
 * one timer, which runs only while entries are scheduled.
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
  let isArmed = false
  let lastTick = Math.floor(clock.nowMs() / tickMs)

  const arm = (): void => {
    if (isArmed || size === 0) return
    isArmed = true
    clock.after(tickMs, runDueSlots)
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
    isArmed = false
    const tick = Math.floor(clock.nowMs() / tickMs)
    const firstTick = lastTick + 1
    lastTick = tick
    // After a long pause there are fewer occupied slots than missed ticks, so the slots are iterated instead.
    if (tick - firstTick > slots.size) [...slots.keys()].filter(key => key <= tick).sort((a, b) => a - b).forEach(runSlot)
    else for (let due = firstTick; due <= tick; due++) runSlot(due)
    arm()
  }

  const schedule = (atMs: number, run: () => void): WheelEntry => {
    if (size === 0) lastTick = Math.floor(clock.nowMs() / tickMs)
    const tick = Math.max(lastTick + 1, Math.ceil(atMs / tickMs))
    const entry = { tick, run }
    const slot = slots.get(tick)
    if (slot) slot.add(entry)
    else slots.set(tick, new Set([entry]))
    size++
    arm()
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
