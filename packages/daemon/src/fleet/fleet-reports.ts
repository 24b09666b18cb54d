/**
 * Reports that are the same in both fleet runtimes: member state changes, and
 * fleet-wide queries for status, explain and report.
 */
import type { MemberState, MemberUpdate } from '@wisteriavalve/schema'
import type { PeerClients } from '../adapters/peer-client.js'
import type { DaemonContext, FleetRuntime, PeerSource } from '../types.js'
import { queryNodes } from './query-nodes.js'

/** Records state changes of members as a log line and as an event for explain. */
export const createMemberReporter = ({ log, events, clock }: DaemonContext) => (member: MemberUpdate, previous: MemberState | undefined): void => {
  log('member_state', { member: member.nodeId, state: member.state, previous: previous ?? 'unknown', incarnation: member.incarnation })
  events.add({
    atMs: clock.nowMs(),
    wallMs: Date.now(),
    event: 'member_state',
    automatic: true,
    text: `Node ${member.nodeId} is ${member.state}, previously ${previous ?? 'unknown'}.`
  })
}

export type FleetQueryOptions = {
  nodeId: string
  /** Undefined until the fleet runtime is started. */
  source: () => PeerSource | undefined
  peers: () => readonly MemberUpdate[]
  clients: PeerClients
}

/** Queries all nodes, this one included. The queries throw an Error before the fleet runtime is started. */
export const createFleetQueries = ({ nodeId, source, peers, clients }: FleetQueryOptions): Pick<FleetRuntime, 'queryFleetStatus' | 'queryFleetExplain' | 'queryFleetReport'> => {
  const localSource = (): PeerSource => {
    const started = source()
    if (!started) throw new Error('the fleet runtime was not started')
    return started
  }
  return {
    queryFleetStatus: () => queryNodes(localSource().status(), peers(), peer => clients.to(peer).status.query()),
    queryFleetExplain: query => queryNodes(
      { nodeId, events: localSource().explain(query) }, peers(),
      async peer => ({ nodeId: peer.nodeId, events: await clients.to(peer).explain.query(query) })),
    queryFleetReport: () => queryNodes(localSource().report(), peers(), peer => clients.to(peer).report.query())
  }
}
