/**
 * A complete deployment on loopback: test doubles of the platform, backend
 * servers, and daemon processes. Used by the demo, benches and integration tests.
 */
import type { FleetSettings, VmEntry } from '@wisteriavalve/schema'
import { startBackendProcess } from './backend/process.js'
import { createBackend } from './backend/server.js'
import type { Backend, BackendOptions } from './backend/types.js'
import { createRunRecord, type RunRecord } from './checker.js'
import { startFleet, type Fleet, type FleetOptions } from './fleet-harness.js'
import type { Address } from './load/types.js'
import { createConfigurationService, type ConfigurationEntry, type ConfigurationService } from './platform/configuration-service.js'
import { createVmList, type VmListDouble } from './platform/vm-list.js'
import { createTcpProxy, type TcpProxy } from './proxy/tcp.js'

export type ServiceDeployment = {
  name: string
  targetCount: number
  slots: number
  backend?: Partial<BackendOptions>
}

export type DeploymentOptions = {
  settings: Pick<FleetSettings, 'fleet' | 'zones'>
  configurationEntries: readonly ConfigurationEntry[]
  services: readonly ServiceDeployment[]
  nodeCount: number
  seed: number
  policy?: string
  /** Selects the backend servers that run as separate processes. */
  isSeparateProcess?: (vmId: string) => boolean
  /** Selects the backend servers that are behind a fault-injecting proxy. */
  isBehindProxy?: (vmId: string) => boolean
  /** Whether the traffic between nodes passes through fault-injecting proxies. */
  hasNodeProxies?: boolean
  nodeSettings?: FleetOptions['settings']
}

export type DeployedBackend = Pick<Backend, 'id' | 'host' | 'port' | 'setBehaviour' | 'stop' | 'kill'> & {
  vm: VmEntry
  /** Health probes received so far; undefined for a backend server that runs as a separate process. */
  probeCount?: () => number
  proxy?: TcpProxy
}

export type Deployment = {
  configurationService: ConfigurationService
  vmList: VmListDouble
  fleet: Fleet
  record: RunRecord
  backend: (vmId: string) => DeployedBackend
  backends: () => DeployedBackend[]
  /** Caller addresses of the nodes. */
  entryAddresses: () => Address[]
  /** Ends all processes and servers. Must be called in every case. */
  close: () => Promise<void>
}

type BackendPlan = { vmId: string, zone: string, service: ServiceDeployment, options: BackendOptions }

const planBackends = (options: DeploymentOptions): BackendPlan[] =>
  options.services.flatMap((service, serviceIndex) => Array.from({ length: service.targetCount }, (_, index) => {
    const vmId = `${service.name}-${index + 1}`
    const { zones } = options.settings
    return {
      vmId,
      service,
      zone: zones[index % zones.length] as string,
      options: { id: vmId, slots: service.slots, seed: options.seed * 10_000 + serviceIndex * 100 + index, ...service.backend }
    }
  }))

const startBackend = async (plan: BackendPlan, options: DeploymentOptions, record: RunRecord): Promise<DeployedBackend> => {
  const backend = options.isSeparateProcess?.(plan.vmId)
    ? await startBackendProcess(plan.options, record.add)
    : await createBackend(plan.options, record.add)
  const proxy = options.isBehindProxy?.(plan.vmId)
    ? await createTcpProxy({ targetHost: backend.host, targetPort: backend.port, seed: options.seed })
    : undefined
  const { host, port } = proxy ?? backend
  return { ...backend, proxy, vm: { vmId: plan.vmId, role: 'backend', service: plan.service.name, zone: plan.zone, host, port, state: 'live' } }
}

export const startDeployment = async (options: DeploymentOptions): Promise<Deployment> => {
  const record = createRunRecord()
  const configurationService = await createConfigurationService()
  const vmList = await createVmList()
  const backends = new Map<string, DeployedBackend>()
  let fleet: Fleet | undefined

  const close = async (): Promise<void> => {
    await fleet?.close()
    const running = [...backends.values()]
    await Promise.all(running.map(async backend => {
      await backend.proxy?.close()
      await backend.kill()
    }))
    await Promise.all([configurationService.close(), vmList.close()])
  }

  try {
    configurationService.publish(options.configurationEntries)
    for (const plan of planBackends(options)) backends.set(plan.vmId, await startBackend(plan, options, record))
    vmList.set([...backends.values()].map(backend => backend.vm))
    fleet = await startFleet({
      fleet: options.settings.fleet,
      zones: options.settings.zones,
      count: options.nodeCount,
      configurationService,
      vmList,
      seed: options.seed,
      policy: options.policy,
      hasNodeProxies: options.hasNodeProxies,
      settings: options.nodeSettings
    })
    await fleet.waitReady()
  } catch (error) {
    await close()
    throw error
  }

  const startedFleet = fleet
  return {
    configurationService,
    vmList,
    fleet: startedFleet,
    record,
    backend: vmId => {
      const backend = backends.get(vmId)
      if (!backend) throw new Error(`no backend server ${vmId}`)
      return backend
    },
    backends: () => [...backends.values()],
    entryAddresses: () => startedFleet.nodes.map(node => ({ host: node.host, port: node.callerPort })),
    close
  }
}
