/**
 * Fault-injecting UDP proxy in front of one socket. It translates addresses:
 * each sender gets a socket of its own towards the target, so answers to the
 * datagram's source find their way back. Senders are told apart by address
 * and port, so one proxy can cut single pairs of nodes.
 */
import dgram from 'node:dgram'
import { once } from 'node:events'
import { createRandom } from '@wisteriavalve/common'
import { takeLoopbackHost } from '../net.js'

export type UdpAddress = { host: string, port: number }

export type UdpProxyOptions = {
  targetHost: string
  targetPort: number
  host?: string
  port?: number
  seed?: number
}

export type UdpProxy = {
  host: string
  port: number
  setDelayMs: (delayMs: number) => void
  /** Share of datagrams that are dropped. */
  setLoss: (share: number) => void
  /** Drops the datagrams of these senders and the answers to them; replaces the previous list. */
  cutSenders: (senders: readonly UdpAddress[]) => void
  /** Drops everything until called with false. */
  partition: (partitioned: boolean) => void
  datagramCount: () => number
  close: () => Promise<void>
}

const nameOf = (host: string, port: number): string => `${host}:${port}`

export const createUdpProxy = async (options: UdpProxyOptions): Promise<UdpProxy> => {
  const random = createRandom(options.seed ?? 1)
  const upstreams = new Map<string, dgram.Socket>()
  let cut: ReadonlySet<string> = new Set()
  let partitioned = false
  let delayMs = 0
  let loss = 0
  let datagramCount = 0
  let closed = false

  const passes = (sender: string): boolean => !partitioned && !cut.has(sender) && !(loss > 0 && random.next() < loss)
  const send = (socket: dgram.Socket, bytes: Buffer, port: number, host: string): void => {
    const run = (): void => { if (!closed) socket.send(bytes, port, host, () => {}) }
    if (delayMs > 0) setTimeout(run, delayMs)
    else run()
  }

  const front = dgram.createSocket('udp4')
  const openUpstream = (sender: string, senderHost: string, senderPort: number): dgram.Socket => {
    const upstream = dgram.createSocket('udp4')
    upstream.on('error', () => {})
    upstream.on('message', bytes => { if (passes(sender)) send(front, bytes, senderPort, senderHost) })
    upstreams.set(sender, upstream)
    return upstream
  }
  front.on('message', (bytes, from) => {
    datagramCount++
    const sender = nameOf(from.address, from.port)
    if (!passes(sender)) return
    send(upstreams.get(sender) ?? openUpstream(sender, from.address, from.port), bytes, options.targetPort, options.targetHost)
  })
  front.on('error', () => {})
  const host = options.host ?? takeLoopbackHost()
  front.bind(options.port ?? 0, host)
  await once(front, 'listening')

  return {
    host,
    port: front.address().port,
    setDelayMs: next => { delayMs = next },
    setLoss: share => { loss = share },
    cutSenders: senders => { cut = new Set(senders.map(sender => nameOf(sender.host, sender.port))) },
    partition: next => { partitioned = next },
    datagramCount: () => datagramCount,
    close: async () => {
      closed = true
      for (const upstream of upstreams.values()) upstream.close()
      await new Promise<void>(resolve => { front.close(() => resolve()) })
    }
  }
}
