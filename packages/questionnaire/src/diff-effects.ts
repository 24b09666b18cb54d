/**
 * Effects of changed answers on a running fleet.
 */

export type Effect = {
  effect: string
  /** True when the change can harm requests and should be reviewed. */
  attention: boolean
}

type EffectOf = (before: unknown, after: unknown) => Effect

const isLower = (before: unknown, after: unknown): boolean => Number(after) < Number(before)

const harmless = (effect: string): EffectOf => () => ({ effect, attention: false })
const needsAttention = (effect: string): EffectOf => () => ({ effect, attention: true })
const byDirection = (raised: string, lowered: string, attentionWhenLower: boolean): EffectOf => (before, after) =>
  isLower(before, after) ? { effect: lowered, attention: attentionWhenLower } : { effect: raised, attention: false }

const REPORTS_ONLY = 'Reports use it; requests are handled as before.'

const FLEET_EFFECTS: Record<string, EffectOf> = {
  fleet: needsAttention('The configuration is for another fleet: running daemons reject it (WV-4008), and all keys are new.'),
  region: harmless('Status and reports show it.'),
  zones: harmless('Entry answers and routing use the new zones within seconds.'),
  entryVmCountMax: byDirection(
    'Each node gets a smaller share of the connections and probes of a target.',
    'Each node gets a larger share of the connections and probes of a target. Stop surplus entry VMs first, or targets are overrun.', true),
  probesPerTargetPerS: byDirection(
    'Targets without traffic are probed more often, at a higher cost.',
    'Targets without traffic are probed less often; routing uses older observations of them.', false),
  probeCpuPercent: harmless('It limits the CPU time that a node spends on probes.'),
  restoreCount: byDirection(
    'The configuration supersedes all that were published with the old count.',
    'Nodes reject the configuration as older than the one in force (WV-4004).', true)
}

const SERVICE_EFFECTS: Record<string, EffectOf> = {
  pathPrefix: needsAttention('Requests to the old prefix fail as not run (WV-1001).'),
  hosts: harmless('Requests to these hosts go to the service; those to removed hosts no longer do.'),
  slotsPerTarget: byDirection(
    'Nodes may send more requests at a time to each target.',
    'Nodes send fewer requests at a time to each target; more of them wait or are refused under load.', false),
  connectionsPerTarget: byDirection(
    'Each node may open more connections to each target.',
    'Each node closes connections above its new share as they become idle.', false),
  trustsReuse: (_before, after) => after === true
    ? { effect: 'An extra response of a target that does not echo request ids can reach the caller of another request.', attention: true }
    : { effect: 'Targets that do not echo request ids get a new connection for each request.', attention: false },
  warmupMs: harmless('Targets are taken for cold for this time after they start.'),
  warmupRatePerS: needsAttention('Cold targets get this many requests per second from all nodes together; nodes of earlier releases reject the configuration.'),
  healthPath: needsAttention('Probes request this path; with a wrong path, targets without traffic appear unhealthy.'),
  defaultDeadlineMs: byDirection(
    'Requests of an unknown kind may take longer.',
    'Requests of an unknown kind are given up earlier; those in flight keep their deadline.', false),
  objective: harmless(REPORTS_ONLY)
}

const effectOfIdempotency: EffectOf = (_before, after) => after
  ? { effect: 'Requests may run more than once from now on: they are retried after a failure and hedged.', attention: true }
  : { effect: 'Requests run at most once from now on; failures that were hidden by retries reach callers.', attention: false }

const KIND_EFFECTS: Record<string, EffectOf> = {
  methods: needsAttention('Requests change their kind.'),
  path: needsAttention('Requests change their kind.'),
  idempotent: effectOfIdempotency,
  boundedBy: (_before, after) => after === 'progress'
    ? { effect: 'Transfers are aborted only when no byte is transferred for the length of the deadline.', attention: false }
    : { effect: 'Transfers are aborted at the deadline even while bytes are transferred.', attention: true },
  deadlineMs: byDirection(
    'Requests may take longer before they are given up.',
    'Requests are given up earlier; those in flight keep their deadline.', false),
  weight: harmless('Under overload its requests run earlier (higher) or later (lower) than before, and reports count them by the new weight.'),
  bodyBytesMax: byDirection('Larger bodies are accepted.', 'Larger bodies are refused as not run (WV-1003).', true),
  objective: harmless(REPORTS_ONLY)
}

const createEffectLookup = (table: Record<string, EffectOf>) => (field: string, before: unknown, after: unknown): Effect =>
  table[field]?.(before, after) ?? { effect: '', attention: false }

export const effectOfFleetChange = createEffectLookup(FLEET_EFFECTS)
export const effectOfServiceChange = createEffectLookup(SERVICE_EFFECTS)
export const effectOfKindChange = createEffectLookup(KIND_EFFECTS)
