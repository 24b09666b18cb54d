/**
 * `wisteriavalve explain`: why a request was sent to its target, why a target
 * gets no requests, and the automatic actions of the fleet.
 */
import { isEventEntry, isNodeStatus, type NodeStatus } from '@wisteriavalve/schema'
import type { ExplainQuery } from '@wisteriavalve/daemon/admin-api'
import { addAdminOptions, describeMissing, gatherWithOptions, outcomeForData, type AdminOptions } from '../admin/options.js'
import type { FleetData } from '../admin/gather.js'
import { describeEvents, mergeEvents, type MergedEvent, type NodeEvents } from '../explain-text.js'
import { formatCount, printJson, printLines } from '../output.js'
import { describeHealth, mergeTargets, type MergedTarget } from '../status/merge-targets.js'
import { TERMINAL_COLUMNS, wrapText } from '../text.js'
import type { CommandModule, Io, Outcome } from '../types.js'

type Options = AdminOptions & { request?: string, target?: string, service?: string, fleet?: boolean }

const HOUR_MS = 3_600_000

const toQuery = ({ request, target, service, fleet }: Options): ExplainQuery => ({
  ...(request === undefined ? {} : { requestId: request }),
  ...(target === undefined ? {} : { targetId: target }),
  ...(service === undefined ? {} : { service }),
  ...(fleet ? { automaticOnly: true, withinMs: HOUR_MS } : {})
})

const isNodeEvents = (entry: unknown): boolean => {
  const { nodeId, events } = (entry ?? {}) as Partial<NodeEvents>
  return typeof nodeId === 'string' && Array.isArray(events) && events.every(event => isEventEntry(event))
}

const NO_EVENTS_TEXT = 'No node has a matching event. Each node keeps its last 10,000 events, and under load only a sample of the routes.'

const describeTarget = (target: MergedTarget): string[] => [
  `target ${target.targetId} of ${target.service} at ${target.address} in ${target.zone}: ${describeHealth(target)}`,
  `  ${target.inFlight} in flight, ${formatCount(target.connections, 'connection')}`,
  ...target.views.flatMap(({ health, reason, nodeCount }) => wrapText(`  ${health} for ${formatCount(nodeCount, 'node')}: ${reason}`, TERMINAL_COLUMNS, '    '))
]

/** Fetches the current state of the target, since the nodes may no longer keep its events. */
const fetchTarget = async (options: Options, io: Io): Promise<MergedTarget[]> => {
  if (options.target === undefined) return []
  const status = await gatherWithOptions<NodeStatus>(options, io, (client, signal) => client.fleetStatus.query(undefined, { signal }), isNodeStatus)
  return status.ok
    ? mergeTargets(status.value.nodes).filter(({ targetId, service }) => targetId === options.target && (options.service ?? service) === service)
    : []
}

/** Limits the routes shown, which would hide all other events of a busy target. */
const ROUTES_MAX = 10
const ROUTE_EVENT = 'request_routed'

/** Returns the latest routes with all other events, and the number of routes left out. */
const limitRoutes = (events: readonly MergedEvent[]) => {
  const routes = events.filter(({ event }) => event === ROUTE_EVENT)
  const kept = new Set(routes.slice(-ROUTES_MAX))
  return { shown: events.filter(event => event.event !== ROUTE_EVENT || kept.has(event)), hiddenCount: routes.length - kept.size }
}

const describe = (data: FleetData<NodeEvents>, targets: readonly MergedTarget[]): string[] => {
  const { shown, hiddenCount } = limitRoutes(mergeEvents(data.nodes))
  return [
    ...describeMissing(data),
    ...targets.flatMap(describeTarget),
    ...(shown.length > 0 ? describeEvents(shown) : wrapText(NO_EVENTS_TEXT, TERMINAL_COLUMNS, '')),
    ...(hiddenCount > 0 ? [`and ${formatCount(hiddenCount, 'earlier route')}; --json shows all`] : [])
  ]
}

const run = async (options: Options, io: Io): Promise<Outcome> => {
  const query = toQuery(options)
  if (Object.keys(query).length === 0) {
    return { failure: { result: 'usage', message: 'specify what to explain: --request ID, --target ID, --service NAME or --fleet' } }
  }
  const [data, targets] = await Promise.all([
    gatherWithOptions<NodeEvents>(options, io, (client, signal) => client.fleetExplain.query(query, { signal }), isNodeEvents),
    fetchTarget(options, io)
  ])
  if (!data.ok) return { failure: data.error }
  if (options.json) printJson(io, { complete: data.value.missing.length === 0, query, targets, events: mergeEvents(data.value.nodes), missing: data.value.missing })
  else printLines(io, describe(data.value, targets))
  return outcomeForData(data.value)
}

export const explainCommand: CommandModule = {
  name: 'explain',
  register: (program, io, finish) => {
    addAdminOptions(program.command('explain')
      .summary('explain routes, targets and fleet events')
      .description(`Explains why a request was sent to its target, why a target gets no requests, or
which automatic actions the fleet took in the last hour. The same event on
several nodes is shown once.`)
      .option('--request <id>', 'one request, by its x-request-id')
      .option('--target <id>', 'one target, with its current state')
      .option('--service <name>', 'one service')
      .option('--fleet', 'automatic actions of the fleet in the last hour'))
      .action(async (options: Options) => finish(await run(options, io), options))
  }
}
