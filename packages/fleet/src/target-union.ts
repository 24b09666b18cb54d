/**
 * Targets of each service: the union of the VM list and the fixed targets of the
 * configuration. The VM list lags and can be stale or empty, so a VM missing from
 * it stays a target until a failed connection confirms that it is gone. Leaving
 * VMs are reported immediately.
 */
import type { ServiceConfiguration, Target, TargetNote, VmEntry } from '@wisteriavalve/schema'
import { LEAVING_RETENTION_MS } from './constants.js'

export type TargetSet = { targets: Target[], leavingIds: string[] }

export type TargetUnion = {
  /** Applies a VM list and returns the backend VMs that it newly reports as leaving. */
  setVms: (vms: readonly VmEntry[], nowMs: number) => VmEntry[]
  setServices: (services: ReadonlyMap<string, ServiceConfiguration>) => void
  /** Records an observation; a target with a failed connection that is no longer listed is removed. */
  recordObservation: (note: Pick<TargetNote, 'service' | 'targetId' | 'observation'>) => void
  /** Returns the services whose targets changed since the last call. */
  takeChanges: (nowMs: number) => Map<string, TargetSet>
}

type VmRecord = {
  vm: VmEntry
  isListed: boolean
  /** Whether the last observation was a failed connection. */
  isDead: boolean
  /** Latest time at which a VM list reported the VM as leaving. */
  leavingMs?: number
}

const keyOf = (service: string, vmId: string): string => `${service}/${vmId}`

const toTarget = ({ vmId, host, port, zone }: VmEntry): Target => ({ id: vmId, host, port, zone })

const addressOf = ({ host, port }: Pick<Target, 'host' | 'port'>): string => `${host}:${port}`

export const createTargetUnion = (): TargetUnion => {
  const records = new Map<string, VmRecord>()
  const reportedSets = new Map<string, string>()
  let services: ReadonlyMap<string, ServiceConfiguration> = new Map()
  let previousVms: readonly VmEntry[] | undefined
  let isChanged = true

  /** The mark is kept for a while, because a stale list can show a leaving VM as live again. */
  const isLeaving = ({ leavingMs }: VmRecord, nowMs: number): boolean =>
    leavingMs !== undefined && nowMs - leavingMs < LEAVING_RETENTION_MS

  const recordVm = (vm: VmEntry, nowMs: number): boolean => {
    const key = keyOf(vm.service as string, vm.vmId)
    const previous = records.get(key)
    const leavingMs = vm.state === 'leaving' ? nowMs : previous?.leavingMs
    records.set(key, { vm, isListed: true, isDead: previous?.isDead ?? false, leavingMs })
    return vm.state === 'leaving' && !(previous && isLeaving(previous, nowMs))
  }

  const setVms = (vms: readonly VmEntry[], nowMs: number): VmEntry[] => {
    if (vms !== previousVms) isChanged = true
    previousVms = vms
    for (const entry of records.values()) entry.isListed = false
    const leaving = vms.filter(vm => vm.role === 'backend' && vm.service !== undefined && recordVm(vm, nowMs))
    for (const [key, entry] of records) if (!entry.isListed && entry.isDead) records.delete(key)
    return leaving
  }

  /** Ends the leaving mark after its retention time; VMs that are no longer listed are removed. */
  const expireLeaving = (nowMs: number): void => {
    for (const [key, entry] of records) {
      if (entry.leavingMs === undefined || isLeaving(entry, nowMs)) continue
      delete entry.leavingMs
      if (!entry.isListed) records.delete(key)
      isChanged = true
    }
  }

  /** Merges targets by address, because two ids for one address would double the load limits of a target. */
  const mergeTargets = (service: string, configuration: ServiceConfiguration, nowMs: number): TargetSet => {
    const vms = [...records.values()].filter(({ vm }) => vm.service === service)
    const byAddress = new Map<string, Target>()
    const ids = new Set<string>()
    for (const target of [...vms.map(({ vm }) => toTarget(vm)), ...configuration.targets]) {
      if (byAddress.has(addressOf(target)) || ids.has(target.id)) continue
      byAddress.set(addressOf(target), target)
      ids.add(target.id)
    }
    return {
      targets: [...byAddress.values()],
      leavingIds: vms.filter(entry => isLeaving(entry, nowMs)).map(({ vm }) => vm.vmId)
    }
  }

  const recordObservation: TargetUnion['recordObservation'] = ({ service, targetId, observation }) => {
    const entry = records.get(keyOf(service, targetId))
    if (!entry || observation === 'draining') return
    entry.isDead = observation === 'dead'
    if (!entry.isDead || entry.isListed) return
    records.delete(keyOf(service, targetId))
    isChanged = true
  }

  const takeChanges = (nowMs: number): Map<string, TargetSet> => {
    expireLeaving(nowMs)
    const changes = new Map<string, TargetSet>()
    if (!isChanged) return changes
    isChanged = false
    for (const [name, configuration] of services) {
      const set = mergeTargets(name, configuration, nowMs)
      const serializedSet = JSON.stringify(set)
      if (reportedSets.get(name) === serializedSet) continue
      reportedSets.set(name, serializedSet)
      changes.set(name, set)
    }
    return changes
  }

  const setServices = (next: ReadonlyMap<string, ServiceConfiguration>): void => {
    services = next
    for (const name of reportedSets.keys()) if (!next.has(name)) reportedSets.delete(name)
    isChanged = true
  }

  return { setVms, setServices, recordObservation, takeChanges }
}
