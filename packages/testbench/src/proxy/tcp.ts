/**
 * Fault-injecting TCP proxy. A fault applies from the call on, to open and to new
 * connections. `silence` is the exception: it affects only the connections that
 * are open at that time.
 */
import net from 'node:net'
import { createRandom, resetSocket } from '@wisteriavalve/common'
import { closeServer, listen, allocateLoopbackHost } from '../net.js'

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
  /** Share of chunks after which a connection stalls for 200 ms, as after a lost segment. */
  setLoss: (share: number) => void
  /** Holds back all bytes in the given directions, as TCP does during a network outage. An empty list ends the fault. */
  blockDirections: (directions: readonly Direction[]) => void
  /** Resets open and new connections until called with false. */
  setPartitioned: (partitioned: boolean) => void
  /** Resets open connections and refuses new ones until called with true, as the port of a process that has ended does. */
  setListening: (isListening: boolean) => void
  /** Forwards no further bytes on the connections that are open now; new ones work. */
  silence: () => void
  /** Resets every open connection. */
  resetAll: () => void
  /** Resets each connection after this many bytes in this direction; undefined ends the fault. */
  resetAfter: (direction: Direction, bytes: number | undefined) => void
  connectionCount: () => number
  close: () => Promise<void>
}

type ProxiedConnection = {
  caller: net.Socket
  server: net.Socket
  isSilent: boolean
  sentBytes: Record<Direction, number>
  /** Steps held back while their direction is blocked. */
  pendingSteps: Record<Direction, (() => void)[]>
}

const DIRECTIONS: readonly Direction[] = ['to-server', 'to-caller']
const LOSS_STALL_MS = 200

export const createTcpProxy = async (options: TcpProxyOptions): Promise<TcpProxy> => {
  const random = createRandom(options.seed ?? 1)
  const connections = new Set<ProxiedConnection>()
  const blockedDirections = new Set<Direction>()
  let delayMs = 0
  let lossShare = 0
  let isPartitioned = false
  let resetLimit: { direction: Direction, bytes: number } | undefined

  const reset = (connection: ProxiedConnection): void => {
    connections.delete(connection)
    resetSocket(connection.caller)
    resetSocket(connection.server)
  }

  /** Bytes that can still be forwarded before the connection is reset; undefined without a limit. */
  const remainingBytes = (connection: ProxiedConnection, direction: Direction): number | undefined =>
    resetLimit?.direction === direction ? Math.max(0, resetLimit.bytes - connection.sentBytes[direction]) : undefined

  /** Runs a step of one direction of a connection now, or when the direction is no longer blocked. */
  const runOrHold = (connection: ProxiedConnection, direction: Direction, step: () => void): void => {
    if (connection.isSilent) return
    if (blockedDirections.has(direction)) connection.pendingSteps[direction].push(step)
    else step()
  }

  const relay = (connection: ProxiedConnection, direction: Direction, from: net.Socket, to: net.Socket): void => {
    let nextStepMs = 0
    const delayedSteps: { dueMs: number, step: () => void }[] = []
    /** Runs the steps that are due. Those that are not, and those behind them, stay in their order. */
    const runDueSteps = (): void => {
      const nowMs = performance.now()
      while (delayedSteps[0] && delayedSteps[0].dueMs <= nowMs) runOrHold(connection, direction, (delayedSteps.shift() as typeof delayedSteps[0]).step)
      if (delayedSteps[0]) setTimeout(runDueSteps, delayedSteps[0].dueMs - nowMs)
    }
    const scheduleStep = (step: () => void): void => {
      const stallMs = lossShare > 0 && random.next() < lossShare ? LOSS_STALL_MS : 0
      nextStepMs = Math.max(nextStepMs, performance.now() + delayMs + stallMs)
      delayedSteps.push({ dueMs: nextStepMs, step })
      // Otherwise a timer is set already.
      if (delayedSteps.length === 1) runDueSteps()
    }
    const forward = (chunk: Buffer): void => {
      if (to.destroyed) return
      const allowedBytes = remainingBytes(connection, direction)
      const forwardedChunk = allowedBytes === undefined ? chunk : chunk.subarray(0, allowedBytes)
      connection.sentBytes[direction] += forwardedChunk.length
      if (forwardedChunk.length > 0 && !to.write(forwardedChunk)) {
        from.pause()
        to.once('drain', () => from.resume())
      }
      if (allowedBytes !== undefined && chunk.length >= allowedBytes) to.write('', () => reset(connection))
    }
    from.on('data', (chunk: Buffer) => scheduleStep(() => forward(chunk)))
    from.on('end', () => scheduleStep(() => to.end()))
    from.on('error', () => runOrHold(connection, direction, () => { resetSocket(to) }))
    from.on('close', () => scheduleStep(() => {
      connections.delete(connection)
      to.destroySoon()
    }))
  }

  const acceptConnection = (caller: net.Socket): void => {
    if (isPartitioned) {
      resetSocket(caller)
      return
    }
    const server = net.connect({ host: options.targetHost, port: options.targetPort, allowHalfOpen: true })
    const connection: ProxiedConnection = {
      caller, server, isSilent: false, sentBytes: { 'to-server': 0, 'to-caller': 0 }, pendingSteps: { 'to-server': [], 'to-caller': [] }
    }
    connections.add(connection)
    caller.setNoDelay(true)
    server.setNoDelay(true)
    relay(connection, 'to-server', caller, server)
    relay(connection, 'to-caller', server, caller)
  }

  const server = net.createServer({ allowHalfOpen: true }, acceptConnection)
  const host = options.host ?? allocateLoopbackHost()
  const port = await listen(server, host, options.port)
  const resetAll = (): void => { for (const connection of [...connections]) reset(connection) }

  return {
    host,
    port,
    setDelayMs: next => { delayMs = next },
    setLoss: share => { lossShare = share },
    blockDirections: directions => {
      blockedDirections.clear()
      directions.forEach(direction => blockedDirections.add(direction))
      for (const connection of [...connections]) {
        for (const direction of DIRECTIONS.filter(each => !blockedDirections.has(each))) {
          for (const step of connection.pendingSteps[direction].splice(0)) step()
        }
      }
    },
    setPartitioned: next => {
      isPartitioned = next
      if (isPartitioned) resetAll()
    },
    setListening: isListening => {
      if (isListening && !server.listening) server.listen(port, host)
      else if (!isListening && server.listening) server.close()
      if (!isListening) resetAll()
    },
    silence: () => { for (const connection of connections) connection.isSilent = true },
    resetAll,
    resetAfter: (direction, bytes) => { resetLimit = bytes === undefined ? undefined : { direction, bytes } },
    connectionCount: () => connections.size,
    close: async () => {
      const closed = closeServer(server)
      resetAll()
      await closed
    }
  }
}
