/**
 * HTTP server with a switchable outage, shared by the test doubles of the
 * platform's services.
 */
import http from 'node:http'
import { resetSocket } from '@wisteriavalve/common'
import { closeServer, listen, allocateLoopbackHost } from '../net.js'

/** refuse: connections are reset; hang: requests are accepted and get no response. */
export type Outage = 'none' | 'refuse' | 'hang'

export type HttpDouble = {
  url: string
  host: string
  port: number
  setOutage: (outage: Outage) => void
  close: () => Promise<void>
}

export const createHttpDouble = async (handle: http.RequestListener): Promise<HttpDouble> => {
  let outage: Outage = 'none'
  const server = http.createServer((request, response) => {
    if (outage === 'none') handle(request, response)
    else if (outage === 'refuse') request.socket.destroy()
  })
  server.keepAliveTimeout = 60_000
  server.on('connection', socket => { if (outage === 'refuse') resetSocket(socket) })
  const host = allocateLoopbackHost()
  const port = await listen(server, host)

  const setOutage = (next: Outage): void => {
    // Requests received during `hang` never get a response. Closing their connections lets the clients detect the end of the outage.
    if (next !== outage) server.closeAllConnections()
    outage = next
  }
  const close = (): Promise<void> => {
    const closed = closeServer(server)
    server.closeAllConnections()
    return closed
  }
  return { url: `http://${host}:${port}`, host, port, setOutage, close }
}
