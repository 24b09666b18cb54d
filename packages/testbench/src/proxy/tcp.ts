/**
 * Fault-injecting TCP proxy. Faults apply from the call on and to both new
 * and open connections, except for `silence`, which by definition hits only
 * the connections that are open at that time.
 */
import net from 'node:net'
import { createRandom, resetSocket } from '@wisteriavalve/common'
import { closeServer, listen, takeLoopbackHost } from '../net.js'

export type Direction = 'to-server' | 'to-caller'

export type TcpProxyOptions = {
  targetHost: string
  targetPort: number
  host?: string
  port?: number
  seed?: number
}

export type TcpProxy = {
  host: string
  port: number
  /** One-way delay of each chunk. */
  setDelayMs: (delayMs: number) => void
  /** Share of chunks after which a connection stalls for 200 ms, as a lost segment makes it. */
  setLoss: (share: number) => void
  /** Holds back all bytes of the given directions, as TCP does while the network is cut; an empty list heals. */
  cut: (directions: readonly Direction[]) => void
  /** Refuses new connections and resets the open ones until called with false. */
  partition: (partitioned: boolean) => void
  /** Connections that are open now never carry another byte; new ones work. */
  silence: () => void
  /** Resets every open connection. */
  resetAll: () => void
  /** Resets each connection once this many bytes went in this direction; undefined ends it. */
  resetAfter: (direction: Direction, bytes: number | undefined) => void
  connectionCount: () => number
  close: () => Promise<void>
}

type Link = {
  caller: net.Socket
  server: net.Socket
  silent: boolean
  sent: Record<Direction, number>
  /** What waits for the end of a cut. */
  held: Record<Direction, (() => void)[]>
}

const DIRECTIONS: readonly Direction[] = ['to-server', 'to-caller']
const LOSS_STALL_MS = 200

export const createTcpProxy = async (options: TcpProxyOptions): Promise<TcpProxy> => {
  const random = createRandom(options.seed ?? 1)
  const links = new Set<Link>()
  const cutDirections = new Set<Direction>()
  let delayMs = 0
  let loss = 0
  let partitioned = false
  let resetLimit: { direction: Direction, bytes: number } | undefined

  const reset = (link: Link): void => {
    links.delete(link)
    resetSocket(link.caller)
    resetSocket(link.server)
  }

  /** Bytes that may still pass before the connection is reset; undefined without a limit. */
  const remaining = (link: Link, direction: Direction): number | undefined =>
    resetLimit?.direction === direction ? Math.max(0, resetLimit.bytes - link.sent[direction]) : undefined

  /** Runs a step of one direction of a connection now, or after the cut. */
  const pass = (link: Link, direction: Direction, step: () => void): void => {
    if (link.silent) return
    if (cutDirections.has(direction)) link.held[direction].push(step)
    else step()
  }

  const carry = (link: Link, direction: Direction, from: net.Socket, to: net.Socket): void => {
    let readyMs = 0
    const later = (step: () => void): void => {
      const nowMs = performance.now()
      const stallMs = loss > 0 && random.next() < loss ? LOSS_STALL_MS : 0
      readyMs = Math.max(readyMs, nowMs + delayMs + stallMs)
      if (readyMs <= nowMs) pass(link, direction, step)
      else setTimeout(() => pass(link, direction, step), readyMs - nowMs)
    }
    const forward = (chunk: Buffer): void => {
      if (to.destroyed) return
      const allowed = remaining(link, direction)
      const passed = allowed === undefined ? chunk : chunk.subarray(0, allowed)
      link.sent[direction] += passed.length
      if (passed.length > 0 && !to.write(passed)) {
        from.pause()
        to.once('drain', () => from.resume())
      }
      if (allowed !== undefined && chunk.length >= allowed) to.write('', () => reset(link))
    }
    from.on('data', (chunk: Buffer) => later(() => forward(chunk)))
    from.on('end', () => later(() => to.end()))
    from.on('error', () => pass(link, direction, () => { resetSocket(to) }))
    from.on('close', () => later(() => {
      links.delete(link)
      to.destroySoon()
    }))
  }

  const accept = (caller: net.Socket): void => {
    if (partitioned) {
      resetSocket(caller)
      return
    }
    const server = net.connect({ host: options.targetHost, port: options.targetPort, allowHalfOpen: true })
    const link: Link = {
      caller, server, silent: false, sent: { 'to-server': 0, 'to-caller': 0 }, held: { 'to-server': [], 'to-caller': [] }
    }
    links.add(link)
    caller.setNoDelay(true)
    server.setNoDelay(true)
    carry(link, 'to-server', caller, server)
    carry(link, 'to-caller', server, caller)
  }

  const server = net.createServer({ allowHalfOpen: true }, accept)
  const host = options.host ?? takeLoopbackHost()
  const port = await listen(server, host, options.port)
  const resetAll = (): void => { for (const link of [...links]) reset(link) }

  return {
    host,
    port,
    setDelayMs: next => { delayMs = next },
    setLoss: share => { loss = share },
    cut: directions => {
      cutDirections.clear()
      directions.forEach(direction => cutDirections.add(direction))
      for (const link of [...links]) {
        for (const direction of DIRECTIONS.filter(each => !cutDirections.has(each))) {
          for (const step of link.held[direction].splice(0)) step()
        }
      }
    },
    partition: next => {
      partitioned = next
      if (partitioned) resetAll()
    },
    silence: () => { for (const link of links) link.silent = true },
    resetAll,
    resetAfter: (direction, bytes) => { resetLimit = bytes === undefined ? undefined : { direction, bytes } },
    connectionCount: () => links.size,
    close: async () => {
      const closed = closeServer(server)
      resetAll()
      await closed
    }
  }
}
