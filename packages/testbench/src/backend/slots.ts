/**
 * Processor of a backend server stand-in: slots with a queue. The speed can
 * change at any time and also slows or speeds up what is running, because a
 * noisy neighbour takes the processor from running requests too.
 */

export type Job = {
  /** Service time at full speed. */
  workMs: number
  start: () => void
  finish: () => void
}

type RunningJob = Job & { remainingMs: number, sinceMs: number, timer: NodeJS.Timeout }

export type Slots = {
  /** false when slots and queue are full. */
  offer: (job: Job) => boolean
  /** Takes out a job that waits or runs. */
  cancel: (job: Job) => void
  /** Service takes this many times as long from now on. */
  setSlowdown: (slowdown: number) => void
  runningCount: () => number
  queuedCount: () => number
}

export const createSlots = (slotCount: number, queueMax: number): Slots => {
  const running = new Map<Job, RunningJob>()
  const queue: Job[] = []
  let slowdown = 1

  const schedule = (job: Job, remainingMs: number): void => {
    const timer = setTimeout(() => finish(job), remainingMs * slowdown)
    running.set(job, { ...job, remainingMs, sinceMs: performance.now(), timer })
  }
  const startNext = (): void => {
    while (running.size < slotCount) {
      const job = queue.shift()
      if (!job) return
      schedule(job, job.workMs)
      job.start()
    }
  }
  const finish = (job: Job): void => {
    running.delete(job)
    job.finish()
    startNext()
  }

  const offer = (job: Job): boolean => {
    if (running.size >= slotCount && queue.length >= queueMax) return false
    queue.push(job)
    startNext()
    return true
  }

  const cancel = (job: Job): void => {
    const place = queue.indexOf(job)
    if (place >= 0) queue.splice(place, 1)
    const started = running.get(job)
    if (!started) return
    clearTimeout(started.timer)
    running.delete(job)
    startNext()
  }

  const setSlowdown = (next: number): void => {
    const nowMs = performance.now()
    const previous = slowdown
    slowdown = next
    for (const [job, { remainingMs, sinceMs, timer }] of [...running]) {
      clearTimeout(timer)
      schedule(job, Math.max(0, remainingMs - (nowMs - sinceMs) / previous))
    }
  }

  return { offer, cancel, setSlowdown, runningCount: () => running.size, queuedCount: () => queue.length }
}
