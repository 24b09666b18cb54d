/**
 * Fault-injecting UDP proxy in front of one socket. It translates addresses:
 * each sender has its own socket towards the target, and replies to that socket
 * are forwarded to the sender. Senders are identified by address and port, so
 * one proxy can block single pairs of nodes.
 */
import dgram from 'node:dgram'
import { once } from 'node:events'
import { createRandom } from '@wisteriavalve/common'
import { allocateLoopbackHost } from '../net.js'

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
  /** Drops the datagrams of these senders and the replies to them. Replaces the previous list. */
  blockSenders: (senders: readonly UdpAddress[]) => void
  /** Drops all datagrams until called with false. */
  setPartitioned: (partitioned: boolean) => void
  datagramCount: () => number
  close: () => Promise<void>
}

const createSenderKey = (host: string, port: number): string => `${host}:${port}`

export const createUdpProxy = async (options: UdpProxyOptions): Promise<UdpProxy> => {
  const random = createRandom(options.seed ?? 1)
  const upstreams = new Map<string, dgram.Socket>()
  let blockedSenders: ReadonlySet<string> = new Set()
  let isPartitioned = false
  let delayMs = 0
  let lossShare = 0
  let datagramCount = 0
  let isClosed = false

  const shouldForward = (sender: string): boolean => !isPartitioned && !blockedSenders.has(sender) && !(lossShare > 0 && random.next() < lossShare)
  const send = (socket: dgram.Socket, bytes: Buffer, port: number, host: string): void => {
    const sendNow = (): void => { if (!isClosed) socket.send(bytes, port, host, () => {}) }
    if (delayMs > 0) setTimeout(sendNow, delayMs)
    else sendNow()
  }

  const frontSocket = dgram.createSocket('udp4')
  const openUpstream = (sender: string, senderHost: string, senderPort: number): dgram.Socket => {
    const upstream = dgram.createSocket('udp4')
    upstream.on('error', () => {})
    upstream.on('message', bytes => { if (shouldForward(sender)) send(frontSocket, bytes, senderPort, senderHost) })
    upstreams.set(sender, upstream)
    return upstream
  }
  frontSocket.on('message', (bytes, from) => {
    datagramCount++
    const sender = createSenderKey(from.address, from.port)
    if (!shouldForward(sender)) return
    send(upstreams.get(sender) ?? openUpstream(sender, from.address, from.port), bytes, options.targetPort, options.targetHost)
  })
  frontSocket.on('error', () => {})
  const host = options.host ?? allocateLoopbackHost()
  frontSocket.bind(options.port ?? 0, host)
  await once(frontSocket, 'listening')

  return {
    host,
    port: frontSocket.address().port,
    setDelayMs: next => { delayMs = next },
    setLoss: share => { lossShare = share },
    blockSenders: senders => { blockedSenders = new Set(senders.map(sender => createSenderKey(sender.host, sender.port))) },
    setPartitioned: next => { isPartitioned = next },
    datagramCount: () => datagramCount,
    close: async () => {
      isClosed = true
      for (const upstream of upstreams.values()) upstream.close()
      await new Promise<void>(resolve => { frontSocket.close(() => resolve()) })
    }
  }
}
