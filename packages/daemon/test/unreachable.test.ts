/**
 * Guards against requests that miss their deadline while they wait for a
 * connection to a VM that sends no packets at all, as after the loss of a rack.
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { connect } from 'node:net'
import test, { type ExecutionContext } from 'ava'
import { call, createKind, createService, startBackend, startDaemon } from './support.js'
import './exit.js'

const QUEUE_FILL_CONNECTIONS = 8

const LISTEN_AND_STOP = `
const server = require('node:net').createServer()
server.listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => {
  require('node:fs').writeSync(1, server.address().port + '\\n')
  process.kill(process.pid, 'SIGSTOP')
})`

/** Returns the port of a stopped process with a full accept queue. The kernel drops each further SYN to it. */
const startUnreachableTarget = async (t: ExecutionContext): Promise<number> => {
  const child = spawn(process.execPath, ['-e', LISTEN_AND_STOP], { stdio: ['ignore', 'pipe', 'inherit'] })
  t.teardown(() => { child.kill('SIGKILL') })
  const [line] = await once(child.stdout, 'data') as [Buffer]
  const port = Number(line.toString())
  for (let count = 0; count < QUEUE_FILL_CONNECTIONS; count++) {
    const socket = connect({ port, host: '127.0.0.1' }).on('error', () => undefined)
    t.teardown(() => { socket.destroy() })
  }
  return port
}

test('no idempotent request misses its deadline because of a target that does not answer connection attempts', async t => {
  const unreachable = await startUnreachableTarget(t)
  const alive = await startBackend((_req, res) => res.end('ok'))
  const daemon = await startDaemon([createService([unreachable, alive], { kinds: [createKind({ deadlineMs: 400 })] })])
  const bodies = []
  for (let count = 0; count < 12; count++) bodies.push((await call(daemon.port)).body)
  t.deepEqual(bodies, Array(12).fill('ok'))
})
