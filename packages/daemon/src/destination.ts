/**
 * Where an attempt goes: to a target of the service, or to a peer that handles the
 * request in place of this node.
 */
import type { Target } from '@wisteriavalve/schema'
import type { Attempt, Exchange } from './exchange.js'
import type { PipelineContext } from './pipeline-context.js'
import { RELAY_REASON } from './relaying.js'

export type Destination = Pick<Attempt, 'targetId' | 'reason' | 'slowdown' | 'table' | 'pool' | 'purpose' | 'hasPermit' | 'warmupPermitEndMs' | 'isRelay'>

export const targetDestination = (context: PipelineContext, { runtime }: Exchange, target: Target): Omit<Destination, 'purpose' | 'reason' | 'hasPermit' | 'warmupPermitEndMs'> => ({
  targetId: target.id,
  slowdown: runtime.table.slowdown(target.id),
  table: runtime.table,
  pool: context.runtimes.connectionsTo(runtime, target),
  isRelay: false
})

export const relayDestination = ({ relaying: { peers } }: PipelineContext, peer: Target): Omit<Destination, 'purpose'> =>
  ({ targetId: peer.id, reason: RELAY_REASON, slowdown: 1, table: peers.table, pool: peers.connectionsTo(peer), isRelay: true, hasPermit: false, warmupPermitEndMs: -Infinity })
