/**
 * Gauges and counters of the current state of a node, collected on each scrape
 * of the metrics.
 */
import { Counter, Gauge, type Registry } from 'prom-client'

/** Gauge values of one service on this node. */
export type ServiceGaugeValues = {
  service: string
  runningCount: number
  queuedCount: number
  /** Retries that the budget currently allows. */
  retriesLeft: number
  hedgesLeft: number
  /** Estimated number of requests that the usable targets can process at the same time. */
  capacity: number
  /** Share of the requests that is refused because of the load, from 0 to 1. */
  pressure: number
  /** Requests refused because of the load, by the weight of their kind. */
  refusalsByWeight: Record<string, number>
  /** Targets that state a request limit. */
  limitedTargets: number
  /** Targets that are cold, or may be. */
  coldTargets: number
  /** Targets that asked to be left alone for a time. */
  pausedTargets: number
  /** Attempts at targets or peers in other zones since the start, and the bytes of their bodies and responses. */
  crossZoneRequests?: number
  crossZoneBytes?: number
  /** Part of the requests that may leave the zone; absent without a limit. */
  overflowShare?: number
  /** Number of targets by state. */
  targetsByState: Record<string, number>
}

export type GaugeSources = {
  /** Monotonic totals by name. */
  counters: () => Record<string, number>
  /** Current values by name; unknown values are omitted. */
  gauges: () => Record<string, number>
  services: () => ServiceGaugeValues[]
  /** Number of known nodes by state. */
  membersByState: () => Record<string, number>
}

const PREFIX = 'wisteriavalve_'

type ServiceGauge = { name: string, help: string, read: (serviceValues: ServiceGaugeValues) => number | undefined }

const SERVICE_GAUGES: readonly ServiceGauge[] = [
  { name: 'running_requests', help: 'Requests that a backend server is processing or that are about to be sent.', read: ({ runningCount }) => runningCount },
  { name: 'queued_requests', help: 'Requests that wait for a free target.', read: ({ queuedCount }) => queuedCount },
  { name: 'capacity_requests', help: 'Estimated number of requests that the usable targets can process at the same time.', read: ({ capacity }) => capacity },
  { name: 'pressure', help: 'Share of the requests that is refused because of the load, from 0 to 1.', read: ({ pressure }) => pressure },
  { name: 'retries_left', help: 'Retries that the budget currently allows.', read: ({ retriesLeft }) => retriesLeft },
  { name: 'limited_targets', help: 'Targets that limit the requests of all nodes together.', read: ({ limitedTargets }) => limitedTargets },
  { name: 'cold_targets', help: 'Targets that are cold, or are assumed to be until their next health response.', read: ({ coldTargets }) => coldTargets },
  { name: 'paused_targets', help: 'Targets that asked to be left alone for a time.', read: ({ pausedTargets }) => pausedTargets },
  { name: 'zone_overflow_share', help: 'Part of the requests that may leave the availability zone of this node.', read: ({ overflowShare }) => overflowShare },
  { name: 'hedges_left', help: 'Hedges that the budget currently allows.', read: ({ hedgesLeft }) => hedgesLeft }
]

const registerServiceGauges = (registry: Registry, services: GaugeSources['services']): void => {
  for (const { name, help, read } of SERVICE_GAUGES) {
    const gauge = new Gauge({
      name: PREFIX + name,
      help,
      labelNames: ['service'],
      registers: [registry],
      collect: () => {
        gauge.reset()
        for (const serviceValues of services()) {
          const value = read(serviceValues)
          if (value !== undefined) gauge.set({ service: serviceValues.service }, value)
        }
      }
    })
  }
}

const SERVICE_COUNTERS: readonly ServiceGauge[] = [
  { name: 'cross_zone_requests_total', help: 'Attempts at targets, or at nodes that relay, in other availability zones.', read: ({ crossZoneRequests }) => crossZoneRequests },
  { name: 'cross_zone_bytes_total', help: 'Bytes of request and response bodies that were exchanged with other availability zones.', read: ({ crossZoneBytes }) => crossZoneBytes }
]

