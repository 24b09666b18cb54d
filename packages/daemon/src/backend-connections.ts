/**
 * Connection pool of one target. Requests wait here for a connection and are
 * never attached to one that is still opening. A request that is removed from
 * the queue is therefore never sent.
 */
import type { Clock } from '@wisteriavalve/common'
import { chooseConnection, findSilentConnections, isReusableAfter, type ConnectionChoice, type ConnectionView, type ResponseOwner } from '@wisteriavalve/policy'
import type { Target } from '@wisteriavalve/schema'
import { FOREIGN_RESPONSE_HOLD_MS } from './constants.js'
import { CLOSED_ERROR, closeBackendSocket, openBackendSocket, type BackendSocket } from './adapters/backend-http.js'

export type BackendConnection = ConnectionView & BackendSocket & {
  isClosed: boolean
  /** Requests and probes that were sent on the connection. */
  useCount: number
  /** Ids of the requests that the connection has carried. */
  requestIds: Set<string>
  /** Owner of the last response; undefined before the first one and after a probe. */
  lastResponseOwner?: ResponseOwner
  /** Called when the connection is retired while a request uses it. */
  onSilent?: () => void
  /**
   * True while the request waits for its caller. Missing progress is then not
   * a sign of a broken connection.
   */
  isWaitingForCaller?: () => boolean
}

export type ConnectionWaiter = {
  idempotent: boolean
  /** Id of the request; absent for a probe. */
  requestId?: string
  /** If set, only a connection that was opened or answered after this time is used. */
  verifiedSinceMs?: number
  /** Called once with a connection that is marked as busy. */
  use: (connection: BackendConnection) => void
  /** Called instead if no connection could be opened. */
  fail: (message: string) => void
}

export type TargetConnections = {
  target: Target
  acquire: (waiter: ConnectionWaiter) => void
  cancel: (waiter: ConnectionWaiter) => void
  /** Takes back a connection after a complete response, and closes it if no other request may use it. */
  release: (connection: BackendConnection) => void
  discard: (connection: BackendConnection) => void
  closeIdle: () => void
  /** Retires silent connections and returns them. */
  retireSilent: (firstByteP99Ms: number | undefined) => BackendConnection[]
  count: () => number
  busyCount: () => number
  /** Records that the target echoes request ids. From then on a response with another id is rejected. */
  recordRequestIdEcho: () => void
  echoesRequestIds: () => boolean
  /** Records that the target sent a response for another request. For some time, its connections then carry one request each. */
  recordForeignResponse: () => void
}

export type TargetConnectionsOptions = {
  target: Target
  /** Maximum number of connections of this node to the target. */
  share: () => number
  /** Whether the target is trusted with further requests on a connection although it does not echo request ids. */
  isReuseTrusted: () => boolean
  /** Whether targets are known to echo request ids before their first response. */
  echoesRequestIds: boolean
  clock: Clock
  nextId: () => number
  /** Called when a new connection has opened or failed to open. */
  onOpenResult?: (isOpen: boolean) => void
}

