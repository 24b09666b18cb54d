/**
 * Test double of the platform's VM list as docs/interfaces.md section 4
 * describes it, with faults that tests switch.
 */
import type { VmEntry } from '@wisteriavalve/schema'
import { createHttpDouble, type Outage } from './outage.js'

export type VmListDouble = {
  url: string
  set: (vms: readonly VmEntry[]) => void
  vms: () => VmEntry[]
  add: (vm: VmEntry) => void
  remove: (vmId: string) => void
  setState: (vmId: string, state: VmEntry['state']) => void
  /** Readers see changes only after this time. */
  setLagMs: (lagMs: number) => void
  /** Readers see the list as it is now, whatever changes later. */
  setStale: (stale: boolean) => void
  /** Readers see a valid list without VMs. */
  setEmpty: (empty: boolean) => void
  setOutage: (outage: Outage) => void
  readCount: () => number
  close: () => Promise<void>
}

type Version = { sinceMs: number, vms: VmEntry[] }

const HISTORY_MAX = 1000

export const createVmList = async (): Promise<VmListDouble> => {
  const history: Version[] = [{ sinceMs: performance.now(), vms: [] }]
  let lagMs = 0
  let frozen: VmEntry[] | undefined
  let empty = false
  let readCount = 0

  const current = (): VmEntry[] => history.at(-1)?.vms ?? []
  const lagged = (): VmEntry[] => {
    const seenMs = performance.now() - lagMs
    return (history.findLast(version => version.sinceMs <= seenMs) ?? history[0])?.vms ?? []
  }
  const set = (vms: readonly VmEntry[]): void => {
    history.push({ sinceMs: performance.now(), vms: [...vms] })
    if (history.length > HISTORY_MAX) history.shift()
  }

  const double = await createHttpDouble((request, response) => {
    readCount++
    if (request.method !== 'GET') {
      response.writeHead(405).end()
      return
    }
    const vms = empty ? [] : frozen ?? (lagMs > 0 ? lagged() : current())
    response.setHeader('content-type', 'application/json')
    response.end(JSON.stringify({ vms }))
  })

  return {
    url: `${double.url}/v1/vms`,
    set,
    vms: current,
    add: vm => set([...current().filter(other => other.vmId !== vm.vmId), vm]),
    remove: vmId => set(current().filter(vm => vm.vmId !== vmId)),
    setState: (vmId, state) => set(current().map(vm => vm.vmId === vmId ? { ...vm, state } : vm)),
    setLagMs: next => { lagMs = next },
    setStale: stale => { frozen = stale ? current() : undefined },
    setEmpty: next => { empty = next },
    setOutage: double.setOutage,
    readCount: () => readCount,
    close: double.close
  }
}
