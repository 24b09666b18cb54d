/**
 * `wisteriavalve explain`: why a request took its way, why a target gets no
 * work, and what the fleet did by itself.
 */
import { isEventEntry, isNodeStatus, type NodeStatus } from '@wisteriavalve/schema'
import type { ExplainQuery } from '@wisteriavalve/daemon/admin-api'
import { addAdminOptions, describeMissing, gatherByOptions, outcomeOf, type AdminOptions } from '../admin/options.js'
import type { FleetData } from '../admin/gather.js'
import { describeEvents, mergeEvents, type MergedEvent, type NodeEvents } from '../explain-text.js'
import { countOf, printJson, printLines } from '../output.js'
import { describeHealth, mergeTargets, type MergedTarget } from '../status/merge-targets.js'
import { COLUMNS, wrapText } from '../text.js'
import type { CommandModule, Io, Outcome } from '../types.js'

type Options = AdminOptions & { request?: string, target?: string, service?: string, fleet?: boolean }

const HOUR_MS = 3_600_000

const queryOf = ({ request, target, service, fleet }: Options): ExplainQuery => ({
  ...(request === undefined ? {} : { requestId: request }),
  ...(target === undefined ? {} : { targetId: target }),
  ...(service === undefined ? {} : { service }),
  ...(fleet ? { automaticOnly: true, withinMs: HOUR_MS } : {})
})

const isNodeEvents = (entry: unknown): boolean => {
  const { nodeId, events } = (entry ?? {}) as Partial<NodeEvents>
  return typeof nodeId === 'string' && Array.isArray(events) && events.every(event => isEventEntry(event))
}

const NOTHING_FOUND = 'No node has a record of it. The record of a node holds its last 10,000 events, and routes are sampled under load.'

const describeTarget = (target: MergedTarget): string[] => [
  `target ${target.targetId} of ${target.service} at ${target.address} in ${target.zone}: ${describeHealth(target)}`,
  `  ${target.inFlight} in flight, ${countOf(target.connections, 'connection')}`,
  ...target.views.flatMap(({ health, reason, nodeCount }) => wrapText(`  ${health} for ${countOf(nodeCount, 'node')}: ${reason}`, COLUMNS, '    '))
]

/** The present state of the target, since its events may be older than the records. */
const readTarget = async (options: Options, io: Io): Promise<MergedTarget[]> => {
  if (options.target === undefined) return []
  const status = await gatherByOptions<NodeStatus>(options, io, (client, signal) => client.fleetStatus.query(undefined, { signal }), isNodeStatus)
  return status.ok
    ? mergeTargets(status.value.nodes).filter(({ targetId, service }) => targetId === options.target && (options.service ?? service) === service)
    : []
}

/** Routes of a busy target would hide everything else. */
const ROUTES_MAX = 10
const ROUTE_EVENT = 'request_routed'

/** The latest routes and all other events, and how many routes were left out. */
const shortenRoutes = (events: readonly MergedEvent[]) => {
  const routes = events.filter(({ event }) => event === ROUTE_EVENT)
  const kept = new Set(routes.slice(-ROUTES_MAX))
  return { shown: events.filter(event => event.event !== ROUTE_EVENT || kept.has(event)), hiddenCount: routes.length - kept.size }
}

const describe = (data: FleetData<NodeEvents>, targets: readonly MergedTarget[]): string[] => {
  const { shown, hiddenCount } = shortenRoutes(mergeEvents(data.nodes))
  return [
    ...describeMissing(data),
    ...targets.flatMap(describeTarget),
    ...(shown.length > 0 ? describeEvents(shown) : wrapText(NOTHING_FOUND, COLUMNS, '')),
    ...(hiddenCount > 0 ? [`and ${countOf(hiddenCount, 'earlier route')}; --json shows all`] : [])
  ]
}

const run = async (options: Options, io: Io): Promise<Outcome> => {
  const query = queryOf(options)
  if (Object.keys(query).length === 0) {
    return { failure: { result: 'usage', message: 'say what to explain: --request ID, --target ID, --service NAME or --fleet' } }
  }
  const [data, targets] = await Promise.all([
    gatherByOptions<NodeEvents>(options, io, (client, signal) => client.fleetExplain.query(query, { signal }), isNodeEvents),
    readTarget(options, io)
  ])
  if (!data.ok) return { failure: data.error }
  if (options.json) printJson(io, { complete: data.value.missing.length === 0, query, targets, events: mergeEvents(data.value.nodes), missing: data.value.missing })
  else printLines(io, describe(data.value, targets))
  return outcomeOf(data.value)
}

export const explainCommand: CommandModule = {
  name: 'explain',
  register: (program, io, finish) => {
    addAdminOptions(program.command('explain')
      .summary('say why something happened')
      .description(`Says in sentences why a request was sent where it was, why a target gets no
work, or what the fleet did by itself in the last hour. The same event on
several nodes is shown once.`)
      .option('--request <id>', 'one request, by its x-request-id')
      .option('--target <id>', 'one target, with its present state')
      .option('--service <name>', 'one service')
      .option('--fleet', 'what the fleet did by itself in the last hour'))
      .action(async (options: Options) => finish(await run(options, io), options))
  }
}
