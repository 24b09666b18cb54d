/**
 * Guards against proxies that inject a different fault than requested: silence
 * that also affects new connections, a blocked direction that loses bytes of a
 * TCP connection, a partition that affects the wrong sender.
 */
import dgram from 'node:dgram'
import net from 'node:net'
import { once } from 'node:events'
import test from 'ava'
import { createTcpProxy, createUdpProxy, listen } from '../src/index.js'

const startEcho = async () => {
  const server = net.createServer(socket => { socket.on('error', () => {}).pipe(socket) })
  return { server, port: await listen(server, '127.0.0.1') }
}

const connect = async (address: { host: string, port: number }) => {
  const socket = net.connect(address)
  socket.on('error', () => {})
  await once(socket, 'connect')
  return socket
}

const echo = async (socket: net.Socket, text: string): Promise<string> => {
  socket.write(text)
  const [chunk] = await once(socket, 'data') as [Buffer]
  return chunk.toString()
}

const setUp = async (t: import('ava').ExecutionContext) => {
  const { server, port } = await startEcho()
  const proxy = await createTcpProxy({ targetHost: '127.0.0.1', targetPort: port })
  t.teardown(async () => { await proxy.close(); server.close() })
  return proxy
}

test('silence affects only the connections that are open', async t => {
  const proxy = await setUp(t)
  const old = await connect(proxy)
  t.is(await echo(old, 'a'), 'a')
  proxy.silence()
  let hasReceived = false
  old.once('data', () => { hasReceived = true })
  old.write('b')
  t.is(await echo(await connect(proxy), 'c'), 'c')
  t.false(hasReceived)
})

test('delayed bytes keep their order, also when the delay changes and timers are late', async t => {
  const proxy = await setUp(t)
  const socket = await connect(proxy)
  socket.setNoDelay(true)
  const numbers = Array.from({ length: 600 }, (_, index) => `${index} `)
  let received = ''
  socket.on('data', chunk => { received += String(chunk) })
  for (const [index, text] of numbers.entries()) {
    proxy.setDelayMs(index % 50 < 25 ? 0.4 : 0)
    socket.write(text)
    await new Promise(resolve => { setImmediate(resolve) })
  }
  proxy.setDelayMs(0)
  const sent = numbers.join('')
  while (received.length < sent.length) await once(socket, 'data')
  t.is(received, sent)
})

test('bytes held back in a blocked direction arrive when it is unblocked', async t => {
  const proxy = await setUp(t)
  const socket = await connect(proxy)
  await echo(socket, 'a')
  proxy.blockDirections(['to-caller'])
  const answer = echo(socket, 'b')
  t.is(await Promise.race([answer, new Promise(resolve => { setTimeout(resolve, 50, 'nothing') })]), 'nothing')
  proxy.blockDirections([])
  t.is(await answer, 'b')
})

test('a connection is reset after the given number of bytes', async t => {
  const proxy = await setUp(t)
  proxy.resetAfter('to-caller', 3)
  const socket = await connect(proxy)
  const closed = once(socket, 'close')
  t.is(await echo(socket, 'abcdef'), 'abc')
  await closed
  t.is(socket.bytesRead, 3)
})

test('a UDP proxy blocks single senders and forwards replies', async t => {
  const target = dgram.createSocket('udp4')
  target.on('message', (bytes, from) => target.send(bytes, from.port, from.address))
  target.bind(0, '127.0.0.1')
  await once(target, 'listening')
  const proxy = await createUdpProxy({ targetHost: '127.0.0.1', targetPort: target.address().port })
  const [one, two] = await Promise.all([1, 2].map(async () => {
    const socket = dgram.createSocket('udp4')
    socket.bind(0, '127.0.0.1')
    await once(socket, 'listening')
    return socket
  })) as [dgram.Socket, dgram.Socket]
  t.teardown(async () => { await proxy.close(); [target, one, two].forEach(socket => socket.close()) })
  proxy.blockSenders([{ host: '127.0.0.1', port: one.address().port }])
  let hasReceived = false
  one.on('message', () => { hasReceived = true })
  one.send('x', proxy.port, proxy.host)
  two.send('y', proxy.port, proxy.host)
  const [answer] = await once(two, 'message') as [Buffer]
  t.is(answer.toString(), 'y')
  t.false(hasReceived)
})

test('a proxy that does not listen resets its connections and refuses new ones, until it listens again', async t => {
  const proxy = await setUp(t)
  const old = await connect(proxy)
  const closed = new Promise(resolve => { old.once('close', resolve) })
  proxy.setListening(false)
  await closed
  const refused = net.connect(proxy)
  const [error] = await once(refused, 'error') as [NodeJS.ErrnoException]
  t.is(error.code, 'ECONNREFUSED')
  proxy.setListening(true)
  t.is(await echo(await connect(proxy), 'a'), 'a')
})
