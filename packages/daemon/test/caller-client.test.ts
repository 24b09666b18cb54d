/** Guards the sample client against repeating calls that may have run, and against giving up while an address works. */
import test from 'ava'
import { createServer, type RequestListener } from 'node:http'
import type { AddressInfo } from 'node:net'

type Call = (path: string, options?: RequestInit) => Promise<Response>
type CreateCaller = (knownUrls: string[], zone: string) => Call

const CLIENT = new URL('../../../../examples/caller-client.mjs', import.meta.url).href

const listen = (handle: RequestListener): Promise<{ port: number, close: () => void }> => new Promise(resolve => {
  const server = createServer(handle).listen(0, '127.0.0.1', () => resolve({
    port: (server.address() as AddressInfo).port,
    close: () => { server.close(); server.closeAllConnections() }
  }))
})

test('the client moves on after not-run and refused connections, and does not repeat a call that may have run', async t => {
  const { createCaller } = await import(CLIENT) as { createCaller: CreateCaller }
  const seen: string[] = []
  const closed = await listen(() => {})
  closed.close()
  const refusing = await listen((request, response) => {
    seen.push(`refusing ${request.url}`)
    response.writeHead(503, { 'x-result-class': 'not-run' }).end()
  })
  const serving = await listen((request, response) => {
    if (request.url?.startsWith('/.well-known')) {
      const addresses = [closed, refusing, serving].map(({ port }) => ({ host: '127.0.0.1', port, zone: 'z' }))
      response.end(JSON.stringify({ addresses, lifetimeMs: 10_000 }))
      return
    }
    seen.push(`serving ${request.url}`)
    if (request.url === '/lost') request.socket.destroy()
    else response.writeHead(request.url === '/unknown' ? 504 : 200, request.url === '/unknown' ? { 'x-result-class': 'outcome-unknown' } : {}).end()
  })
  t.teardown(() => { refusing.close(); serving.close() })
  const call = createCaller([`http://127.0.0.1:${closed.port}`, `http://127.0.0.1:${serving.port}`], 'z')
  t.is((await call('/order', { method: 'POST' })).status, 200)
  t.is((await call('/unknown', { method: 'POST' })).status, 504)
  await t.throwsAsync(call('/lost', { method: 'POST' }))
  t.deepEqual(seen, ['/order', '/unknown', '/lost'].flatMap(path => [`refusing ${path}`, `serving ${path}`]))
})
