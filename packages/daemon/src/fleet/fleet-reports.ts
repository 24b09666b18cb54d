/**
 * What both kinds of fleet runtime tell alike: changes of members, and the
 * state of all nodes.
 */
import type { MemberState, MemberUpdate } from '@wisteriavalve/schema'
import type { PeerClients } from '../adapters/peer-client.js'
import type { DaemonContext, FleetRuntime, PeerSource } from '../types.js'
import { gather } from './gather.js'

/** Tells a change of another node, as a log line and for explain. */
export const createMemberReporter = ({ log, events, clock }: DaemonContext) => (member: MemberUpdate, previous: MemberState | undefined): void => {
  log('member_state', { member: member.nodeId, state: member.state, previous: previous ?? 'unknown', incarnation: member.incarnation })
  events.add({
    atMs: clock.nowMs(),
    wallMs: Date.now(),
    event: 'member_state',
    automatic: true,
    text: `Node ${member.nodeId} is ${member.state}, before: ${previous ?? 'unknown'}.`
  })
}

export type FleetQueryOptions = {
  nodeId: string
  /** Undefined before the start. */
  source: () => PeerSource | undefined
  peers: () => readonly MemberUpdate[]
  clients: PeerClients
}

/** Asks all nodes, this one included. @throws Error before the start */
export const createFleetQueries = ({ nodeId, source, peers, clients }: FleetQueryOptions): Pick<FleetRuntime, 'gatherStatus' | 'gatherExplain' | 'gatherReport'> => {
  const localSource = (): PeerSource => {
    const started = source()
    if (!started) throw new Error('the fleet runtime was not started')
    return started
  }
  return {
    gatherStatus: () => gather(localSource().status(), peers(), peer => clients.to(peer).status.query()),
    gatherExplain: query => gather(
      { nodeId, events: localSource().explain(query) }, peers(),
      async peer => ({ nodeId: peer.nodeId, events: await clients.to(peer).explain.query(query) })),
    gatherReport: () => gather(localSource().report(), peers(), peer => clients.to(peer).report.query())
  }
}
