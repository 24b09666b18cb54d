/**
 * Nodes that may be members: entry VMs of the VM list and unknown senders.
 * They become members by answering a nonce. New ones are tried soon and
 * paced; those that do not answer are tried again from time to time, so that
 * partitions merge.
 */
import type { Random } from '@wisteriavalve/common'
import type { MemberUpdate } from '@wisteriavalve/schema'
import { CANDIDATES_MAX } from './constants.js'
import { pickSome } from './pick-some.js'

export type Candidate = {
  nodeId: string
  host: string
  gossipPort: number
  source: 'vm-list' | 'sender'
  attempts: number
  lastPingMs: number
}

export type Candidates = {
  learnVms: (vms: ReadonlyArray<Pick<Candidate, 'nodeId' | 'host' | 'gossipPort'>>) => void
  /** Adds an unknown sender. */
  learnSender: (sender: MemberUpdate) => void
  get: (nodeId: string) => Candidate | undefined
  delete: (nodeId: string) => void
  /** Candidates to ping in this period. */
  due: (count: number, nowMs: number, intervalMs: number) => Candidate[]
  /** Candidates that did not answer the first pings. */
  silent: () => Candidate[]
  notePing: (candidate: Candidate, nowMs: number) => void
}

/** Pings with the usual pace before a candidate counts as silent. */
const QUICK_ATTEMPTS = 3

/** @param random spreads the first pings, since all nodes have the same list */
export const createCandidates = (random: Random): Candidates => {
  const candidates = new Map<string, Candidate>()

  const add = (nodeId: string, host: string, gossipPort: number, source: Candidate['source']): void => {
    const known = candidates.get(nodeId)
    if (known && known.host === host && known.gossipPort === gossipPort) return
    if (!known && candidates.size >= CANDIDATES_MAX) return
    candidates.set(nodeId, { nodeId, host, gossipPort, source, attempts: 0, lastPingMs: -Infinity })
  }

  const learnVms: Candidates['learnVms'] = vms => {
    const listed = new Set(vms.map(({ nodeId }) => nodeId))
    for (const [nodeId, candidate] of candidates) {
      if (candidate.source === 'vm-list' && !listed.has(nodeId)) candidates.delete(nodeId)
    }
    for (const vm of vms) add(vm.nodeId, vm.host, vm.gossipPort, 'vm-list')
  }

  const isQuick = (candidate: Candidate): boolean => candidate.attempts < QUICK_ATTEMPTS

  return {
    learnVms,
    learnSender: ({ nodeId, host, gossipPort }) => add(nodeId, host, gossipPort, 'sender'),
    get: nodeId => candidates.get(nodeId),
    delete: nodeId => { candidates.delete(nodeId) },
    due: (count, nowMs, intervalMs) =>
      pickSome([...candidates.values()].filter(candidate => isQuick(candidate) && nowMs - candidate.lastPingMs >= intervalMs), count, random),
    silent: () => [...candidates.values()].filter(candidate => !isQuick(candidate)),
    notePing: (candidate, nowMs) => {
      candidate.attempts++
      candidate.lastPingMs = nowMs
      if (candidate.source === 'sender' && !isQuick(candidate)) candidates.delete(candidate.nodeId)
    }
  }
}
