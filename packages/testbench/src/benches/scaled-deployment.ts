/**
 * Smaller copies of the example deployments for benches: the services, kinds,
 * slots and connections of the example, with fewer backend servers so that
 * load and servers fit on two or three cores.
 */
import type { BackendOptions } from '../backend/types.js'
import { findFleetSettings, findServices } from '../configuration.js'
import { startDeployment, type Deployment } from '../deployment.js'
import { generateExample, type DeploymentName } from '../generate.js'
import { startLoad, type LoadRun } from '../load/generator.js'
import { toKindLoads } from '../load/kinds.js'
import type { CallOutcome, KindLoad } from '../load/types.js'

/** Backend servers of each service: about half of those of docs/design.md section 2.5. */
const TARGET_COUNTS: Record<DeploymentName, Record<string, number>> = {
  okonkwo: { stockview: 8, orderdesk: 4, mediahall: 3 },
  authority: { registry: 8, offers: 4, auditions: 3 }
}
const NODE_COUNT = 3
const CALLER_COUNT = 60
const REQUESTS_MAX = 60_000
const SIGMA = 0.3

export type ScaledOptions = {
  name: DeploymentName
  seed: number
  policy?: string
  serviceTimeMs: number
  neighbours?: BackendOptions['neighbours']
}

export type ScaledDeployment = Deployment & {
  /** Starts load that uses this share of all slots, spread over the services by their slots. */
  load: (options: { loadShare: number, durationMs: number, seed: number, onOutcome?: (outcome: CallOutcome) => void }) => LoadRun
  capacityPerS: number
  serviceNames: string[]
}

type SlotCount = { name: string, slots: number }

/** Shares that load each service in proportion to its slots; uploads hold a slot for long and are left out. */
const spread = (kinds: readonly KindLoad[], slotCounts: readonly SlotCount[]): KindLoad[] =>
  slotCounts.flatMap(({ name, slots }) => {
    const own = kinds.filter(kind => kind.service === name && kind.uploadMs === 0)
    const total = own.reduce((sum, kind) => sum + kind.share, 0)
    return own.map(kind => ({ ...kind, share: slots * kind.share / total }))
  })

export const startScaledDeployment = async (options: ScaledOptions): Promise<ScaledDeployment> => {
  const configuration = await generateExample(options.name)
  const services = findServices(configuration)
  const settings = findFleetSettings(configuration)
  const targetCounts = TARGET_COUNTS[options.name]
  const slotCounts = services.map(service => ({ name: service.name, slots: service.slotsPerTarget * (targetCounts[service.name] ?? 3) }))
  const deployment = await startDeployment({
    settings,
    entries: configuration,
    services: services.map(service => ({
      name: service.name,
      targetCount: targetCounts[service.name] ?? 3,
      slots: service.slotsPerTarget,
      backend: { serviceTimeMs: options.serviceTimeMs, sigma: SIGMA, neighbours: options.neighbours }
    })),
    nodeCount: NODE_COUNT,
    seed: options.seed,
    policy: options.policy,
    asProcess: () => true,
    nodeSettings: () => ({ LOG_LEVEL: 'warn' })
  })
  const meanServiceMs = options.serviceTimeMs * Math.exp(SIGMA * SIGMA / 2)
  const capacityPerS = slotCounts.reduce((sum, { slots }) => sum + slots, 0) * 1000 / meanServiceMs
  return {
    ...deployment,
    capacityPerS,
    serviceNames: slotCounts.map(({ name }) => name),
    load: ({ loadShare, durationMs, seed, onOutcome }) => startLoad({
      kinds: spread(toKindLoads(services), slotCounts),
      ratePerS: capacityPerS * loadShare,
      durationMs,
      requestsMax: REQUESTS_MAX,
      seed,
      callerCount: CALLER_COUNT,
      entries: deployment.entries(),
      zones: settings.zones,
      idPrefix: `b${Math.round(loadShare * 100)}`,
      onOutcome
    })
  }
}
