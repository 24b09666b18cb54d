/**
 * Keeps the VM list: watchers read it from the platform every 2 s, the other
 * nodes take it over from a random peer at the same pace, so the platform's
 * load depends on the zones and each node's load stays the same as the fleet
 * grows. Every copy carries the time since it was read.
 */
import { hashBytes } from '@wisteriavalve/common'
import type { VmEntry } from '@wisteriavalve/schema'
import type { PeerAddress, PeerClients } from '../adapters/peer-client.js'
import type { PeerVmList } from '../adapters/peer-rpc.js'
import type { VmListReader } from '../adapters/vm-list.js'
import type { DaemonContext } from '../types.js'
import { createBackoff } from './backoff.js'
import { wait } from './wait.js'

export type VmListDriverOptions = {
  context: DaemonContext
  reader: VmListReader
  clients: PeerClients
  isWatcher: () => boolean
  randomPeer: () => PeerAddress | undefined
  onList: (vms: readonly VmEntry[]) => void
}

export type VmListDriver = {
  start: () => void
  /** Resolves when the list was read once or could not be read. */
  ready: () => Promise<void>
  vms: () => readonly VmEntry[]
  shared: () => PeerVmList | null
  stop: () => void
}

const INTERVAL_MS = 2000
/** Jitter only shortens the interval: leaving VMs must be known within 3 s. */
const JITTER = 0.25
const BACKOFF_MS_MAX = 10_000
/** Older lists are read from the platform, because the watchers seem to be cut off from it. */
const STALE_MS = 10_000

export const createVmListDriver = (options: VmListDriverOptions): VmListDriver => {
  const { context, reader } = options
  const { clock, random } = context
  const backoff = createBackoff({ firstMs: INTERVAL_MS, maxMs: BACKOFF_MS_MAX, random })
  const stopped = new AbortController()
  let list: { vms: readonly VmEntry[], hash: string, readMs: number } | undefined
  let isReachable = true
  let markReady = (): void => {}
  const ready = new Promise<void>(resolve => { markReady = resolve })

  const ageMs = (): number => list ? clock.nowMs() - list.readMs : Infinity

  const take = (vms: readonly VmEntry[], hash: string, readMs: number): void => {
    list = { vms, hash, readMs }
    options.onList(vms)
  }

  const noteReachable = (error: string | undefined): void => {
    if (error !== undefined && isReachable) context.log('vm_list_unreachable', { message: error })
    isReachable = error === undefined
  }

  /** @returns time until the next read */
  const readPlatform = async (): Promise<number> => {
    const read = await reader.read(stopped.signal)
    if (stopped.signal.aborted) return 0
    noteReachable(read.ok ? undefined : read.error)
    if (!read.ok) return backoff.next()
    backoff.reset()
    const { vms } = read.value
    take(vms, list?.vms === vms ? list.hash : hashBytes(Buffer.from(JSON.stringify(vms))), clock.nowMs())
    return INTERVAL_MS
  }

  const pullFromPeer = async (): Promise<void> => {
    const peer = options.randomPeer()
    if (!peer) return
    const known = { ageMs: Math.min(ageMs(), Number.MAX_SAFE_INTEGER), hash: list?.hash ?? '' }
    const startMs = clock.nowMs()
    const given = await options.clients.to(peer).vmList.query(known, { signal: stopped.signal }).catch(() => null)
    const vms = given?.vms ?? (given?.hash === list?.hash ? list?.vms : undefined)
    if (given && vms && !stopped.signal.aborted) take(vms, given.hash, startMs - given.ageMs)
  }

  const step = async (): Promise<number> => {
    if (options.isWatcher() || !list) return readPlatform()
    await pullFromPeer()
    return ageMs() > STALE_MS ? readPlatform() : INTERVAL_MS
  }

  const run = async (): Promise<void> => {
    while (!stopped.signal.aborted) {
      const delayMs = await step()
      markReady()
      await wait(clock, delayMs * (1 - JITTER * random.next()), stopped.signal)
    }
  }

  return {
    start: () => { run() },
    ready: () => ready,
    vms: () => list?.vms ?? [],
    shared: () => list ? { ageMs: ageMs(), hash: list.hash, vms: [...list.vms] } : null,
    stop: () => {
      stopped.abort()
      markReady()
    }
  }
}
