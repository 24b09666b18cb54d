/**
 * Nodes that may become members: entry VMs of the VM list and unknown senders.
 * A candidate becomes a member by acknowledging a nonce. New candidates are pinged
 * promptly at a limited rate. Unresponsive ones from the VM list are retried
 * periodically, which merges partitions.
 */
import type { Random } from '@wisteriavalve/common'
import type { MemberUpdate } from '@wisteriavalve/schema'
import { CANDIDATES_MAX } from './constants.js'
import { pickRandom } from './pick-random.js'

export type Candidate = {
  nodeId: string
  host: string
  gossipPort: number
  source: 'vm-list' | 'sender'
  attempts: number
  lastPingMs: number
}

export type Candidates = {
  updateFromVmList: (vms: ReadonlyArray<Pick<Candidate, 'nodeId' | 'host' | 'gossipPort'>>) => void
  addSender: (sender: MemberUpdate) => void
  get: (nodeId: string) => Candidate | undefined
  delete: (nodeId: string) => void
  /** Returns up to count candidates for the initial pings, each pinged at most once per interval. */
  due: (count: number, nowMs: number, intervalMs: number) => Candidate[]
  /** Returns the candidates that did not answer the initial pings. */
  unresponsive: () => Candidate[]
  recordPing: (candidate: Candidate, nowMs: number) => void
}

/** Pings at the normal rate before a candidate is treated as unresponsive. */
const INITIAL_PING_COUNT = 3

/** @param random spreads the initial pings, because all nodes receive the same VM list */
export const createCandidates = (random: Random): Candidates => {
  const candidates = new Map<string, Candidate>()

  const add = (nodeId: string, host: string, gossipPort: number, source: Candidate['source']): void => {
    const existing = candidates.get(nodeId)
    if (existing && existing.host === host && existing.gossipPort === gossipPort) return
    if (!existing && candidates.size >= CANDIDATES_MAX) return
    candidates.set(nodeId, { nodeId, host, gossipPort, source, attempts: 0, lastPingMs: -Infinity })
  }

  const updateFromVmList: Candidates['updateFromVmList'] = vms => {
    const listed = new Set(vms.map(({ nodeId }) => nodeId))
    for (const [nodeId, candidate] of candidates) {
      if (candidate.source === 'vm-list' && !listed.has(nodeId)) candidates.delete(nodeId)
    }
    for (const vm of vms) add(vm.nodeId, vm.host, vm.gossipPort, 'vm-list')
  }

  const hasInitialPingsLeft = (candidate: Candidate): boolean => candidate.attempts < INITIAL_PING_COUNT

  return {
    updateFromVmList,
    addSender: ({ nodeId, host, gossipPort }) => add(nodeId, host, gossipPort, 'sender'),
    get: nodeId => candidates.get(nodeId),
    delete: nodeId => { candidates.delete(nodeId) },
    due: (count, nowMs, intervalMs) =>
      pickRandom([...candidates.values()].filter(candidate => hasInitialPingsLeft(candidate) && nowMs - candidate.lastPingMs >= intervalMs), count, random),
    unresponsive: () => [...candidates.values()].filter(candidate => !hasInitialPingsLeft(candidate)),
    recordPing: (candidate, nowMs) => {
      candidate.attempts++
      candidate.lastPingMs = nowMs
      if (candidate.source === 'sender' && !hasInitialPingsLeft(candidate)) candidates.delete(candidate.nodeId)
    }
  }
}
