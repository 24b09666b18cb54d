/**
 * Guards against a target that ends its connection behind a response while the
 * node has stopped reading, because the caller is slower: the process must not
 * end, and the response must be complete.
 */
import test from 'ava'
import { openBackendSocket, sendRequest, type BackendSocket } from '../src/adapters/backend-http.js'
import { startRawBackend } from './support.js'
import './exit.js'

const BODY = 'the whole body'
/** The connection ends while reading is paused, and reading continues after that. */
const END_AFTER_MS = 20
const RESUME_AFTER_MS = 60

const HEADS = {
  'a length': `HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: ${BODY.length}\r\n\r\n`,
  'no length': 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n'
}

for (const [name, head] of Object.entries(HEADS)) {
  test.serial(`a response with ${name} whose connection ends while reading is paused is complete`, async t => {
    const port = await startRawBackend(socket => {
      socket.write(head + BODY)
      setTimeout(() => socket.end(), END_AFTER_MS)
    })
    const opened = await new Promise<BackendSocket>((resolve, reject) => { openBackendSocket({ host: '127.0.0.1', port }, resolve, message => reject(new Error(message))) })
    let body = ''
    await new Promise<void>((resolve, reject) => {
      const outgoing = sendRequest(opened, { method: 'GET', path: '/shop/x', headers: [], body: null, allowsEndByClose: true }, {
        canWrite: () => true,
        onWritten: () => undefined,
        onBodyProgress: () => undefined,
        onHead: () => undefined,
        onData: chunk => {
          body += chunk.toString()
          setTimeout(() => outgoing.resume(), RESUME_AFTER_MS)
          return false
        },
        onEnd: () => resolve(),
        onFailure: ({ kind, message }) => reject(new Error(`${kind}: ${message}`))
      })
    })
    t.is(body, BODY)
  })
}
