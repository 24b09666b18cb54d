/**
 * Targets of each service: the union of the VM list and the fixed targets of
 * the configuration. The VM list lags and can be stale or empty, so a VM that
 * is missing from it stays a target until a failed connection confirms that it
 * is gone; leaving VMs are reported at once.
 */
import type { ServiceConfiguration, Target, TargetNote, VmEntry } from '@wisteriavalve/schema'
import { LEAVING_MEMORY_MS } from './constants.js'

export type TargetSet = { targets: Target[], leavingIds: string[] }

export type TargetUnion = {
  /** Takes over a list; returns the backend VMs that it newly reports as leaving. */
  setVms: (vms: readonly VmEntry[], nowMs: number) => VmEntry[]
  setServices: (services: ReadonlyMap<string, ServiceConfiguration>) => void
  /** A target that connections found dead, and that the list does not show any more, is removed. */
  noteObservation: (note: Pick<TargetNote, 'service' | 'targetId' | 'observation'>) => void
  /** Services whose targets differ from the last call. */
  takeChanges: (nowMs: number) => Map<string, TargetSet>
}

type KnownVm = {
  vm: VmEntry
  isListed: boolean
  /** Whether the last observation was a failed connection. */
  isDead: boolean
  /** Last time that a list reported the VM as leaving. */
  leavingMs?: number
}

const keyOf = (service: string, vmId: string): string => `${service}/${vmId}`

const toTarget = ({ vmId, host, port, zone }: VmEntry): Target => ({ id: vmId, host, port, zone })

const addressOf = ({ host, port }: Pick<Target, 'host' | 'port'>): string => `${host}:${port}`

export const createTargetUnion = (): TargetUnion => {
  const known = new Map<string, KnownVm>()
  const published = new Map<string, string>()
  let services: ReadonlyMap<string, ServiceConfiguration> = new Map()
  let lastVms: readonly VmEntry[] | undefined
  let isChanged = true

  /** A stale list can show a leaving VM as live again, so the mark stays for a while. */
  const isLeaving = ({ leavingMs }: KnownVm, nowMs: number): boolean =>
    leavingMs !== undefined && nowMs - leavingMs < LEAVING_MEMORY_MS

  const takeVm = (vm: VmEntry, nowMs: number): boolean => {
    const key = keyOf(vm.service as string, vm.vmId)
    const before = known.get(key)
    const leavingMs = vm.state === 'leaving' ? nowMs : before?.leavingMs
    known.set(key, { vm, isListed: true, isDead: before?.isDead ?? false, leavingMs })
    return vm.state === 'leaving' && !(before && isLeaving(before, nowMs))
  }

  const setVms = (vms: readonly VmEntry[], nowMs: number): VmEntry[] => {
    if (vms !== lastVms) isChanged = true
    lastVms = vms
    for (const entry of known.values()) entry.isListed = false
    const leaving = vms.filter(vm => vm.role === 'backend' && vm.service !== undefined && takeVm(vm, nowMs))
    for (const [key, entry] of known) if (!entry.isListed && entry.isDead) known.delete(key)
    return leaving
  }

  /** VMs that left some time ago are removed, or are live again when the list shows them so. */
  const endLeaving = (nowMs: number): void => {
    for (const [key, entry] of known) {
      if (entry.leavingMs === undefined || isLeaving(entry, nowMs)) continue
      delete entry.leavingMs
      if (!entry.isListed) known.delete(key)
      isChanged = true
    }
  }

  /** Two ids for one address would double the load limits of a target. */
  const unite = (service: string, configuration: ServiceConfiguration, nowMs: number): TargetSet => {
    const vms = [...known.values()].filter(({ vm }) => vm.service === service)
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

  const noteObservation: TargetUnion['noteObservation'] = ({ service, targetId, observation }) => {
    const entry = known.get(keyOf(service, targetId))
    if (!entry || observation === 'draining') return
    entry.isDead = observation === 'dead'
    if (!entry.isDead || entry.isListed) return
    known.delete(keyOf(service, targetId))
    isChanged = true
  }

  const takeChanges = (nowMs: number): Map<string, TargetSet> => {
    endLeaving(nowMs)
    const changes = new Map<string, TargetSet>()
    if (!isChanged) return changes
    isChanged = false
    for (const [name, configuration] of services) {
      const set = unite(name, configuration, nowMs)
      const text = JSON.stringify(set)
      if (published.get(name) === text) continue
      published.set(name, text)
      changes.set(name, set)
    }
    return changes
  }

  const setServices = (next: ReadonlyMap<string, ServiceConfiguration>): void => {
    services = next
    for (const name of published.keys()) if (!next.has(name)) published.delete(name)
    isChanged = true
  }

  return { setVms, setServices, noteObservation, takeChanges }
}
