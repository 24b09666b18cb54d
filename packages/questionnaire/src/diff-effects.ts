/**
 * Effects of changed answers on a running fleet.
 */

export type Effect = {
  effect: string
  /** True when the change can harm requests and should be read twice. */
  attention: boolean
}

type EffectOf = (before: unknown, after: unknown) => Effect

const isLower = (before: unknown, after: unknown): boolean => Number(after) < Number(before)

const calm = (effect: string): EffectOf => () => ({ effect, attention: false })
const careful = (effect: string): EffectOf => () => ({ effect, attention: true })
const byDirection = (raised: string, lowered: string, attentionWhenLower: boolean): EffectOf => (before, after) =>
  isLower(before, after) ? { effect: lowered, attention: attentionWhenLower } : { effect: raised, attention: false }

const UNCHANGED_ROUTING = 'Reports use it; requests are handled as before.'

const FLEET_EFFECTS: Record<string, EffectOf> = {
  fleet: careful('This is another fleet: the running daemons refuse it (WV-4008), and all keys are new.'),
  region: calm('Status and reports show it.'),
  zones: calm('Entry answers and routing know the new zones within seconds.'),
  entryVmCountMax: byDirection(
    'Each node gets a smaller share of the connections and probes of a target.',
    'Each node gets a larger share of the connections and probes of a target. Stop surplus entry VMs first, or targets are overrun.', true),
  probesPerTargetPerS: byDirection(
    'Targets without traffic are measured more often, at more cost.',
    'Targets without traffic are measured less often; what routing knows of them is older.', false),
  probeCpuPercent: calm('It bounds what a node spends on probes.'),
  restoreCount: byDirection(
    'The configuration goes before all that were published with the old count.',
    'Nodes refuse the configuration as older than the one in force (WV-4004).', true)
}

const SERVICE_EFFECTS: Record<string, EffectOf> = {
  pathPrefix: careful('Requests to the old prefix are answered as not run (WV-1001).'),
  hosts: calm('Requests to these hosts go to the service; those to removed hosts no longer do.'),
  slotsPerTarget: byDirection(
    'Nodes may send more requests at a time to each target.',
    'Nodes send fewer requests at a time to each target; more of them wait or are refused under load.', false),
  connectionsPerTarget: byDirection(
    'Each node may open more connections to each target.',
    'Each node closes connections above its new share as they become idle.', false),
  healthPath: careful('Probes ask there; a wrong path makes targets without traffic look ill.'),
  defaultDeadlineMs: byDirection(
    'Requests of an unknown kind may take longer.',
    'Requests of an unknown kind are given up earlier; those in flight keep their deadline.', false),
  objective: calm(UNCHANGED_ROUTING)
}

const effectOfIdempotency: EffectOf = (_before, after) => after
  ? { effect: 'Requests may run more than once from now on: they are retried after a failure and hedged.', attention: true }
  : { effect: 'Requests run at most once from now on; failures that were hidden by retries reach callers.', attention: false }

const KIND_EFFECTS: Record<string, EffectOf> = {
  methods: careful('Requests change their kind.'),
  path: careful('Requests change their kind.'),
  idempotent: effectOfIdempotency,
  boundedBy: (_before, after) => after === 'progress'
    ? { effect: 'Transfers are cut only when no byte moves for the deadline.', attention: false }
    : { effect: 'Transfers are cut at the deadline even while bytes move.', attention: true },
  deadlineMs: byDirection(
    'Requests may take longer before they are given up.',
    'Requests are given up earlier; those in flight keep their deadline.', false),
  weight: calm('Under overload its requests run earlier (higher) or later (lower) than before, and reports count them by the new weight.'),
  bodyBytesMax: byDirection('Larger bodies are let through.', 'Larger bodies are refused as not run (WV-1003).', true),
  objective: calm(UNCHANGED_ROUTING)
}

const lookUp = (table: Record<string, EffectOf>) => (field: string, before: unknown, after: unknown): Effect =>
  table[field]?.(before, after) ?? { effect: '', attention: false }

export const effectOfFleetChange = lookUp(FLEET_EFFECTS)
export const effectOfServiceChange = lookUp(SERVICE_EFFECTS)
export const effectOfKindChange = lookUp(KIND_EFFECTS)
