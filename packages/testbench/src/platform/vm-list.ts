/**
 * Test double of the platform's VM list as docs/interfaces.md section 4
 * describes it, with switchable faults.
 */
import type { VmEntry } from '@wisteriavalve/schema'
import { createHttpDouble, type Outage } from './http-double.js'

export type VmListDouble = {
  url: string
  set: (vms: readonly VmEntry[]) => void
  vms: () => VmEntry[]
  add: (vm: VmEntry) => void
  remove: (vmId: string) => void
  setState: (vmId: string, state: VmEntry['state']) => void
  /** Changes become visible to readers after this delay. */
  setVisibilityDelayMs: (visibilityDelayMs: number) => void
  /** While true, reads return the list as it was when this was called. */
  setStale: (stale: boolean) => void
  /** While true, reads return a valid list without VMs. */
  setEmpty: (empty: boolean) => void
  setOutage: (outage: Outage) => void
  readCount: () => number
  close: () => Promise<void>
}

type Version = { sinceMs: number, vms: VmEntry[] }

const HISTORY_MAX = 1000

export const createVmList = async (): Promise<VmListDouble> => {
  const history: Version[] = [{ sinceMs: performance.now(), vms: [] }]
  let visibilityDelayMs = 0
  let staleVms: VmEntry[] | undefined
  let isEmpty = false
  let readCount = 0

  const currentVms = (): VmEntry[] => history.at(-1)?.vms ?? []
  const delayedVms = (): VmEntry[] => {
    const visibleUntilMs = performance.now() - visibilityDelayMs
    return (history.findLast(version => version.sinceMs <= visibleUntilMs) ?? history[0])?.vms ?? []
  }
  const set = (vms: readonly VmEntry[]): void => {
    history.push({ sinceMs: performance.now(), vms: [...vms] })
    if (history.length > HISTORY_MAX) history.shift()
  }

  const httpDouble = await createHttpDouble((request, response) => {
    readCount++
    if (request.method !== 'GET') {
      response.writeHead(405).end()
      return
    }
    const vms = isEmpty ? [] : staleVms ?? (visibilityDelayMs > 0 ? delayedVms() : currentVms())
    response.setHeader('content-type', 'application/json')
    response.end(JSON.stringify({ vms }))
  })

  return {
    url: `${httpDouble.url}/v1/vms`,
    set,
    vms: currentVms,
    add: vm => set([...currentVms().filter(other => other.vmId !== vm.vmId), vm]),
    remove: vmId => set(currentVms().filter(vm => vm.vmId !== vmId)),
    setState: (vmId, state) => set(currentVms().map(vm => vm.vmId === vmId ? { ...vm, state } : vm)),
    setVisibilityDelayMs: next => { visibilityDelayMs = next },
    setStale: stale => { staleVms = stale ? currentVms() : undefined },
    setEmpty: next => { isEmpty = next },
    setOutage: httpDouble.setOutage,
    readCount: () => readCount,
    close: httpDouble.close
  }
}
