/**
 * Hundreds of memberships in one process on a manual clock, connected by a
 * simulated network with partitions, loss, pauses, kills and restarts. Counts the
 * messages and bytes that each node sends.
 */
import { createManualClock, createRandom, type ManualClock, type Random } from '@wisteriavalve/common'
import type { ConfigurationOrder, GossipMessage, MemberUpdate, TargetNote, VmEntry } from '@wisteriavalve/schema'
import { createMembership, createReplayGuard, type GossipAddress, type Membership, type MembershipAction, type ReplayGuard } from '../src/index.js'

export type Datagram = { from: string, bootId: number, sequence: number, message: GossipMessage, to: GossipAddress, bytes: number }

export type SimulatedNode = {
  id: string
  vm: VmEntry
  membership: Membership
  guard: ReplayGuard
  bootId: number
  sequence: number
  state: 'up' | 'down' | 'paused'
  group: number
  sentBytes: number
  sentCount: number
  notes: TargetNote[]
  seen: ConfigurationOrder[]
  changes: Array<{ atMs: number, member: MemberUpdate }>
}

export type SimulatedFleet = {
  clock: ManualClock
  nodes: SimulatedNode[]
  run: (durationMs: number) => void
  /** Runs until a condition holds and returns the elapsed ms, or undefined when it does not hold within timeoutMs. */
  runUntil: (condition: () => boolean, timeoutMs: number) => number | undefined
  kill: (node: SimulatedNode) => void
  /** Starts a new process of a node with the given initial incarnation. */
  restart: (node: SimulatedNode, incarnation?: number) => void
  pause: (node: SimulatedNode) => void
  resume: (node: SimulatedNode) => void
  deliver: (datagram: Datagram) => void
  onSend: (listener: (datagram: Datagram) => void) => void
}

export type SimulatedFleetOptions = { count: number, seed: number, lossRatio?: number, hasVmList?: boolean }

const ZONES = ['lagos-a', 'lagos-b', 'ibadan-c']
const STEP_MS = 100
const LIST_INTERVAL_MS = 2000

/** Approximates the message sizes of the daemon's codec. */
const sizeBytes = (message: GossipMessage): number =>
  150 + 45 * (message.updates.length + 1) + 40 * message.notes.length + 22 * message.notes.filter(({ crashedRequest }) => crashedRequest !== undefined).length + (message.configuration ? 45 : 0)

const hostOf = (index: number): string => `10.0.${index >> 8}.${index & 255}`

const vmOf = (index: number): VmEntry => ({
  vmId: `entry-${index}`, role: 'entry', zone: ZONES[index % 3] as string, host: hostOf(index), port: 8080, gossipPort: 8081, peerPort: 8082, state: 'live'
})

