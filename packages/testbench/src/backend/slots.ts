/**
 * Execution slots of a backend server test double, with a queue. The speed can
 * change at any time and also applies to running jobs, because a noisy neighbour
 * takes processor time from running requests too.
 */

export type Job = {
  /** Service time at full speed. */
  workMs: number
  start: () => void
  finish: () => void
}

type RunningJob = Job & { remainingMs: number, scheduledMs: number, timer: NodeJS.Timeout }

export type Slots = {
  /** @returns false when slots and queue are full */
  offer: (job: Job) => boolean
  /** Removes a queued or running job. */
  cancel: (job: Job) => void
  /** Multiplies service times by this factor from now on. */
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
    running.set(job, { ...job, remainingMs, scheduledMs: performance.now(), timer })
  }
  const startNextJobs = (): void => {
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
    startNextJobs()
  }

  const offer = (job: Job): boolean => {
    if (running.size >= slotCount && queue.length >= queueMax) return false
    queue.push(job)
    startNextJobs()
    return true
  }

  const cancel = (job: Job): void => {
    const position = queue.indexOf(job)
    if (position >= 0) queue.splice(position, 1)
    const runningJob = running.get(job)
    if (!runningJob) return
    clearTimeout(runningJob.timer)
    running.delete(job)
    startNextJobs()
  }

  const setSlowdown = (next: number): void => {
    const nowMs = performance.now()
    const previous = slowdown
    slowdown = next
    for (const [job, { remainingMs, scheduledMs, timer }] of [...running]) {
      clearTimeout(timer)
      schedule(job, Math.max(0, remainingMs - (nowMs - scheduledMs) / previous))
    }
  }

  return { offer, cancel, setSlowdown, runningCount: () => running.size, queuedCount: () => queue.length }
}
