/**
 * HTTP server with a switchable outage, common to the test doubles of the
 * platform's services.
 */
import http from 'node:http'
import { resetSocket } from '@wisteriavalve/common'
import { closeServer, listen, takeLoopbackHost } from '../net.js'

/** refuse: connections are reset; hang: requests are accepted and never answered. */
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
  const host = takeLoopbackHost()
  const port = await listen(server, host)

  const setOutage = (next: Outage): void => {
    // Requests that hung stay unanswered for good; closing makes their readers notice the end of the outage.
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
