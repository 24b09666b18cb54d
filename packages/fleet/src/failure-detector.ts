/**
 * Failure detection of SWIM. Each protocol period pings the next member of a
 * shuffled round. If the ack does not arrive in time, indirect pings are
 * requested from other members. A member without an ack at the end of the period
 * is suspected.
 */
import { shuffle, type Random } from '@wisteriavalve/common'
import { DIRECT_PING_TIMEOUT_MS } from './constants.js'

export type DetectorStep =
  | { step: 'ping', nodeId: string }
  | { step: 'ask-others', nodeId: string }
  | { step: 'suspect', nodeId: string }

/** Ids of the members that may be pinged, and of those in the next round. */
export type DetectorMembers = {
  present: () => string[]
  nextRound: () => string[]
}

export type FailureDetector = {
  step: (nowMs: number, members: DetectorMembers) => DetectorStep[]
  /** Inserts a new member at a random position of the current round; otherwise earlier members would be pinged more often. */
  addMember: (nodeId: string) => void
  /** Records an ack, which shows that the member is running. */
  recordAck: (nodeId: string) => void
  /** Drops the current ping and starts a new period. */
  restart: (nowMs: number) => void
}

type PeriodPing = { nodeId: string, sentMs: number, isAcked: boolean, hasIndirectPings: boolean }

export const createFailureDetector = (random: Random, periodMs: number): FailureDetector => {
  let round: string[] = []
  let currentPing: PeriodPing | undefined
  let periodEndMs: number | undefined

  const nextMember = (members: DetectorMembers): string | undefined => {
    const present = new Set(members.present())
    for (let refills = 0; refills < 2; refills++) {
      for (let next = round.pop(); next !== undefined; next = round.pop()) if (present.has(next)) return next
      round = shuffle(members.nextRound(), random)
    }
    return undefined
  }

  const startPeriod = (nowMs: number, members: DetectorMembers): DetectorStep[] => {
    periodEndMs = nowMs + periodMs
    const nodeId = nextMember(members)
    currentPing = nodeId === undefined ? undefined : { nodeId, sentMs: nowMs, isAcked: false, hasIndirectPings: false }
    return nodeId === undefined ? [] : [{ step: 'ping', nodeId }]
  }

  const step = (nowMs: number, members: DetectorMembers): DetectorStep[] => {
    periodEndMs ??= nowMs + random.next() * periodMs
    if (nowMs >= periodEndMs) {
      const failed: DetectorStep[] = currentPing && !currentPing.isAcked ? [{ step: 'suspect', nodeId: currentPing.nodeId }] : []
      return [...failed, ...startPeriod(nowMs, members)]
    }
    if (!currentPing || currentPing.isAcked || currentPing.hasIndirectPings || nowMs - currentPing.sentMs < DIRECT_PING_TIMEOUT_MS) return []
    currentPing.hasIndirectPings = true
    return [{ step: 'ask-others', nodeId: currentPing.nodeId }]
  }

  return {
    step,
    addMember: nodeId => { round.splice(random.int(round.length + 1), 0, nodeId) },
    recordAck: nodeId => { if (currentPing?.nodeId === nodeId) currentPing.isAcked = true },
    restart: nowMs => {
      currentPing = undefined
      periodEndMs = nowMs + random.next() * periodMs
    }
  }
}
