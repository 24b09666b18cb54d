/**
 * Stand-ins for the scripts of the second review: the platform's store, targets, clients
 * and the start of nodes with the command of the deploy file. Only loopback addresses.
 */
import { spawn } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import http from 'node:http'
import net from 'node:net'
import { tmpdir } from 'node:os'
import { join, dirname } from 'node:path'
import { fileURLToPath } from 'node:url'

export const ROOT = dirname(dirname(fileURLToPath(import.meta.url)))
export const TROUBLE = process.env.TROUBLE !== '0'
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))
export const nowMs = () => performance.now()

/** Collects the lines of record.txt. */
export const createRecord = folder => {
  const startMs = nowMs()
  const lines = []
  return {
    add: (what, fields = {}) => lines.push(`${((nowMs() - startMs) / 1000).toFixed(3)} ${what} ${Object.entries(fields).map(([name, value]) => `${name}=${value}`).join(' ')}`),
    write: () => writeFileSync(join(folder, 'record.txt'), lines.join('\n') + '\n')
  }
}

export const PORTS = { front: 18_381, control: 18_382, directory: 18_383, ready: 18_388, internal: 17_200 }
/** The deploy file names the port of the metrics. */
export const METRICS_PORT = 9_464
const NODE_PORTS = [...Object.values(PORTS), PORTS.internal + 1, METRICS_PORT]

const isFree = (host, port) => new Promise(resolve => {
  const server = net.createServer()
  server.once('error', () => resolve(false))
  server.listen(port, host, () => server.close(() => resolve(true)))
})

let lastHost = 0
/** A loopback address of its own for each node, since all nodes use the same ports. All its ports are free. */
export const freeIp = async () => {
  for (let tries = 0; tries < 200; tries++) {
    lastHost++
    const ip = `127.${1 + (process.pid >> 8) % 200}.${1 + process.pid % 250}.${10 + lastHost}`
    const free = await Promise.all(NODE_PORTS.map(port => isFree(ip, port)))
    if (free.every(Boolean)) return ip
  }
  throw new Error('no free loopback address')
}

