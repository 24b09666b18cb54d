/**
 * The state of a fleet in lines of 80 columns.
 */
import type { MemberUpdate, NodeStatus } from '@wisteriavalve/schema'
import type { FleetData } from '../admin/gather.js'
import { describeMissing } from '../admin/options.js'
import { countOf } from '../output.js'
import { COLUMNS, formatTable, wrapText } from '../text.js'
import { formatDuration } from '../time.js'
import { describeHealth, isReadyEverywhere, mergeTargets, type MergedTarget } from './merge-targets.js'

const describeOrder = ({ configuration }: NodeStatus): string =>
  configuration ? `${configuration.restoreCount}/${configuration.revision}` : 'none'

const nodeTable = (nodes: readonly NodeStatus[]): string[] => formatTable(
  [{ title: 'NODE' }, { title: 'ZONE' }, { title: 'PHASE' }, { title: 'UPTIME', align: 'right' }, { title: 'POLICY' }, { title: 'CONFIGURATION' }],
  nodes.map(node => [node.nodeId, node.zone, node.phase, formatDuration(node.uptimeMs), node.policy, `${describeOrder(node)} ${node.configurationState}`]))

const describeReasons = (nodes: readonly NodeStatus[]): string[] => nodes
  .filter(({ configurationReason, configurationState }) => configurationReason && configurationState !== 'current')
  .flatMap(({ nodeId, configurationState, configurationReason }) =>
    wrapText(`  ${nodeId}: ${configurationState}: ${configurationReason}`, COLUMNS, '    '))

/** Differing orders are normal for some seconds after a publication. */
const describeSpread = (nodes: readonly NodeStatus[]): string[] => {
  const counts = new Map<string, number>()
  for (const { configuration } of nodes) {
    const key = configuration ? `${configuration.restoreCount}/${configuration.revision}` : 'none'
    counts.set(key, (counts.get(key) ?? 0) + 1)
  }
  return counts.size <= 1
    ? []
    : [`nodes differ in their configuration: ${[...counts].map(([order, count]) => `${order} on ${countOf(count, 'node')}`).join(', ')}`]
}

/** How many nodes see each member in each state. */
const countStates = (nodes: readonly NodeStatus[]): Map<string, Map<MemberUpdate['state'], number>> => {
  const members = new Map<string, Map<MemberUpdate['state'], number>>()
  for (const { nodeId, state } of nodes.flatMap(node => node.members)) {
    const states = members.get(nodeId) ?? new Map<MemberUpdate['state'], number>()
    members.set(nodeId, states.set(state, (states.get(state) ?? 0) + 1))
  }
  return members
}

const describeMembers = (nodes: readonly NodeStatus[]): string[] => {
  const members = [...countStates(nodes)].sort(([a], [b]) => a < b ? -1 : 1)
  const troubled = members.filter(([, states]) => [...states.keys()].some(state => state !== 'alive'))
  const known = new Set(nodes.map(({ members }) => members.filter(({ state }) => state === 'alive').length))
  return [
    `members: ${members.length} known, ${members.length - troubled.length} alive for every node${known.size > 1 ? '; nodes know different numbers of members' : ''}`,
    ...troubled.map(([nodeId, states]) => `  ${nodeId}: ${[...states].map(([state, count]) => `${state} for ${countOf(count, 'node')}`).join(', ')}`)
  ]
}

const targetTable = (targets: readonly MergedTarget[]): string[] => targets.length === 0
  ? []
  : formatTable(
    [{ title: 'TARGET' }, { title: 'ZONE' }, { title: 'IN FLIGHT', align: 'right' }, { title: 'CONN', align: 'right' }, { title: 'P99 MS', align: 'right' }, { title: 'HEALTH' }],
    targets.map(target => [
      target.targetId, target.zone, String(target.inFlight), String(target.connections),
      target.firstByteP99Ms === undefined ? '-' : target.firstByteP99Ms.toFixed(1), describeHealth(target)
    ]))

const describeViews = (target: MergedTarget): string[] => target.views
  .filter(({ health }) => health !== 'ready')
  .flatMap(({ health, reason, nodeCount }) =>
    wrapText(`  ${target.targetId} ${health} for ${countOf(nodeCount, 'node')}: ${reason}`, COLUMNS, '    '))

const describeService = (service: string, targets: readonly MergedTarget[], all: boolean): string[] => {
  const troubled = targets.filter(target => !isReadyEverywhere(target))
  return [
    `service ${service}: ${countOf(targets.length, 'target')}, ${targets.length - troubled.length} ready for every node`,
    ...targetTable(all ? targets : troubled).map(line => `  ${line}`.slice(0, COLUMNS)),
    ...troubled.flatMap(describeViews)
  ]
}

/** Above this number, services without trouble are only counted. */
const SERVICES_MAX = 20

const describeServices = (targets: readonly MergedTarget[], all: boolean): string[] => {
  const byService = new Map<string, MergedTarget[]>()
  for (const target of targets) {
    const group = byService.get(target.service)
    if (group) group.push(target)
    else byService.set(target.service, [target])
  }
  const services = [...byService]
  const shown = all || services.length <= SERVICES_MAX ? services : services.filter(([, group]) => !group.every(isReadyEverywhere))
  const calmCount = services.length - shown.length
  return [
    ...shown.flatMap(([service, group]) => describeService(service, group, all)),
    ...(calmCount > 0 ? [`${countOf(calmCount, 'service')} with all targets ready for every node`] : [])
  ]
}

/** @param all shows all targets and not only those that some node does not see as ready */
export const describeStatus = (data: FleetData<NodeStatus>, all: boolean): string[] => {
  const { nodes } = data
  const targets = mergeTargets(nodes)
  const fleets = [...new Set(nodes.map(({ fleet }) => fleet))]
  return [
    `fleet ${fleets.join(', ')}: ${countOf(nodes.length, 'node')} answered`,
    ...(fleets.length > 1 ? ['PROBLEM: the admin addresses belong to different fleets; ask one at a time'] : []),
    ...describeMissing(data),
    '',
    ...nodeTable(nodes),
    ...describeReasons(nodes),
    ...describeSpread(nodes),
    '',
    ...describeMembers(nodes),
    '',
    ...describeServices(targets, all)
  ]
}
