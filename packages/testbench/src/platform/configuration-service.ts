/**
 * Test double of the configuration service: the read operations of the Consul
 * KV HTTP interface as docs/interfaces.md section 3 describes them, with
 * switchable faults. Tests write by function calls, which stand for the platform
 * tool that operators use.
 */
import { readdir, readFile } from 'node:fs/promises'
import type http from 'node:http'
import path from 'node:path'
import { createHttpDouble, type Outage } from './http-double.js'

export type ConfigurationEntry = { key: string, bytes: Uint8Array }

type StoredValue = { bytes: Uint8Array, revision: number }
type Store = { revision: number, values: Map<string, StoredValue> }

/** Snapshot of the whole store, as a backup contains it. */
export type StoreSnapshot = { readonly store: Store }

export type ConfigurationServiceCounters = {
  reads: number
  watchesWaiting: number
  watchesWaitingMax: number
  tooManyRequests: number
}

export type ConfigurationServiceOptions = { readsPerS?: number }

export type ConfigurationService = {
  url: string
  /** Stores a value. @returns its revision @throws Error when it is larger than 1 MB */
  put: (key: string, bytes: Uint8Array) => number
  /** Stores all entries, the head last. @returns the revision of the last one */
  publish: (entries: readonly ConfigurationEntry[]) => number
  /** Publishes the files that `wisteriavalve generate` wrote. */
  publishDirectory: (directory: string) => Promise<number>
  get: (key: string) => Uint8Array | undefined
  setOutage: (outage: Outage) => void
  /** Delays each response. */
  setResponseDelayMs: (responseDelayMs: number) => void
  /** While true, reads return the store as it was when this was called. */
  setStale: (stale: boolean) => void
  takeSnapshot: () => StoreSnapshot
  /** Replaces the store by a snapshot; revisions are reset as well. */
  restore: (copy: StoreSnapshot) => void
  counters: () => ConfigurationServiceCounters
  close: () => Promise<void>
}

const VALUE_BYTES_MAX = 1024 * 1024
const READS_PER_S = 2000
const WAIT_MAX_MS = 600_000
const KEY_PATH = '/v1/kv/'

const cloneStore = (store: Store): Store => ({ revision: store.revision, values: new Map(store.values) })

/** Wait times are written as in Consul: a number with the unit ms, s or m. */
const parseWaitMs = (text: string | null): number => {
  const match = /^(\d+)(ms|s|m)$/.exec(text ?? '5m')
  if (!match) return WAIT_MAX_MS
  const unitMs = { ms: 1, s: 1000, m: 60_000 }[match[2] as 'ms' | 's' | 'm']
  return Math.min(WAIT_MAX_MS, Number(match[1]) * unitMs)
}

const createReadLimiter = (ratePerS: number) => {
  let tokens = ratePerS
  let refilledMs = performance.now()
  return (): boolean => {
    const nowMs = performance.now()
    tokens = Math.min(ratePerS, tokens + (nowMs - refilledMs) * ratePerS / 1000)
    refilledMs = nowMs
    if (tokens < 1) return false
    tokens--
    return true
  }
}

const sendValue = (response: http.ServerResponse, store: Store, key: string): void => {
  const value = store.values.get(key)
  response.setHeader('x-consul-index', String(Math.max(1, value?.revision ?? store.revision)))
  response.setHeader('content-type', 'application/json')
  response.statusCode = value ? 200 : 404
  response.end(value && JSON.stringify([{ Key: key, Value: Buffer.from(value.bytes).toString('base64'), ModifyIndex: value.revision }]))
}

const listFiles = async (directory: string): Promise<string[]> => {
  const found = await readdir(directory, { recursive: true, withFileTypes: true })
  return found.filter(item => item.isFile()).map(item => path.join(item.parentPath, item.name))
}

/** Reads the files that `wisteriavalve generate` wrote. The key of a file is its path from `wisteriavalve/` on. */
export const readEntries = async (directory: string): Promise<ConfigurationEntry[]> => {
  const files = (await listFiles(directory)).map(file => ({ file, key: path.relative(directory, file).split(path.sep).join('/') }))
  return Promise.all(files
    .filter(({ key }) => key.startsWith('wisteriavalve/'))
    .map(async ({ file, key }) => ({ key, bytes: await readFile(file) })))
}

export const createConfigurationService = async (options: ConfigurationServiceOptions = {}): Promise<ConfigurationService> => {
  let primary: Store = { revision: 0, values: new Map() }
  let replica: Store | undefined
  let responseDelayMs = 0
  const watches = new Set<() => void>()
  const counters = { reads: 0, watchesWaitingMax: 0, tooManyRequests: 0 }
  const tryRead = createReadLimiter(options.readsPerS ?? READS_PER_S)
  const readableStore = (): Store => replica ?? primary

  const watch = (response: http.ServerResponse, key: string, index: number, waitMs: number): void => {
    const finish = (): void => {
      clearTimeout(timer)
      watches.delete(check)
      if (!response.destroyed) sendValue(response, readableStore(), key)
    }
    const check = (): void => { if ((readableStore().values.get(key)?.revision ?? 0) > index) finish() }
    const timer = setTimeout(finish, waitMs)
    watches.add(check)
    counters.watchesWaitingMax = Math.max(counters.watchesWaitingMax, watches.size)
    response.on('close', () => { clearTimeout(timer); watches.delete(check) })
    check()
  }

  const read = (url: URL, response: http.ServerResponse): void => {
    const key = decodeURIComponent(url.pathname.slice(KEY_PATH.length))
    const index = Number(url.searchParams.get('index') ?? 0)
    if (index > 0) watch(response, key, index, parseWaitMs(url.searchParams.get('wait')))
    else sendValue(response, readableStore(), key)
  }

  const httpDouble = await createHttpDouble((request, response) => {
    const url = new URL(request.url ?? '/', 'http://localhost')
    counters.reads++
    if (!tryRead()) {
      counters.tooManyRequests++
      response.writeHead(429).end()
    } else if (request.method !== 'GET' || !url.pathname.startsWith(KEY_PATH)) response.writeHead(405).end()
    else if (responseDelayMs > 0) setTimeout(() => read(url, response), responseDelayMs)
    else read(url, response)
  })

  const checkWatches = (): void => { for (const check of [...watches]) check() }

  const put = (key: string, bytes: Uint8Array): number => {
    if (bytes.length > VALUE_BYTES_MAX) throw new Error(`value of ${key} too large: ${bytes.length} bytes, limit ${VALUE_BYTES_MAX}`)
    primary.revision++
    primary.values.set(key, { bytes, revision: primary.revision })
    checkWatches()
    return primary.revision
  }

  const publish = (entries: readonly ConfigurationEntry[]): number => {
    const heads = entries.filter(entry => entry.key.endsWith('/head'))
    const values = entries.filter(entry => !entry.key.endsWith('/head'))
    return [...values, ...heads].reduce((_, { key, bytes }) => put(key, bytes), 0)
  }

  return {
    url: httpDouble.url,
    put,
    publish,
    publishDirectory: async directory => publish(await readEntries(directory)),
    get: key => primary.values.get(key)?.bytes,
    setOutage: httpDouble.setOutage,
    setResponseDelayMs: next => { responseDelayMs = next },
    setStale: stale => {
      replica = stale ? cloneStore(primary) : undefined
      checkWatches()
    },
    takeSnapshot: () => ({ store: cloneStore(primary) }),
    restore: copy => {
      primary = cloneStore(copy.store)
      replica = undefined
      checkWatches()
    },
    counters: () => ({ ...counters, watchesWaiting: watches.size }),
    close: httpDouble.close
  }
}