const registerServiceCounters = (registry: Registry, services: GaugeSources['services']): void => {
  for (const { name, help, read } of SERVICE_COUNTERS) {
    const counter = new Counter({
      name: PREFIX + name,
      help,
      labelNames: ['service'],
      registers: [registry],
      collect: () => {
        counter.reset()
        for (const serviceValues of services()) counter.inc({ service: serviceValues.service }, read(serviceValues) ?? 0)
      }
    })
  }
}

const registerTargets = (registry: Registry, services: GaugeSources['services']): void => {
  const gauge = new Gauge({
    name: `${PREFIX}targets`,
    help: 'Known targets by service and state.',
    labelNames: ['service', 'state'],
    registers: [registry],
    collect: () => {
      gauge.reset()
      for (const { service, targetsByState } of services()) {
        for (const [state, count] of Object.entries(targetsByState)) gauge.set({ service, state }, count)
      }
    }
  })
}

const registerLoadRefusals = (registry: Registry, services: GaugeSources['services']): void => {
  const counter = new Counter({
    name: `${PREFIX}load_refusals_total`,
    help: 'Requests refused because of the load, by service and weight of their kind; a higher weight is more urgent.',
    labelNames: ['service', 'weight'],
    registers: [registry],
    collect: () => {
      counter.reset()
      for (const { service, refusalsByWeight } of services()) {
        for (const [weight, count] of Object.entries(refusalsByWeight)) counter.inc({ service, weight }, count)
      }
    }
  })
}

const registerMembers = (registry: Registry, membersByState: GaugeSources['membersByState']): void => {
  const gauge = new Gauge({
    name: `${PREFIX}members`,
    help: 'Known nodes by state, this one included.',
    labelNames: ['state'],
    registers: [registry],
    collect: () => {
      gauge.reset()
      for (const [state, count] of Object.entries(membersByState())) gauge.set({ state }, count)
    }
  })
}

const registerCounter = (registry: Registry, name: string, read: () => number | undefined): void => {
  const counter = new Counter({
    name: `${PREFIX}${name}_total`,
    help: `Number of ${name.replaceAll('_', ' ')} since the start.`,
    registers: [registry],
    collect: () => {
      counter.reset()
      counter.inc(read() ?? 0)
    }
  })
}

const registerGauge = (registry: Registry, name: string, read: () => number | undefined): void => {
  const gauge = new Gauge({
    name: PREFIX + name,
    help: `Current value of ${name.replaceAll('_', ' ')}.`,
    registers: [registry],
    collect: () => {
      const value = read()
      if (value === undefined) gauge.remove()
      else gauge.set(value)
    }
  })
}

const registerProcess = (registry: Registry): void => {
  const memory: Gauge = new Gauge({
    name: 'process_resident_memory_bytes',
    help: 'Resident memory of the process.',
    registers: [registry],
    collect: () => { memory.set(process.memoryUsage.rss()) }
  })
  const cpu = new Counter({
    name: 'process_cpu_seconds_total',
    help: 'Processor time of the process, user and system.',
    registers: [registry],
    collect: () => {
      const { user, system } = process.cpuUsage()
      cpu.reset()
      cpu.inc((user + system) / 1e6)
    }
  })
}

/**
 * @returns a function that registers counters and gauges whose names are new
 * since its last call; some names appear only after their first event
 */
export const registerGauges = (registry: Registry, sources: GaugeSources): (() => void) => {
  const registered = new Set<string>()
  registerServiceGauges(registry, sources.services)
  registerServiceCounters(registry, sources.services)
  registerTargets(registry, sources.services)
  registerLoadRefusals(registry, sources.services)
  registerMembers(registry, sources.membersByState)
  registerProcess(registry)

  const registerNew = (read: () => Record<string, number>, register: typeof registerGauge): void => {
    for (const name of Object.keys(read())) {
      if (registered.has(name)) continue
      registered.add(name)
      register(registry, name, () => read()[name])
    }
  }

  return () => {
    registerNew(sources.counters, registerCounter)
    registerNew(sources.gauges, registerGauge)
  }
}
