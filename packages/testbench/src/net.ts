/**
 * Loopback addresses and listening sockets. Each test process uses its own
 * 127.x network, which avoids conflicts between test runs on one machine.
 */
import dgram from 'node:dgram'
import net from 'node:net'
import { once } from 'node:events'

const HOSTS_PER_NETWORK = 250
let hostCount = 0

/** A loopback address that no other process of this machine is likely to use. */
export const allocateLoopbackHost = (): string => {
  const number = hostCount++
  const network = 16 + process.pid % 200
  const subnet = (Math.floor(process.pid / 200) + Math.floor(number / HOSTS_PER_NETWORK)) % 256
  return `127.${network}.${subnet}.${1 + number % HOSTS_PER_NETWORK}`
}

/** @returns the port */
export const listen = async (server: net.Server, host: string, port = 0): Promise<number> => {
  server.listen(port, host)
  await once(server, 'listening')
  return (server.address() as net.AddressInfo).port
}

/** Closes a server. Resolves immediately when it is already closed. */
export const closeServer = (server: net.Server): Promise<void> =>
  new Promise(resolve => { server.close(() => resolve()) })

/** A port that no other socket can bind until it is released. */
export type ReservedPort = { port: number, release: () => Promise<void> }

export const reserveTcpPort = async (host: string): Promise<ReservedPort> => {
  const server = net.createServer()
  const port = await listen(server, host)
  return { port, release: () => closeServer(server) }
}

export const reserveUdpPort = async (host: string): Promise<ReservedPort> => {
  const socket = dgram.createSocket('udp4')
  socket.bind(0, host)
  await once(socket, 'listening')
  const { port } = socket.address()
  return { port, release: () => new Promise(resolve => { socket.close(() => resolve()) }) }
}