export const createSimulatedFleet = ({ count, seed, lossRatio = 0, hasVmList = true }: SimulatedFleetOptions): SimulatedFleet => {
  const clock = createManualClock()
  const networkRandom: Random = createRandom(seed)
  const byHost = new Map<string, SimulatedNode>()
  const inFlight: Datagram[] = []
  const listeners: Array<(datagram: Datagram) => void> = []
  let bootCount = 0

  const boot = (vm: VmEntry, incarnation: number): Pick<SimulatedNode, 'membership' | 'guard' | 'bootId' | 'sequence'> => ({
    membership: createMembership({
      self: { nodeId: vm.vmId, incarnation, state: 'alive', zone: vm.zone, host: vm.host, callerPort: 8080, gossipPort: 8081, peerPort: 8082 },
      random: createRandom(seed * 7919 + ++bootCount),
      sizeBytes
    }),
    guard: createReplayGuard(),
    bootId: bootCount,
    sequence: 0
  })

  const nodes: SimulatedNode[] = Array.from({ length: count }, (_, index) => {
    const vm = vmOf(index)
    return { id: vm.vmId, vm, ...boot(vm, 1), state: 'up', group: 0, sentBytes: 0, sentCount: 0, notes: [], seen: [], changes: [] }
  })
  for (const node of nodes) byHost.set(node.vm.host, node)

  const act = (node: SimulatedNode, actions: readonly MembershipAction[], cause?: Datagram): void => {
    for (const action of actions) {
      if (action.type === 'send') {
        const bytes = sizeBytes(action.message)
        if (bytes > 1200) throw new Error(`datagram of ${bytes} bytes`)
        const datagram = { from: node.id, bootId: node.bootId, sequence: node.sequence++, message: action.message, to: action.to, bytes }
        node.sentBytes += bytes
        node.sentCount++
        for (const listener of listeners) listener(datagram)
        inFlight.push(datagram)
      } else if (action.type === 'sender-verified' && cause) node.guard.verify(cause.from, cause.bootId, cause.sequence)
      else if (action.type === 'member-forgotten') node.guard.forget(action.nodeId)
      else if (action.type === 'member-changed') node.changes.push({ atMs: clock.nowMs(), member: action.member })
      else if (action.type === 'notes-received') node.notes.push(...action.notes)
      else if (action.type === 'configuration-seen') node.seen.push(action.order)
    }
  }

  const deliver = (datagram: Datagram): void => {
    const receiver = byHost.get(datagram.to.host)
    // A paused process reads its datagrams late, and the gossip driver of the daemon drops late ones.
    if (receiver?.state !== 'up') return
    const freshness = receiver.guard.accept(datagram.from, datagram.bootId, datagram.sequence)
    if (freshness === 'replayed') return
    const from = { host: datagram.message.sender.host, gossipPort: datagram.message.sender.gossipPort }
    act(receiver, receiver.membership.receive(datagram.message, from, clock.nowMs(), freshness === 'verified'), datagram)
  }

  const isLost = (datagram: Datagram): boolean => {
    const sender = byHost.get(datagram.message.sender.host)
    return sender?.group !== byHost.get(datagram.to.host)?.group || (lossRatio > 0 && networkRandom.next() < lossRatio)
  }

  const flush = (): void => {
    for (let datagram = inFlight.shift(); datagram; datagram = inFlight.shift()) if (!isLost(datagram)) deliver(datagram)
  }

  const step = (): void => {
    const nowMs = clock.nowMs()
    const isListed = hasVmList && nowMs % LIST_INTERVAL_MS === 0
    const list = isListed ? nodes.filter(({ state }) => state !== 'down').map(({ vm }) => vm) : []
    for (const node of nodes) {
      if (node.state !== 'up') continue
      if (isListed) act(node, node.membership.applyVmList(list, nowMs))
      act(node, node.membership.tick(nowMs))
      flush()
    }
    clock.after(STEP_MS, step)
  }
  clock.after(0, step)

  const runUntil = (condition: () => boolean, timeoutMs: number): number | undefined => {
    for (let passedMs = 0; passedMs <= timeoutMs; passedMs += STEP_MS) {
      if (condition()) return passedMs
      clock.advance(STEP_MS)
    }
    return undefined
  }

  return {
    clock,
    nodes,
    run: clock.advance,
    runUntil,
    kill: node => { node.state = 'down' },
    restart: (node, incarnation = 1) => { Object.assign(node, boot(node.vm, incarnation), { state: 'up' }) },
    pause: node => { node.state = 'paused' },
    resume: node => {
      node.state = 'up'
      act(node, node.membership.resumeAfterPause(1000, clock.nowMs()))
    },
    deliver,
    onSend: listener => { listeners.push(listener) }
  }
}

/** Whether the view of every running node contains exactly the running nodes, all alive. */
export const isConverged = ({ nodes }: SimulatedFleet): boolean => {
  const up = nodes.filter(({ state }) => state === 'up')
  return up.every(({ membership }) => {
    const members = membership.members()
    return members.length === up.length && members.every(({ state }) => state === 'alive')
  })
}
