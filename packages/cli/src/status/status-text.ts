/**
 * The state of a fleet as text in lines of at most 80 columns.
 */
import type { MemberUpdate, NodeStatus } from '@wisteriavalve/schema'
import type { FleetData } from '../admin/gather.js'
import { describeMissing } from '../admin/options.js'
import { formatCount } from '../output.js'
import { TERMINAL_COLUMNS, formatTable, wrapText } from '../text.js'
import { formatDuration } from '../time.js'
import { describeHealth, isReadyEverywhere, mergeTargets, type MergedTarget } from './merge-targets.js'

const formatConfigurationOrder = ({ configuration }: NodeStatus): string =>
  configuration ? `${configuration.restoreCount}/${configuration.revision}` : 'none'

const formatNodeTable = (nodes: readonly NodeStatus[]): string[] => formatTable(
  [{ title: 'NODE' }, { title: 'ZONE' }, { title: 'PHASE' }, { title: 'UPTIME', align: 'right' }, { title: 'POLICY' }, { title: 'CONFIGURATION' }],
  nodes.map(node => [node.nodeId, node.zone, node.phase, formatDuration(node.uptimeMs), node.policy, `${formatConfigurationOrder(node)} ${node.configurationState}`]))

const describeConfigurationReasons = (nodes: readonly NodeStatus[]): string[] => nodes
  .filter(({ configurationReason, configurationState }) => configurationReason && configurationState !== 'current')
  .flatMap(({ nodeId, configurationState, configurationReason }) =>
    wrapText(`  ${nodeId}: ${configurationState}: ${configurationReason}`, TERMINAL_COLUMNS, '    '))

const describeUnreachable = (nodes: readonly NodeStatus[]): string[] => nodes
  .filter(({ reachesNoTarget }) => reachesNoTarget)
  .map(({ nodeId }) => `PROBLEM: no target answers ${nodeId}, which relays requests to other nodes`)

/** Different configurations are normal for a few seconds after a publication. */
const describeConfigurationDifferences = (nodes: readonly NodeStatus[]): string[] => {
  const counts = new Map<string, number>()
  for (const { configuration } of nodes) {
    const key = configuration ? `${configuration.restoreCount}/${configuration.revision}` : 'none'
    counts.set(key, (counts.get(key) ?? 0) + 1)
  }
  return counts.size <= 1
    ? []
    : [`nodes differ in their configuration: ${[...counts].map(([order, count]) => `${order} on ${formatCount(count, 'node')}`).join(', ')}`]
}

/** Number of nodes that see each member in each state. */
const countMemberStates = (nodes: readonly NodeStatus[]): Map<string, Map<MemberUpdate['state'], number>> => {
  const members = new Map<string, Map<MemberUpdate['state'], number>>()
  for (const { nodeId, state } of nodes.flatMap(node => node.members)) {
    const states = members.get(nodeId) ?? new Map<MemberUpdate['state'], number>()
    members.set(nodeId, states.set(state, (states.get(state) ?? 0) + 1))
  }
  return members
}

const describeMembers = (nodes: readonly NodeStatus[]): string[] => {
  const members = [...countMemberStates(nodes)].sort(([a], [b]) => a < b ? -1 : 1)
  const notAlive = members.filter(([, states]) => [...states.keys()].some(state => state !== 'alive'))
  const aliveCounts = new Set(nodes.map(({ members }) => members.filter(({ state }) => state === 'alive').length))
  return [
    `members: ${members.length} known, ${members.length - notAlive.length} alive for every node${aliveCounts.size > 1 ? '; nodes see different numbers of members' : ''}`,
    ...notAlive.map(([nodeId, states]) => `  ${nodeId}: ${[...states].map(([state, count]) => `${state} for ${formatCount(count, 'node')}`).join(', ')}`)
  ]
}

