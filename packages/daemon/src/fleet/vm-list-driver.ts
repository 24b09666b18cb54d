/**
 * Keeps the VM list up to date. Watchers read it from the platform every 2 s,
 * and the other nodes copy it from a random peer at the same interval. The load
 * on the platform therefore depends on the number of zones, and the load of
 * each node stays constant as the fleet grows. Every copy carries its age.
 */
import { sha256Hex } from '@wisteriavalve/common'
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
  /** Resolves after the first read, whether it succeeded or failed. */
  ready: () => Promise<void>
  vms: () => readonly VmEntry[]
  peerList: () => PeerVmList | null
  stop: () => void
}

const READ_INTERVAL_MS = 2000
/** Jitter only shortens the interval, because leaving VMs must be detected within 3 s. */
const JITTER_RATIO = 0.25
const BACKOFF_MAX_MS = 10_000
/** A node whose list is older reads the platform itself, because the watchers are probably cut off from it. */
const STALE_AGE_MS = 10_000

export const createVmListDriver = (options: VmListDriverOptions): VmListDriver => {
  const { context, reader } = options
  const { clock, random } = context
  const backoff = createBackoff({ firstMs: READ_INTERVAL_MS, maxMs: BACKOFF_MAX_MS, random })
  const stopController = new AbortController()
  let list: { vms: readonly VmEntry[], hash: string, readMs: number } | undefined
  let isReachable = true
  let markReady = (): void => {}
  const ready = new Promise<void>(resolve => { markReady = resolve })

  const ageMs = (): number => list ? clock.nowMs() - list.readMs : Infinity

  const replaceList = (vms: readonly VmEntry[], hash: string, readMs: number): void => {
    list = { vms, hash, readMs }
    options.onList(vms)
  }

  const recordReachability = (error: string | undefined): void => {
    if (error !== undefined && isReachable) context.log('vm_list_unreachable', { message: error })
    isReachable = error === undefined
  }

  /** @returns time until the next read */
  const readFromPlatform = async (): Promise<number> => {
    const read = await reader.read(stopController.signal)
    if (stopController.signal.aborted) return 0
    recordReachability(read.ok ? undefined : read.error)
    if (!read.ok) return backoff.next()
    backoff.reset()
    const { vms } = read.value
    replaceList(vms, list?.vms === vms ? list.hash : sha256Hex(Buffer.from(JSON.stringify(vms))), clock.nowMs())
    return READ_INTERVAL_MS
  }

  const pullFromPeer = async (): Promise<void> => {
    const peer = options.randomPeer()
    if (!peer) return
    const query = { ageMs: Math.min(ageMs(), Number.MAX_SAFE_INTEGER), hash: list?.hash ?? '' }
    const startMs = clock.nowMs()
    const received = await options.clients.to(peer).vmList.query(query, { signal: stopController.signal }).catch(() => null)
    const vms = received?.vms ?? (received?.hash === list?.hash ? list?.vms : undefined)
    if (received && vms && !stopController.signal.aborted) replaceList(vms, received.hash, startMs - received.ageMs)
  }

  const refresh = async (): Promise<number> => {
    if (options.isWatcher() || !list) return readFromPlatform()
    await pullFromPeer()
    return ageMs() > STALE_AGE_MS ? readFromPlatform() : READ_INTERVAL_MS
  }

  const run = async (): Promise<void> => {
    while (!stopController.signal.aborted) {
      const delayMs = await refresh()
      markReady()
      await wait(clock, delayMs * (1 - JITTER_RATIO * random.next()), stopController.signal)
    }
  }

  return {
    start: () => { run() },
    ready: () => ready,
    vms: () => list?.vms ?? [],
    peerList: () => list ? { ageMs: ageMs(), hash: list.hash, vms: [...list.vms] } : null,
    stop: () => {
      stopController.abort()
      markReady()
    }
  }
}