/** The platform's metadata store: ranges, watches and the era header. */
export const startStore = async () => {
  const items = new Map()
  const history = []
  const waiting = new Set()
  let revision = 1
  const send = (res, status, body) => res.writeHead(status, { 'content-type': 'application/json', 'store-era': '1' }).end(JSON.stringify(body))
  const server = http.createServer((req, res) => {
    req.resume()
    const url = new URL(req.url, 'http://store')
    const prefix = url.searchParams.get('path_prefix') ?? ''
    if (url.pathname === '/v1/kv-range') {
      const after = url.searchParams.get('after') ?? ''
      const found = [...items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((a, b) => a.key < b.key ? -1 : 1)
      send(res, 200, { items: found.slice(0, 500), truncated: found.length > 500, store_revision: revision })
    } else if (url.pathname === '/v1/kv-watch') {
      const after = Number(url.searchParams.get('after'))
      const matches = () => history.filter(event => event.revision > after && event.key.startsWith(prefix))
      const answer = () => {
        clearTimeout(timer)
        waiting.delete(check)
        send(res, 200, { events: matches(), store_revision: revision })
      }
      const check = () => { if (matches().length > 0) answer() }
      const timer = setTimeout(answer, Math.min(30_000, Number(url.searchParams.get('wait_ms'))))
      waiting.add(check)
      res.once('close', () => { clearTimeout(timer); waiting.delete(check) })
      check()
    } else if (items.has(url.searchParams.get('key'))) send(res, 200, { ...items.get(url.searchParams.get('key')), store_revision: revision })
    else send(res, 404, { store_revision: revision })
  })
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
  const append = event => {
    history.push(event)
    for (const check of [...waiting]) check()
  }
  return {
    address: `127.0.0.1:${server.address().port}`,
    put: (key, value) => {
      const event = { key, revision: ++revision, created: revision, lease: 0, value: Buffer.from(JSON.stringify(value)).toString('base64') }
      items.set(key, event)
      append(event)
    },
    remove: key => {
      items.delete(key)
      append({ key, revision: ++revision, tombstone: true })
    },
    close: () => { server.close(); server.closeAllConnections() }
  }
}

/**
 * A target. `respond` gets the request, and `headers()` with the usual headers of an answer. It answers
 * through `res`, or writes bytes to `req.socket` to break an answer off.
 */
export const startTarget = async ({ id, service, zone = 'a', slots = 6, respond }) => {
  let running = 0
  const load = () => `${running},0,${slots},100`
  const server = http.createServer({ keepAliveTimeout: 10_000 }, (req, res) => {
    if (req.url === '/health') {
      req.resume()
      res.writeHead(200, { 'Wisteriavalve-Instance-Id': id, 'Wisteriavalve-Server-Load': load(), 'Content-Length': 0 }).end()
      return
    }
    const chunks = []
    req.on('data', chunk => chunks.push(chunk))
    req.on('end', () => {
      if (req.headers['wisteriavalve-expect-instance'] !== id) {
        res.writeHead(421, { 'Wisteriavalve-Not-Executed': '1', 'Content-Length': 0 }).end()
        return
      }
      const requestId = req.headers['wisteriavalve-request-id']
      running++
      res.once('close', () => { running-- })
      const headers = () => ({ 'Wisteriavalve-Request-Id': requestId, 'Wisteriavalve-Response-Stamp': `stamp.${id}.${requestId}`, 'Wisteriavalve-Server-Load': load() })
      respond({ req, res, requestId, body: Buffer.concat(chunks), headers })
    })
    req.on('error', () => {})
    res.on('error', () => {})
  })
  server.maxHeadersCount = 0
  server.on('clientError', (_error, socket) => socket.destroy())
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${server.address().port}`
  return {
    id,
    address,
    entry: (fields = {}) => ({ service, address, zone, version: 'v1', slots, state: 'ready', warmup_left: '0ms', sequence: 1, ...fields }),
    close: () => { server.close(); server.closeAllConnections() }
  }
}

/** Text of an answer's head, for answers that are written to the socket. */
export const headText = (status, headers) => `HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? ''}\r\n${Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`

const settings = ({ ip, ports, zone, seeds, store, graceS }) => `
node_name = "front-${zone}-${ip}"
role = "node"
node_class = "front"
serves = ["front","control","directory"]
ip = "${ip}"
zone = "${zone}"
region = "r"
internal_ports = [${ports.internal}, ${ports.internal + 15}]
seeds = [${seeds.map(seed => `"${seed}:${ports.control}"`).join(',')}]
first_start = true
heartbeat = "1500ms"
[zones]
a = "r"
b = "r"
c = "r"
[listen]
front_http = "${ip}:${ports.front}"
ready = "${ip}:${ports.ready}"
control = "${ip}:${ports.control}"
directory = "${ip}:${ports.directory}"
[bounds]
stable_window = "3000ms"
drain = "2000ms"
grace = "${graceS}s"
loss_slack = "200ms"
config_apply = "2000ms"
retry_budget_ratio = 0.2
budget_window = "10s"
budget_extra = 80
probes_per_s = 60
[provider]
address = "${store}"
form = "read"
reads_per_s = 2000
history = "20s"
value_bytes = 1048576
`

const children = new Set()
const endChildren = () => { for (const child of children) child.kill('SIGKILL') }
process.once('exit', endChildren)
for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => process.exit(2))

/** Starts the program of the deploy file, in the root of the repository. */
export const startNode = ({ ip, zone = 'a', seeds = [], store, graceS = 6, record }) => {
  const folder = mkdtempSync(join(tmpdir(), 'review-node-'))
  const path = join(folder, 'settings.toml')
  writeFileSync(path, settings({ ip, ports: PORTS, zone, seeds, store, graceS }))
  const child = spawn(process.execPath, ['target/start.cjs'], {
    cwd: ROOT,
    env: { PATH: process.env.PATH, HOME: process.env.HOME ?? '/tmp', LANG: 'C', WISTERIAVALVE_BOOT: path, WISTERIAVALVE_FLEET_KEY: 'replace-this-secret' },
    stdio: ['ignore', 'pipe', 'pipe']
  })
  children.add(child)
  const lines = []
  const onText = text => lines.push(...String(text).split('\n').filter(Boolean))
  child.stdout.on('data', onText)
  child.stderr.on('data', onText)
  const exited = new Promise(resolve => child.once('exit', (code, signal) => {
    children.delete(child)
    rmSync(folder, { recursive: true, force: true })
    record?.add('node ended', { ip, pid: child.pid, code, signal })
    resolve({ code, signal })
  }))
  record?.add('node started', { ip, pid: child.pid })
  return { ip, child, lines, exited, hasExited: () => child.exitCode !== null || child.signalCode !== null }
}

export const get = (host, port, path, timeoutMs = 1000) => new Promise((resolve, reject) => {
  const req = http.get({ host, port, path, agent: false, timeout: timeoutMs }, res => {
    let body = ''
    res.on('data', chunk => { body += chunk })
    res.on('end', () => resolve({ status: res.statusCode, body }))
    res.on('error', reject)
  })
  req.on('timeout', () => req.destroy(new Error('timeout')))
  req.on('error', reject)
})

export const isReady = ip => get(ip, PORTS.ready, '/v1/ready').then(({ status }) => status === 200, () => false)

export const waitReady = async (nodes, timeoutMs = 20_000) => {
  const endMs = nowMs() + timeoutMs
  for (const { ip } of nodes) {
    while (!await isReady(ip)) {
      if (nowMs() > endMs) throw new Error(`the node ${ip} is not ready`)
      await sleep(50)
    }
  }
}

export const route = (fields) => ({ name: 'read', host: 'h.example', path_prefix: '/read/', type: 'safe', timeout: '1000ms', slo_latency: '300ms', priority: 2, service: 'registry', max_attempts: 2, ...fields })

export const configuration = ({ version = 4, routes, services = ['registry'], limits = {} }) => ({
  version: `r${version}`,
  routes,
  services: services.map(name => ({ name, health_path: '/health', max_conns: 320, protocol: 'h1', tls: false })),
  limits: { max_header_bytes: 16_384, max_body_bytes: 1_000_000, header_timeout: '3000ms', idle_timeout: '15000ms', ...limits }
})

let idCount = 0
const ID_BASE = process.pid.toString(16).padStart(6, '0')
export const nextId = () => ID_BASE + (++idCount).toString(16).padStart(10, '0')

/**
 * Reads answers from a connection one after the other.
 * `onAnswer` gets { status, headers, body, isWhole }; `onBytes` is called with bytes that are no answer.
 */
export const createAnswerReader = ({ onAnswer, onNoAnswer = () => {} }) => {
  let text = ''
  let hasStopped = false
  const parse = isEnd => {
    while (!hasStopped && text.length > 0) {
      const headEnd = text.indexOf('\r\n\r\n')
      if (headEnd < 0) return
      const [start, ...rest] = text.slice(0, headEnd).split('\r\n')
      const match = /^HTTP\/1\.1 (\d{3})/.exec(start)
      if (!match) {
        hasStopped = true
        onNoAnswer(text)
        return
      }
      const headers = Object.fromEntries(rest.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
      const status = Number(match[1])
      const bodyStart = headEnd + 4
      if (status < 200) { text = text.slice(bodyStart); continue }
      let body
      let next
      if (status === 204 || status === 304) { body = ''; next = bodyStart } else if (/chunked/i.test(headers['transfer-encoding'] ?? '')) {
        let at = bodyStart
        body = ''
        for (;;) {
          const lineEnd = text.indexOf('\r\n', at)
          if (lineEnd < 0) return
          const size = parseInt(text.slice(at, lineEnd), 16)
          if (text.length < lineEnd + 2 + size + 2) return
          body += text.slice(lineEnd + 2, lineEnd + 2 + size)
          at = lineEnd + 2 + size + 2
          if (size === 0) break
        }
        next = at
      } else {
        const size = Number(headers['content-length'] ?? 0)
        if (text.length < bodyStart + size) return
        body = text.slice(bodyStart, bodyStart + size)
        next = bodyStart + size
      }
      text = text.slice(next)
      onAnswer({ status, headers, body })
    }
  }
  return { add: chunk => { text += chunk.toString('latin1'); parse(false) }, rest: () => text }
}

export const requestText = ({ method = 'GET', path, id, deadlineMs, body, headers = '' }) =>
  `${method} ${path} HTTP/1.1\r\nHost: h.example\r\nWisteriavalve-Request-Id: ${id}\r\nWisteriavalve-Deadline-Ms: ${deadlineMs}\r\n${headers}${body === undefined ? '' : `Content-Length: ${body.length}\r\n`}\r\n${body ?? ''}`
