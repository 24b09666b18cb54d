/**
 * HTTP server of the admin address: tRPC for the command-line tool and
 * GET /metrics.
 */
import { createServer, type Server } from 'node:http'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { createAdminRouter, type AdminSource } from './admin-api.js'

export const createAdminServer = (source: AdminSource, metricsText: () => Promise<string>): Server => {
  const handleCall = createHTTPHandler({ router: createAdminRouter(source) })
  return createServer({ requestTimeout: 10_000 }, (req, res) => {
    if (req.url !== '/metrics') {
      handleCall(req, res)
      return
    }
    metricsText().then(
      text => res.writeHead(200, { 'content-type': 'text/plain; version=0.0.4; charset=utf-8' }).end(text),
      (error: unknown) => res.writeHead(500).end(String(error))
    )
  })
}