export const createTargetConnections = ({ target, share, isReuseTrusted, echoesRequestIds, clock, nextId, onOpenResult }: TargetConnectionsOptions): TargetConnections => {
  const connections: BackendConnection[] = []
  const waiters: ConnectionWaiter[] = []
  let openingCount = 0
  let hasEchoedRequestId = echoesRequestIds
  let singleUseUntilMs = -Infinity

  const remove = (connection: BackendConnection): void => {
    if (connection.isClosed) return
    connection.isClosed = true
    connections.splice(connections.indexOf(connection), 1)
  }

  const discard = (connection: BackendConnection): void => {
    remove(connection)
    closeBackendSocket(connection)
    serveWaiters()
  }

  const closeConnection = (connection: BackendConnection): void => {
    remove(connection)
    connection.client.destroy(CLOSED_ERROR, () => undefined)
  }

  const closeIdle = (): void => {
    for (const connection of connections.filter(({ isBusy }) => !isBusy)) closeConnection(connection)
  }

  const assign = (connection: BackendConnection, waiter: ConnectionWaiter): void => {
    connection.isBusy = true
    connection.useCount++
    if (waiter.requestId !== undefined) connection.requestIds.add(waiter.requestId)
    waiter.use(connection)
  }

  const onOpen = (opened: BackendSocket): void => {
    openingCount--
    onOpenResult?.(true)
    const nowMs = clock.nowMs()
    // All fields are set, so all connections have the same object shape, which keeps the selection loop fast.
    const connection: BackendConnection = {
      client: opened.client,
      socket: opened.socket,
      readGate: opened.readGate,
      hasFailed: opened.hasFailed,
      address: opened.address,
      setExceptionHandler: opened.setExceptionHandler,
      id: nextId(),
      openedMs: nowMs,
      lastProgressMs: nowMs,
      lastResponseMs: undefined,
      isBusy: false,
      isRetired: false,
      sentMs: undefined,
      isClosed: false,
      useCount: 0,
      requestIds: new Set(),
      lastResponseOwner: undefined,
      onSilent: undefined,
      isWaitingForCaller: undefined
    }
    connections.push(connection)
    const onClosed = (): void => {
      if (connection.isClosed) return
      closeConnection(connection)
      serveWaiters()
    }
    opened.client.on('disconnect', onClosed)
    // undici reports no event for a socket that it has not used yet. Deferred, so undici fails a running request first.
    opened.socket.once('close', () => setImmediate(onClosed))
    // A new connection goes to the request that has waited longest, since an older idle one may not be
    // recent enough for it.
    const waiter = waiters.shift()
    if (waiter) assign(connection, waiter)
    serveWaiters()
  }

  const onOpenFailed = (message: string): void => {
    openingCount--
    onOpenResult?.(false)
    waiters.shift()?.fail(message)
    serveWaiters()
  }

  const open = (): void => {
    openingCount++
    try {
      openBackendSocket(target, onOpen, onOpenFailed)
    } catch (error) {
      // node:net rejected the address. Deferred, because the request is not in the queue yet at this point.
      setImmediate(onOpenFailed, String(error))
    }
  }

  const connectionOf = (id: number | undefined): BackendConnection | undefined => {
    for (const connection of connections) if (connection.id === id) return connection
    return undefined
  }

  /** @returns whether the request reuses a connection, opens one or waits */
  const choose = (waiter: ConnectionWaiter): ConnectionChoice =>
    chooseConnection(connections, { idempotent: waiter.idempotent, requestId: waiter.requestId, verifiedSinceMs: waiter.verifiedSinceMs, share: share() }, clock.nowMs())

  /** Opens a connection if more requests wait than connections are opening. */
  const openForWaiters = (choice: ConnectionChoice): void => {
    if (openingCount >= waiters.length) return
    if (choice.choice === 'wait') {
      const idle = connectionOf(choice.closeFirstId)
      if (!idle) return
      closeConnection(idle)
    }
    if (connections.length + openingCount < share()) open()
  }

  const serveWaiters = (): void => {
    for (const waiter of [...waiters]) {
      const choice = choose(waiter)
      const connection = choice.choice === 'reuse' ? connectionOf(choice.id) : undefined
      if (!connection) openForWaiters(choice)
      else if (removeWaiter(waiter)) assign(connection, waiter)
    }
  }

  /**
   * A probe has no request id. After one, the connection is kept if the target
   * echoes ids, since the response to the next request then shows its owner.
   */
  const mayReuse = ({ lastResponseOwner, requestIds }: BackendConnection): boolean => {
    if (clock.nowMs() < singleUseUntilMs) return false
    const owner = lastResponseOwner ?? (hasEchoedRequestId ? 'own' : 'unverified')
    return isReusableAfter(owner, { isReuseTrusted: isReuseTrusted(), requestCount: requestIds.size })
  }

  const removeWaiter = (waiter: ConnectionWaiter): boolean => {
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
    openForWaiters(choice)
  }

  return {
    target,
    acquire,
    cancel: removeWaiter,
    release: connection => {
      const nowMs = clock.nowMs()
      connection.sentMs = undefined
      connection.onSilent = undefined
      connection.isWaitingForCaller = undefined
      connection.lastProgressMs = nowMs
      connection.lastResponseMs = nowMs
      // undici closes a non-reusable connection right after it reports the end of the response, so the
      // check is deferred.
      queueMicrotask(() => {
        connection.isBusy = false
        if (connection.isRetired || connection.socket.destroyed || !mayReuse(connection)) closeConnection(connection)
        if (waiters.length > 0) serveWaiters()
      })
    },
    discard,
    closeIdle,
    retireSilent: firstByteP99Ms => {
      const nowMs = clock.nowMs()
      for (const connection of connections) if (connection.isWaitingForCaller?.()) connection.lastProgressMs = nowMs
      const silent = new Set(findSilentConnections(connections, nowMs, firstByteP99Ms))
      const found = connections.filter(({ id, isRetired }) => silent.has(id) && !isRetired)
      for (const connection of found) {
        connection.isRetired = true
        if (!connection.isBusy) closeConnection(connection)
      }
      if (found.length > 0) serveWaiters()
      return found
    },
    recordRequestIdEcho: () => { hasEchoedRequestId = true },
    echoesRequestIds: () => hasEchoedRequestId,
    recordForeignResponse: () => {
      singleUseUntilMs = clock.nowMs() + FOREIGN_RESPONSE_HOLD_MS
      closeIdle()
    },
    count: () => connections.length + openingCount,
    busyCount: () => connections.reduce((sum, { isBusy }) => sum + (isBusy ? 1 : 0), 0)
  }
}
