/**
 * What a node is doing and what it knows, read anew each time that the
 * metrics are asked for.
 */
import { Counter, Gauge, type Registry } from 'prom-client'

/** Figures of one service on this node. */
export type ServiceFigures = {
  service: string
  runningCount: number
  queuedCount: number
  /** Repeats that the budget still allows at this moment. */
  retriesLeft: number
  hedgesLeft: number
  /** Requests that the usable targets can work on at a time, as far as known. */
  capacity: number
  /** Number of targets by state. */
  targetsByState: Record<string, number>
}

export type GaugeSources = {
  /** Totals that only grow, by name. */
  counters: () => Record<string, number>
  /** Single values by name; a value that is not known is left out. */
  gauges: () => Record<string, number>
  services: () => ServiceFigures[]
  /** Number of known nodes by state. */
  membersByState: () => Record<string, number>
}

const PREFIX = 'wisteriavalve_'

type ServiceGauge = { name: string, help: string, read: (figures: ServiceFigures) => number }

const SERVICE_GAUGES: readonly ServiceGauge[] = [
  { name: 'running_requests', help: 'Requests that are with a backend server or about to be sent.', read: ({ runningCount }) => runningCount },
  { name: 'queued_requests', help: 'Requests that wait for a free target.', read: ({ queuedCount }) => queuedCount },
  { name: 'capacity_requests', help: 'Requests that the usable targets can work on at a time, as far as this node knows.', read: ({ capacity }) => capacity },
  { name: 'retries_left', help: 'Retries that the budget still allows at this moment.', read: ({ retriesLeft }) => retriesLeft },
  { name: 'hedges_left', help: 'Hedges that the budget still allows at this moment.', read: ({ hedgesLeft }) => hedgesLeft }
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
        for (const figures of services()) gauge.set({ service: figures.service }, read(figures))
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
    help: `Present value of ${name.replaceAll('_', ' ')}.`,
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
 * @returns a function that registers the named counters and gauges that came
 * up since it was last called; some are known only once they have happened
 */
export const registerGauges = (registry: Registry, sources: GaugeSources): (() => void) => {
  const registered = new Set<string>()
  registerServiceGauges(registry, sources.services)
  registerTargets(registry, sources.services)
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
