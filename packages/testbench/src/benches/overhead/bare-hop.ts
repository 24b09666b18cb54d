/**
 * Minimal proxy of node:http and undici. It forwards requests round-robin without
 * the decisions and checks of the daemon, and shows the lowest cost of a hop.
 */
import http from 'node:http'
import { Pool } from 'undici'
import { listen } from '../../net.js'

const [host = '127.0.0.1', ...origins] = process.argv.slice(2)
const pools = origins.map(origin => new Pool(origin, { connections: 12, pipelining: 1 }))
let next = 0

const server = http.createServer((request, response) => {
  const pool = pools[next++ % pools.length] as Pool
  const { host: _host, connection: _connection, ...headers } = request.headers
  const hasBody = request.headers['content-length'] !== undefined
  pool.dispatch({ method: request.method as 'GET', path: request.url ?? '/', headers, body: hasBody ? request : null }, {
    onConnect: () => undefined,
    onHeaders: (status, raw) => {
      response.writeHead(status, raw.map(item => item.toString('latin1')).filter((_, index, all) => !/^(connection|keep-alive)$/i.test(all[index - index % 2] as string)))
      return true
    },
    onData: chunk => response.write(chunk),
    onComplete: () => { response.end() },
    onError: () => { response.destroy() }
  })
})
server.keepAliveTimeout = 60_000
const port = await listen(server, host)
process.send?.({ ports: [port] })
process.on('disconnect', () => process.exit(0))
