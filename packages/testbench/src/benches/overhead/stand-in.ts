/**
 * Backend server for the overhead bench as a process of its own. It answers at
 * once, so that the time of a request is the time of its way.
 */
import http from 'node:http'
import { listen } from '../../net.js'

const [host = '127.0.0.1', count = '1', answerBytes = '1024'] = process.argv.slice(2)
const body = Buffer.alloc(Number(answerBytes), 'x')

const answer: http.RequestListener = (request, response) => {
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
  const server = http.createServer(answer)
  server.keepAliveTimeout = 60_000
  return listen(server, host)
}))
process.send?.({ ports })
process.on('disconnect', () => process.exit(0))
