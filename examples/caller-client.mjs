/**
 * Sample client of a wisteriavalve fleet; see section 1 of docs/interfaces.md.
 * It requests the addresses to use from any node, tries them in order, and
 * requests them again when their lifetime has expired.
 *
 *   node examples/caller-client.mjs 10.0.0.4:8080 GET /stockview/stock/1
 *
 * A request is sent to the next address only when it certainly did not run: its
 * connection could not be opened, or a node reports so. A request that crashes its
 * backend servers is given up at once. Any other retry is left to the program that
 * uses this client, because it depends on the request.
 */
import { realpathSync } from 'node:fs'
import http from 'node:http'
import { buffer } from 'node:stream/consumers'
import { pathToFileURL } from 'node:url'

const ENTRY_PATH = '/.well-known/wisteriavalve/entry'
const CONNECT_TIMEOUT_MS = 1000

/** Sends one request on a connection of its own; error.isNotRun is true when no byte of it was sent. */
const send = ({ host, port }, { method, path, headers = {}, body, timeoutMs }) => new Promise((resolve, reject) => {
  const request = http.request({ host, port, method, path, headers, agent: false })
  let isConnected = false
  const connectTimer = setTimeout(() => request.destroy(new Error('the connection was not established in time')), CONNECT_TIMEOUT_MS)
  const timer = setTimeout(() => request.destroy(new Error(`no answer within ${timeoutMs} ms`)), timeoutMs)
  const finish = settle => value => {
    clearTimeout(connectTimer)
    clearTimeout(timer)
    settle(value)
  }
  request.on('socket', socket => socket.once('connect', () => {
    isConnected = true
    clearTimeout(connectTimer)
  }))
  request.on('error', error => finish(reject)(Object.assign(error, { isNotRun: !isConnected })))
  request.on('response', response => {
    buffer(response).then(
      content => finish(resolve)({ status: response.statusCode, headers: response.headers, body: content }),
      finish(reject))
  })
  request.end(body)
})

/** Result code of a request that crashes its backend servers; all nodes refuse it. */
const CRASHES_TARGETS_CODE = 'WV-1022'

/** Whether the node refused the request for a reason of its own. Another node may accept it. */
const isRefusedByNode = ({ status, headers }) =>
  headers['x-result-class'] === 'not-run' && (status === 502 || status === 503) && headers['x-result-code'] !== CRASHES_TARGETS_CODE

/**
 * @param entries some addresses of the fleet, { host, port }, for the first request
 * @param zone availability zone of the caller, for addresses near to it
 */
export const createCaller = ({ entries, zone, nowMs = () => performance.now() }) => {
  let addresses = entries
  let expiresMs = -Infinity

  const fetchAddresses = async () => {
    const path = zone === undefined ? ENTRY_PATH : `${ENTRY_PATH}?zone=${encodeURIComponent(zone)}`
    // The initial addresses are tried last. After a long time without requests they may be the only ones in use.
    for (const address of [...addresses, ...entries]) {
      const answer = await send(address, { method: 'GET', path, timeoutMs: 2000 }).catch(() => undefined)
      if (answer?.status !== 200) continue
      const entry = JSON.parse(answer.body.toString())
      addresses = entry.addresses
      expiresMs = nowMs() + entry.lifetimeMs
      return
    }
    if (addresses === entries) throw new Error('no address of the fleet responded')
  }

  /** @param timeoutMs time after which the response is no longer useful */
  const request = async ({ method, path, headers = {}, body, timeoutMs = 10_000 }) => {
    if (nowMs() >= expiresMs) await fetchAddresses()
    const deadlineMs = nowMs() + timeoutMs
    let lastResult
    for (const address of addresses) {
      const remainingMs = Math.floor(deadlineMs - nowMs())
      if (remainingMs < 1) break
      try {
        lastResult = await send(address, { method, path, body, timeoutMs: remainingMs, headers: { ...headers, 'x-request-timeout-ms': remainingMs } })
        if (!isRefusedByNode(lastResult)) return lastResult
      } catch (error) {
        if (!error.isNotRun) throw error
        lastResult = error
      }
    }
    if (lastResult instanceof Error || lastResult === undefined) throw lastResult ?? new Error(`no answer within ${timeoutMs} ms`)
    return lastResult
  }

  return { request }
}

const [, script, address, method, path] = process.argv
if (script && import.meta.url === pathToFileURL(realpathSync(script)).href) {
  if (!path) {
    console.error('usage: node caller-client.mjs HOST:PORT METHOD PATH')
    process.exit(2)
  }
  const { hostname, port } = new URL(`http://${address}`)
  try {
    const answer = await createCaller({ entries: [{ host: hostname, port: Number(port) }] }).request({ method, path })
    console.log(`status=${answer.status} result_code=${answer.headers['x-result-code'] ?? ''} bytes=${answer.body.length}`)
    process.exitCode = answer.status < 400 ? 0 : 1
  } catch (error) {
    console.error(error.message)
    process.exitCode = 1
  }
}