const formatTargetTable = (targets: readonly MergedTarget[]): string[] => targets.length === 0
  ? []
  : formatTable(
    [{ title: 'TARGET' }, { title: 'ZONE' }, { title: 'IN FLIGHT', align: 'right' }, { title: 'CONN', align: 'right' }, { title: 'P99 MS', align: 'right' }, { title: 'HEALTH' }],
    targets.map(target => [
      target.targetId, target.zone, String(target.inFlight), String(target.connections),
      target.firstByteP99Ms === undefined ? '-' : target.firstByteP99Ms.toFixed(1), describeHealth(target)
    ]))

const describeUnreadyViews = (target: MergedTarget): string[] => target.views
  .filter(({ health }) => health !== 'ready')
  .flatMap(({ health, reason, nodeCount }) =>
    wrapText(`  ${target.targetId} ${health} for ${formatCount(nodeCount, 'node')}: ${reason}`, TERMINAL_COLUMNS, '    '))

/** @returns a note on services whose responses are not always checked for their owner */
const describeReuse = (targets: readonly MergedTarget[]): string =>
  targets.some(({ trustsReuse }) => trustsReuse) ? '; trusted not to send a response twice' : ''

const describeLimits = (targets: readonly MergedTarget[]): string[] => targets
  .filter(({ requestLimitPerS }) => requestLimitPerS !== undefined)
  .map(({ targetId, requestLimitPerS }) => `  ${targetId} accepts ${requestLimitPerS} requests/s from all nodes together`)

const describePauses = (targets: readonly MergedTarget[]): string[] => targets
  .flatMap(({ targetId, pausedMs }) => pausedMs === undefined ? [] : `  ${targetId} asked to be left alone for another ${formatDuration(pausedMs)}`)

const describeService = (service: string, targets: readonly MergedTarget[], showAll: boolean): string[] => {
  const unready = targets.filter(target => !isReadyEverywhere(target))
  return [
    `service ${service}: ${formatCount(targets.length, 'target')}, ${targets.length - unready.length} ready for every node${describeReuse(targets)}`,
    ...formatTargetTable(showAll ? targets : unready).map(line => `  ${line}`.slice(0, TERMINAL_COLUMNS)),
    ...unready.flatMap(describeUnreadyViews),
    ...describeLimits(targets),
    ...describePauses(targets)
  ]
}

const isUnremarkable = (target: MergedTarget): boolean =>
  isReadyEverywhere(target) && target.requestLimitPerS === undefined && target.pausedMs === undefined

/** Above this number of services, those with all targets ready are only counted. */
const SERVICES_MAX = 20

const describeServices = (targets: readonly MergedTarget[], showAll: boolean): string[] => {
  const byService = new Map<string, MergedTarget[]>()
  for (const target of targets) {
    const group = byService.get(target.service)
    if (group) group.push(target)
    else byService.set(target.service, [target])
  }
  const services = [...byService]
  const shown = showAll || services.length <= SERVICES_MAX ? services : services.filter(([, group]) => !group.every(isUnremarkable))
  const hiddenCount = services.length - shown.length
  return [
    ...shown.flatMap(([service, group]) => describeService(service, group, showAll)),
    ...(hiddenCount > 0 ? [`${formatCount(hiddenCount, 'service')} with all targets ready for every node`] : [])
  ]
}

/** @param showAll includes the targets that all nodes see as ready */
export const describeStatus = (data: FleetData<NodeStatus>, showAll: boolean): string[] => {
  const { nodes } = data
  const targets = mergeTargets(nodes)
  const fleets = [...new Set(nodes.map(({ fleet }) => fleet))]
  return [
    `fleet ${fleets.join(', ')}: ${formatCount(nodes.length, 'node')} answered`,
    ...(fleets.length > 1 ? ['PROBLEM: the admin addresses belong to different fleets; query one fleet at a time'] : []),
    ...describeMissing(data),
    '',
    ...formatNodeTable(nodes),
    ...describeUnreachable(nodes),
    ...describeConfigurationReasons(nodes),
    ...describeConfigurationDifferences(nodes),
    '',
    ...describeMembers(nodes),
    '',
    ...describeServices(targets, showAll)
  ]
}
