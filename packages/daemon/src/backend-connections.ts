/**
 * Connections to one target. A request waits here for a connection and is
 * never attached to one that is still opening, so taking a request out of the
 * queue is enough to be sure that it is not sent.
 */
import type { Clock } from '@wisteriavalve/common'
import { chooseConnection, findSilentConnections, type ConnectionChoice, type ConnectionView } from '@wisteriavalve/policy'
import type { Target } from '@wisteriavalve/schema'
import { CLOSED, closeBackendSocket, openBackendSocket, type BackendSocket } from './adapters/backend-http.js'

export type BackendConnection = ConnectionView & BackendSocket & {
  isClosed: boolean
  /** Tells the request on the connection that the connection was retired. */
  onSilent?: () => void
  /** True while the request waits for its caller, so that a pause says nothing about the connection. */
  isHeldByCaller?: () => boolean
}

export type ConnectionWaiter = {
  idempotent: boolean
  /** When given, only a connection that was opened or answered after this time is used. */
  provenSinceMs?: number
  /** Called once with a connection that is marked as busy. */
  use: (connection: BackendConnection) => void
  /** Called instead when no connection could be opened. */
  fail: (message: string) => void
}

export type TargetConnections = {
  target: Target
  acquire: (waiter: ConnectionWaiter) => void
  cancel: (waiter: ConnectionWaiter) => void
  /** Takes back a connection after a complete response. */
  release: (connection: BackendConnection) => void
  discard: (connection: BackendConnection) => void
  closeIdle: () => void
  /** Retires connections that went silent; returns them. */
  retireSilent: (firstByteP99Ms: number | undefined) => BackendConnection[]
  count: () => number
  busyCount: () => number
  /** Notes that the target repeats the ids of requests; from then on it is expected to. */
  noteEcho: () => void
  repeatsIds: () => boolean
}

export type TargetConnectionsOptions = {
  target: Target
  /** Most connections that this node holds to the target. */
  share: () => number
  clock: Clock
  nextId: () => number
}

export const createTargetConnections = ({ target, share, clock, nextId }: TargetConnectionsOptions): TargetConnections => {
  const connections: BackendConnection[] = []
  const waiters: ConnectionWaiter[] = []
  let openingCount = 0
  let hasEchoed = false

  const remove = (connection: BackendConnection): void => {
    if (connection.isClosed) return
    connection.isClosed = true
    connections.splice(connections.indexOf(connection), 1)
  }

  const discard = (connection: BackendConnection): void => {
    remove(connection)
    closeBackendSocket(connection)
    serve()
  }

  const closeQuietly = (connection: BackendConnection): void => {
    remove(connection)
    connection.client.destroy(CLOSED, () => undefined)
  }

  const assign = (connection: BackendConnection, waiter: ConnectionWaiter): void => {
    connection.busy = true
    waiter.use(connection)
  }

  const onOpen = (opened: BackendSocket): void => {
    openingCount--
    const nowMs = clock.nowMs()
    // All fields are set, so that all connections have one shape; choosing one reads many of them.
    const connection: BackendConnection = {
      client: opened.client,
      socket: opened.socket,
      hasFailed: opened.hasFailed,
      id: nextId(),
      openedMs: nowMs,
      lastProgressMs: nowMs,
      lastAnsweredMs: undefined,
      busy: false,
      retired: false,
      sentMs: undefined,
      isClosed: false,
      onSilent: undefined,
      isHeldByCaller: undefined
    }
    connections.push(connection)
    const onClosed = (): void => {
      if (connection.isClosed) return
      closeQuietly(connection)
      serve()
    }
    opened.client.on('disconnect', onClosed)
    // undici tells nothing of a socket that it has not used yet. Later, so that it first fails the running request itself.
    opened.socket.once('close', () => setImmediate(onClosed))
    // A new connection goes to the request that waits the longest; an idle older one may not be fresh enough for it.
    const waiter = waiters.shift()
    if (waiter) assign(connection, waiter)
    serve()
  }

  const onOpenFailed = (message: string): void => {
    openingCount--
    waiters.shift()?.fail(message)
    serve()
  }

  const open = (): void => {
    openingCount++
    try {
      openBackendSocket(target, onOpen, onOpenFailed)
    } catch (error) {
      // An address that node:net does not accept. Later, since the request is not waiting yet in this step.
      setImmediate(onOpenFailed, String(error))
    }
  }

  const connectionOf = (id: number | undefined): BackendConnection | undefined => {
    for (const connection of connections) if (connection.id === id) return connection
    return undefined
  }

  /** @returns the connection for the request; undefined when it has to wait for one */
  const choose = (waiter: ConnectionWaiter): ConnectionChoice =>
    chooseConnection(connections, { idempotent: waiter.idempotent, provenSinceMs: waiter.provenSinceMs, share: share() }, clock.nowMs())

  /** Opens a connection for requests that wait, as long as fewer are opening than requests wait. */
  const openFor = (choice: ConnectionChoice): void => {
    if (openingCount >= waiters.length) return
    if (choice.choice === 'wait') {
      const idle = connectionOf(choice.closeFirst)
      if (!idle) return
      closeQuietly(idle)
    }
    if (connections.length + openingCount < share()) open()
  }

  const serve = (): void => {
    for (const waiter of [...waiters]) {
      const choice = choose(waiter)
      const connection = choice.choice === 'reuse' ? connectionOf(choice.id) : undefined
      if (!connection) openFor(choice)
      else if (takeWaiter(waiter)) assign(connection, waiter)
    }
  }

  const takeWaiter = (waiter: ConnectionWaiter): boolean => {
    const index = waiters.indexOf(waiter)
    if (index >= 0) waiters.splice(index, 1)
    return index >= 0
  }

  const acquire = (waiter: ConnectionWaiter): void => {
    const choice = choose(waiter)
    const connection = choice.choice === 'reuse' ? connectionOf(choice.id) : undefined
    if (connection) {
      assign(connection, waiter)
      return
    }
    waiters.push(waiter)
    openFor(choice)
  }

  return {
    target,
    acquire,
    cancel: takeWaiter,
    release: connection => {
      const nowMs = clock.nowMs()
      connection.sentMs = undefined
      connection.onSilent = undefined
      connection.isHeldByCaller = undefined
      connection.lastProgressMs = nowMs
      connection.lastAnsweredMs = nowMs
      // undici closes a connection that cannot be reused right after it reports the end of the response.
      queueMicrotask(() => {
        connection.busy = false
        if (connection.retired || connection.socket.destroyed) closeQuietly(connection)
        if (waiters.length > 0) serve()
      })
    },
    discard,
    closeIdle: () => {
      for (const connection of connections.filter(({ busy }) => !busy)) closeQuietly(connection)
    },
    retireSilent: firstByteP99Ms => {
      const nowMs = clock.nowMs()
      for (const connection of connections) if (connection.isHeldByCaller?.()) connection.lastProgressMs = nowMs
      const silent = new Set(findSilentConnections(connections, nowMs, firstByteP99Ms))
      const found = connections.filter(({ id, retired }) => silent.has(id) && !retired)
      for (const connection of found) {
        connection.retired = true
        if (!connection.busy) closeQuietly(connection)
      }
      if (found.length > 0) serve()
      return found
    },
    noteEcho: () => { hasEchoed = true },
    repeatsIds: () => hasEchoed,
    count: () => connections.length + openingCount,
    busyCount: () => connections.reduce((sum, { busy }) => sum + (busy ? 1 : 0), 0)
  }
}
