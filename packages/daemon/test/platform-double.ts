/** Test double of the configuration service and the VM list on one loopback port. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { VmEntry } from '@wisteriavalve/schema'

export type PlatformDouble = {
  url: string
  port: number
  readCount: () => number
  /** Publishes values first and the head last; returns the revision. */
  publish: (sample: { head: Uint8Array, values: ReadonlyMap<string, Uint8Array> }, revision?: number) => number
  setVms: (vms: VmEntry[]) => void
  setAvailable: (isAvailable: boolean) => void
  close: () => Promise<void>
}

type StoredValue = { revision: number, bytes: Uint8Array }

export const openPlatformDouble = async (fleet = 'okonkwo', port = 0): Promise<PlatformDouble> => {
  const store = new Map<string, StoredValue>()
  const pendingWatches = new Set<() => void>()
  const headKey = `wisteriavalve/${fleet}/head`
  let vms: VmEntry[] = []
  let index = 1
  let readCount = 0
  let isAvailable = true

  const respondWithKey = (key: string, response: ServerResponse): void => {
    const entry = store.get(key)
    response.setHeader('x-consul-index', String(key === headKey ? entry?.revision ?? 1 : index))
    if (!entry) response.writeHead(404).end()
    else response.end(JSON.stringify([{ Key: key, Value: Buffer.from(entry.bytes).toString('base64'), ModifyIndex: entry.revision }]))
  }

  const handle = (request: IncomingMessage, response: ServerResponse): void => {
    const url = new URL(request.url ?? '/', 'http://platform')
    if (!isAvailable) {
      response.destroy()
      return
    }
    if (url.pathname === '/v1/vms') {
      response.end(JSON.stringify({ vms }))
      return
    }
    readCount++
    const key = url.pathname.replace('/v1/kv/', '')
    const since = Number(url.searchParams.get('index') ?? 0)
    const isWatch = since > 0 && (store.get(key)?.revision ?? 1) === since
    if (!isWatch) return respondWithKey(key, response)
    const finish = (): void => {
      clearTimeout(timer)
      pendingWatches.delete(finish)
      if (isAvailable) respondWithKey(key, response)
      else response.destroy()
    }
    const timer = setTimeout(finish, 10_000)
    pendingWatches.add(finish)
    response.on('close', () => { clearTimeout(timer); pendingWatches.delete(finish) })
  }

  const server = createServer(handle)
  await new Promise<void>(resolve => server.listen(port, '127.0.0.1', resolve))
  const boundPort = (server.address() as AddressInfo).port
  const releaseWatches = (): void => { for (const finish of [...pendingWatches]) finish() }

  return {
    url: `http://127.0.0.1:${boundPort}`,
    port: boundPort,
    readCount: () => readCount,
    publish: ({ head, values }, revision) => {
      for (const [hash, bytes] of values) store.set(`wisteriavalve/${fleet}/value/${hash}`, { revision: ++index, bytes })
      index = revision ?? index + 1
      store.set(headKey, { revision: index, bytes: head })
      releaseWatches()
      return index
    },
    setVms: next => { vms = next },
    setAvailable: next => {
      isAvailable = next
      if (!isAvailable) { releaseWatches(); server.closeAllConnections() }
    },
    close: () => new Promise(resolve => { server.close(() => resolve()); releaseWatches(); server.closeAllConnections() })
  }
}
