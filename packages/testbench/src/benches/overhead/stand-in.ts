/**
 * Backend server of the overhead bench, in a separate process. It responds
 * immediately, so the latency of a request is that of its route.
 */
import http from 'node:http'
import { listen } from '../../net.js'

const [host = '127.0.0.1', count = '1', answerBytes = '1024'] = process.argv.slice(2)
const body = Buffer.alloc(Number(answerBytes), 'x')

const respond: http.RequestListener = (request, response) => {
  request.resume().on('end', () => {
    response.writeHead(200, {
      'content-type': 'application/octet-stream',
      'content-length': body.length,
      'cache-control': 'no-store',
      'endpoint-load-metrics': 'TEXT application_utilization=0.10,named_metrics.in_flight=1,named_metrics.slots=64'
    }).end(body)
  })
}

const ports = await Promise.all(Array.from({ length: Number(count) }, () => {
  const server = http.createServer(respond)
  server.keepAliveTimeout = 60_000
  return listen(server, host)
}))
process.send?.({ ports })
process.on('disconnect', () => process.exit(0))
