/**
 * Smaller versions of the example deployments for benches. They have the services,
 * kinds, slots and connections of the example, but fewer backend servers, because
 * load and servers must fit on two or three cores.
 */
import type { BackendOptions } from '../backend/types.js'
import { findFleetSettings, findServices } from '../configuration.js'
import { startDeployment, type Deployment } from '../deployment.js'
import { generateExample, type DeploymentName } from '../generate.js'
import { startLoad, type LoadRun } from '../load/generator.js'
import { toKindLoads } from '../load/kinds.js'
import type { CallOutcome, KindLoad } from '../load/types.js'

/** Backend servers of each service: about half of the counts in docs/design.md section 2.5. */
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
  /** Starts load that occupies this share of all slots, distributed over the services by their slots. */
  load: (options: { loadShare: number, durationMs: number, seed: number, onOutcome?: (outcome: CallOutcome) => void }) => LoadRun
  capacityPerS: number
  serviceNames: string[]
}

type SlotCount = { name: string, slots: number }

/** Sets the shares of the kinds so that each service is loaded in proportion to its slots. Uploads are excluded, because they occupy a slot for a long time. */
const distributeBySlots = (kinds: readonly KindLoad[], slotCounts: readonly SlotCount[]): KindLoad[] =>
  slotCounts.flatMap(({ name, slots }) => {
    const serviceKinds = kinds.filter(kind => kind.service === name && kind.uploadMs === 0)
    const total = serviceKinds.reduce((sum, kind) => sum + kind.share, 0)
    return serviceKinds.map(kind => ({ ...kind, share: slots * kind.share / total }))
  })

export const startScaledDeployment = async (options: ScaledOptions): Promise<ScaledDeployment> => {
  const configuration = await generateExample(options.name)
  const services = findServices(configuration)
  const settings = findFleetSettings(configuration)
  const targetCounts = TARGET_COUNTS[options.name]
  const slotCounts = services.map(service => ({ name: service.name, slots: service.slotsPerTarget * (targetCounts[service.name] ?? 3) }))
  const deployment = await startDeployment({
    settings,
    configurationEntries: configuration,
    services: services.map(service => ({
      name: service.name,
      targetCount: targetCounts[service.name] ?? 3,
      slots: service.slotsPerTarget,
      backend: { serviceTimeMs: options.serviceTimeMs, sigma: SIGMA, neighbours: options.neighbours }
    })),
    nodeCount: NODE_COUNT,
    seed: options.seed,
    policy: options.policy,
    isSeparateProcess: () => true,
    nodeSettings: () => ({ LOG_LEVEL: 'warn' })
  })
  const meanServiceMs = options.serviceTimeMs * Math.exp(SIGMA * SIGMA / 2)
  const capacityPerS = slotCounts.reduce((sum, { slots }) => sum + slots, 0) * 1000 / meanServiceMs
  return {
    ...deployment,
    capacityPerS,
    serviceNames: slotCounts.map(({ name }) => name),
    load: ({ loadShare, durationMs, seed, onOutcome }) => startLoad({
      kinds: distributeBySlots(toKindLoads(services), slotCounts),
      ratePerS: capacityPerS * loadShare,
      durationMs,
      requestsMax: REQUESTS_MAX,
      seed,
      callerCount: CALLER_COUNT,
      entryAddresses: deployment.entryAddresses(),
      zones: settings.zones,
      idPrefix: `b${Math.round(loadShare * 100)}`,
      onOutcome
    })
  }
}
