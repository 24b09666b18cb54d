/**
 * Fills in the defaults of answers that are not given. The fields have a fixed
 * order, so equal answers give equal bytes.
 */
import type {
  Answers, FleetSettings, Kind, KindAnswers, Objective, ServiceAnswers, ServiceConfiguration, Target
} from '@wisteriavalve/schema'
import { DEFAULTS, ENTRY_ADDRESS_COUNT, ENTRY_LIFETIME_MS } from './constants.js'

const compareText = (a: string, b: string): number => a < b ? -1 : a > b ? 1 : 0

const resolveObjective = (objective: Objective): Objective =>
  ({ inTimePercent: objective.inTimePercent, windowDays: objective.windowDays })

const resolveTarget = ({ id, host, port, zone }: Target): Target => ({ id, host, port, zone })

export const resolveKind = (kind: KindAnswers, serviceObjective: Objective): Kind => ({
  name: kind.name,
  methods: [...kind.methods],
  path: kind.path,
  idempotent: kind.idempotent,
  deadlineMs: kind.deadlineMs,
  boundedBy: kind.boundedBy ?? DEFAULTS.boundedBy,
  weight: kind.weight ?? DEFAULTS.weight,
  bodyBytesMax: kind.bodyBytesMax ?? DEFAULTS.bodyBytesMax,
  objective: resolveObjective(kind.objective ?? serviceObjective)
})

/** Kinds keep their order, because a request belongs to the first kind that matches. The order of targets has no meaning, so they are sorted. */
export const resolveService = (service: ServiceAnswers): ServiceConfiguration => {
  const objective = resolveObjective(service.objective ?? DEFAULTS.objective)
  return {
    format: 1,
    name: service.name,
    pathPrefix: service.pathPrefix ?? `/${service.name}`,
    hosts: [...service.hosts ?? []],
    slotsPerTarget: service.slotsPerTarget,
    connectionsPerTarget: service.connectionsPerTarget,
    // These are written only if they have an effect, because earlier releases reject a configuration with an unknown field.
    ...(service.trustsReuse === true && { trustsReuse: true }),
    ...((service.warmupMs ?? 0) > 0 && { warmupMs: service.warmupMs }),
    ...((service.warmupRatePerS ?? 0) > 0 && { warmupRatePerS: service.warmupRatePerS }),
    healthPath: service.healthPath ?? DEFAULTS.healthPath,
    defaultDeadlineMs: service.defaultDeadlineMs ?? DEFAULTS.defaultDeadlineMs,
    targets: (service.targets ?? []).map(resolveTarget).sort((a, b) => compareText(a.id, b.id)),
    objective,
    kinds: service.kinds.map(kind => resolveKind(kind, objective)) as ServiceConfiguration['kinds']
  }
}

/** Maximum number of entry VMs at a time. Connection shares and probe rates are divided by it. */
export const entryVmCountMax = (answers: Answers): number =>
  answers.entryVms.count + (answers.entryVms.replacementOverlap ?? DEFAULTS.replacementOverlap)

export const restoreCount = (answers: Answers): number =>
  answers.configurationServiceRestoreCount ?? DEFAULTS.configurationServiceRestoreCount

export const resolveFleetSettings = (answers: Answers): FleetSettings => ({
  format: 1,
  fleet: answers.fleet,
  region: answers.region,
  zones: [...answers.zones] as FleetSettings['zones'],
  entryVmCountMax: entryVmCountMax(answers),
  probesPerTargetPerS: answers.measuring.probesPerTargetPerS,
  probeCpuPercent: answers.measuring.cpuPercent ?? DEFAULTS.cpuPercent,
  entryAddressCount: ENTRY_ADDRESS_COUNT,
  entryLifetimeMs: ENTRY_LIFETIME_MS
})
