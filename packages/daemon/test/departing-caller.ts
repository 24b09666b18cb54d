/**
 * A caller in a process of its own that sends a request on an open connection
 * when it is told to, and leaves shortly after. Arguments: port, time to leave in ms.
 */
import { connect } from 'node:net'

const [port, leaveAfterMs] = process.argv.slice(2).map(Number)
const socket = connect({ host: '127.0.0.1', port: port as number }, () => process.send?.('connected'))
socket.on('error', () => undefined)

process.on('message', (path: string) => {
  socket.write(`GET ${path} HTTP/1.1\r\nhost: a\r\nx-request-timeout-ms: ${leaveAfterMs}\r\n\r\n`)
  setTimeout(() => {
    socket.destroy()
    process.disconnect()
  }, leaveAfterMs)
})
