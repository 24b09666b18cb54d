/**
 * Sample client of a wisteriavalve fleet, after section 1 of
 * docs/interfaces.md. It asks any node which addresses to use, tries them in
 * order, and asks again when the answer's lifetime is over.
 *
 *   node examples/caller-client.mjs 10.0.0.4:8080 GET /stockview/stock/1
 *
 * A request goes to the next address only when it certainly did not run: its
 * connection could not be opened, or a node says so. Everything else is left to
 * the program that uses this client, which knows what may be repeated.
 */
import { realpathSync } from 'node:fs'
import http from 'node:http'
import { buffer } from 'node:stream/consumers'
import { pathToFileURL } from 'node:url'

const ENTRY_PATH = '/.well-known/wisteriavalve/entry'
const CONNECT_TIMEOUT_MS = 1000

/** Sends one request on a connection of its own; error.isNotRun says that no byte of it was sent. */
const send = ({ host, port }, { method, path, headers = {}, body, timeoutMs }) => new Promise((resolve, reject) => {
  const request = http.request({ host, port, method, path, headers, agent: false })
  let isConnected = false
  const connectTimer = setTimeout(() => request.destroy(new Error('the connection took too long to open')), CONNECT_TIMEOUT_MS)
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

/** A node that refuses a request for its own reasons is worth leaving for another. */
const isRefusedByNode = ({ status, headers }) =>
  headers['x-result-class'] === 'not-run' && (status === 502 || status === 503)

/**
 * @param entries some addresses of the fleet, { host, port }, to ask first
 * @param zone availability zone of the caller, so that it gets near addresses
 */
export const createCaller = ({ entries, zone, nowMs = () => performance.now() }) => {
  let addresses = entries
  let expiresMs = -Infinity

  const askEntry = async () => {
    const path = zone === undefined ? ENTRY_PATH : `${ENTRY_PATH}?zone=${encodeURIComponent(zone)}`
    // The first addresses come last: they may be all that is left after a long silence.
    for (const address of [...addresses, ...entries]) {
      const answer = await send(address, { method: 'GET', path, timeoutMs: 2000 }).catch(() => undefined)
      if (answer?.status !== 200) continue
      const entry = JSON.parse(answer.body.toString())
      addresses = entry.addresses
      expiresMs = nowMs() + entry.lifetimeMs
      return
    }
    if (addresses === entries) throw new Error('no address of the fleet answers')
  }

  /** @param timeoutMs time in which the answer is of use */
  const request = async ({ method, path, headers = {}, body, timeoutMs = 10_000 }) => {
    if (nowMs() >= expiresMs) await askEntry()
    const deadlineMs = nowMs() + timeoutMs
    let last
    for (const address of addresses) {
      const leftMs = Math.floor(deadlineMs - nowMs())
      if (leftMs < 1) break
      try {
        last = await send(address, { method, path, body, timeoutMs: leftMs, headers: { ...headers, 'x-request-timeout-ms': leftMs } })
        if (!isRefusedByNode(last)) return last
      } catch (error) {
        if (!error.isNotRun) throw error
        last = error
      }
    }
    if (last instanceof Error || last === undefined) throw last ?? new Error(`no answer within ${timeoutMs} ms`)
    return last
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
