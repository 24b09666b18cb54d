/**
 * Failure detection of SWIM: one ping per protocol period to the next member
 * of a shuffled round, indirect pings through other members when the ack does
 * not come in time, and suspicion at the end of the period.
 */
import { shuffle, type Random } from '@wisteriavalve/common'
import { DIRECT_TIMEOUT_MS } from './constants.js'

export type DetectorStep =
  | { step: 'ping', nodeId: string }
  | { step: 'ask-others', nodeId: string }
  | { step: 'suspect', nodeId: string }

/** Members that may be pinged, and those of the next round. */
export type DetectorMembers = {
  present: () => string[]
  round: () => string[]
}

export type FailureDetector = {
  step: (nowMs: number, members: DetectorMembers) => DetectorStep[]
  /** Puts a new member at a random place of the round under way, so that the members known first are not pinged more often. */
  noteMember: (nodeId: string) => void
  /** An ack proves that a member runs. */
  noteAck: (nodeId: string) => void
  /** Drops the ping under way and starts a new period. */
  restart: (nowMs: number) => void
}

type Probe = { nodeId: string, sentMs: number, isAcked: boolean, askedOthers: boolean }

export const createFailureDetector = (random: Random, periodMs: number): FailureDetector => {
  let round: string[] = []
  let probe: Probe | undefined
  let periodEndMs: number | undefined

  const nextMember = (members: DetectorMembers): string | undefined => {
    const present = new Set(members.present())
    for (let refills = 0; refills < 2; refills++) {
      for (let next = round.pop(); next !== undefined; next = round.pop()) if (present.has(next)) return next
      round = shuffle(members.round(), random)
    }
    return undefined
  }

  const startPeriod = (nowMs: number, members: DetectorMembers): DetectorStep[] => {
    periodEndMs = nowMs + periodMs
    const nodeId = nextMember(members)
    probe = nodeId === undefined ? undefined : { nodeId, sentMs: nowMs, isAcked: false, askedOthers: false }
    return nodeId === undefined ? [] : [{ step: 'ping', nodeId }]
  }

  const step = (nowMs: number, members: DetectorMembers): DetectorStep[] => {
    periodEndMs ??= nowMs + random.next() * periodMs
    if (nowMs >= periodEndMs) {
      const failed: DetectorStep[] = probe && !probe.isAcked ? [{ step: 'suspect', nodeId: probe.nodeId }] : []
      return [...failed, ...startPeriod(nowMs, members)]
    }
    if (!probe || probe.isAcked || probe.askedOthers || nowMs - probe.sentMs < DIRECT_TIMEOUT_MS) return []
    probe.askedOthers = true
    return [{ step: 'ask-others', nodeId: probe.nodeId }]
  }

  return {
    step,
    noteMember: nodeId => { round.splice(random.int(round.length + 1), 0, nodeId) },
    noteAck: nodeId => { if (probe?.nodeId === nodeId) probe.isAcked = true },
    restart: nowMs => {
      probe = undefined
      periodEndMs = nowMs + random.next() * periodMs
    }
  }
}
