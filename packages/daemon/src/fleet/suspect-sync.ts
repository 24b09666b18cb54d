/**
 * Copies what peers know of requests under which targets ended. Gossip tells of
 * each crash once, so a node that has started, was paused or was cut off asks two
 * peers soon, and every node asks one now and then.
 */
import type { Clock, Random } from '@wisteriavalve/common'
import type { MemberUpdate, TargetNote } from '@wisteriavalve/schema'
import type { PeerClients } from '../adapters/peer-client.js'

export type SuspectSync = {
  start: () => void
  /** To be called when notes may have been missed. */
  hurry: () => void
  stop: () => void
}

export type SuspectSyncOptions = {
  clock: Clock
  random: Random
  peers: () => readonly MemberUpdate[]
  clients: PeerClients
  onNotes: (notes: TargetNote[]) => void
}

const INTERVAL_MS = 10_000
const HURRIED_INTERVAL_MS = 300
const HURRIED_ANSWERS = 2
/** Peers of an earlier release do not know the query. */
const HURRIED_QUERIES_MAX = 20

export const createSuspectSync = ({ clock, random, peers, clients, onNotes }: SuspectSyncOptions): SuspectSync => {
  let answersLeft = HURRIED_ANSWERS
  let queriesLeft = HURRIED_QUERIES_MAX
  let isStopped = false
  let cancel = (): void => {}

  const query = async (): Promise<void> => {
    const alive = peers().filter(({ state }) => state === 'alive')
    const peer = alive[random.int(Math.max(1, alive.length))]
    if (!peer) return
    queriesLeft--
    try {
      const notes = await clients.to(peer).crashNotes.query()
      answersLeft--
      if (notes.length > 0) onNotes(notes)
    } catch {
      // The next query goes to another peer. Whether a peer answers is logged by the queries of the published state.
    }
  }

  const schedule = (): void => {
    if (isStopped) return
    const isHurried = answersLeft > 0 && queriesLeft > 0
    cancel = clock.after(isHurried ? HURRIED_INTERVAL_MS : INTERVAL_MS, () => { query().then(schedule, error => { throw error }) })
  }

  return {
    start: schedule,
    hurry: () => {
      answersLeft = HURRIED_ANSWERS
      queriesLeft = HURRIED_QUERIES_MAX
      cancel()
      schedule()
    },
    stop: () => {
      isStopped = true
      cancel()
    }
  }
}
