/**
 * UDP socket for gossip datagrams.
 */
import { createSocket } from 'node:dgram'
import type { GossipAddress } from '@wisteriavalve/fleet'
import type { ListenAddress } from '../types.js'

export type GossipSocket = {
  port: number
  send: (bytes: Uint8Array, to: GossipAddress) => void
  close: () => Promise<void>
}

export type OpenGossipSocket = (listen: ListenAddress, onDatagram: (bytes: Uint8Array, from: GossipAddress) => void) => Promise<GossipSocket>

/** @throws the system's error when the address cannot be bound */
export const openGossipSocket: OpenGossipSocket = async (listen, onDatagram) => {
  const socket = createSocket(listen.host.includes(':') ? 'udp6' : 'udp4')
  await new Promise<void>((resolve, reject) => {
    socket.once('error', reject)
    socket.bind(listen.port, listen.host, () => {
      socket.off('error', reject)
      resolve()
    })
  })
  // Socket errors are ignored: datagrams can be lost at any time, and failure detection covers lasting faults.
  socket.on('error', () => {})
  socket.on('message', (bytes, from) => onDatagram(bytes, { host: from.address, gossipPort: from.port }))
  return {
    port: socket.address().port,
    send: (bytes, to) => socket.send(bytes, to.gossipPort, to.host, () => {}),
    close: () => new Promise(resolve => { socket.close(() => resolve()) })
  }
}
