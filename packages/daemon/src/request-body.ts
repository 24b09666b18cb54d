/**
 * Body of a caller's request. A small body is collected before the request is
 * sent. A broken upload then counts as not run, the request is written in one
 * piece, and the bytes are available for further attempts.
 *
 * Larger bodies are streamed, to one attempt at a time. Their beginning is kept, so
 * that a further attempt can still send all of it after a target or peer refused the
 * request on its head. Once more has been received than is kept, the body cannot be
 * opened again: a further attempt could send the rest only.
 *
 * A larger body is also read while it waits for a target, within the limits of
 * read-ahead.ts: the end of the caller's connection comes behind its bytes, and a
 * request whose caller has left must not be sent.
 */
import { Readable } from 'node:stream'
import { hasBody, type Call } from './adapters/caller-http.js'
import type { OutgoingBody } from './adapters/streamed-body.js'
import { createBodyHash, hashBytes, type BodyHash } from './body-hash.js'
import type { ReadAhead } from './read-ahead.js'

export type RequestBody = {
  /** Whether the request has a body at all. */
  isPresent: boolean
  /** Calls onReady when the body may be sent; immediately if there is nothing to collect. */
  prepare: (onReady: () => void) => void
  /** The whole body for one attempt, or the reason why there is none. */
  open: () => OpenedBody
  canOpen: () => boolean
  /** Whether an attempt still reads the body as a stream. */
  isStreaming: () => boolean
  isComplete: () => boolean
  /** Number of bytes that came from the caller so far. */
  receivedBytes: () => number
  /** The larger of the announced size and the bytes received so far. */
  sizeBytes: () => number
  /** True while all bytes received from the caller are consumed and more are expected. */
  isWaitingForCaller: () => boolean
  /** Hash of the body, or of as much of it as would be collected; undefined while less has arrived. */
  hash: () => string | undefined
  /** Stops reading; called when the request is settled. */
  close: () => void
}

export type OpenedBody =
  | { ok: true, content: OutgoingBody }
  /** Another attempt is reading the body, or has read bytes that are not kept. */
  | { ok: false, error: 'body-consumed' }

export type RequestBodyOptions = {
  call: Call
  /** Bodies up to this size are collected before they are sent, and as much of larger ones is kept. */
  collectBytesMax: number
  /** Whether a body of unknown size is collected up to the limit. */
  collectsUnknownSize: boolean
  /** Whether any body is collected up to the limit, because its beginning decides whether the request may be sent. */
  collectsAny: boolean
  bytesMax: number
  readAhead: ReadAhead
  onTooLarge: () => void
  onProgress: () => void
}

const EMPTY_HASH = hashBytes('')

const NO_BODY: RequestBody = {
  isPresent: false,
  prepare: onReady => onReady(),
  open: () => ({ ok: true, content: null }),
  canOpen: () => true,
  isStreaming: () => false,
  isComplete: () => true,
  receivedBytes: () => 0,
  sizeBytes: () => 0,
  isWaitingForCaller: () => false,
  hash: () => EMPTY_HASH,
  close: () => undefined
}

const sendContinue = ({ expectsContinue, res }: Call): void => {
  if (expectsContinue) res.writeContinue()
}

export const createRequestBody = (options: RequestBodyOptions): RequestBody => {
  const { req } = options.call
  if (!hasBody(req)) return NO_BODY
  const length = req.headers['content-length']
  const isSmall = options.collectsAny || (length === undefined ? options.collectsUnknownSize : Number(length) <= options.collectBytesMax)
  return createReceivedBody(options, isSmall)
}

const createReceivedBody = ({ call, collectBytesMax, bytesMax, readAhead, onTooLarge, onProgress }: RequestBodyOptions, isSmall: boolean): RequestBody => {
  const { req } = call
  /** All bytes that were received, or nothing once they are more than is kept. */
  let keptChunks: Buffer[] | undefined = []
  let receivedBytes = 0
  /** Bytes that are counted as read ahead. */
  let aheadBytes = 0
  let isCollecting = isSmall
  let isStarted = false
  let isEnded = false
  let collectedBody: Buffer | undefined
  let stream: Readable | undefined
  let bodyHash: BodyHash | undefined
  let onReady: () => void = () => undefined

  /** Goes on reading without a reader while there is memory for it. */
  const readOn = (sizeBytes: number): void => {
    if (readAhead.tryTake(aheadBytes, sizeBytes)) aheadBytes += sizeBytes
    else req.pause()
  }

  const endReadAhead = (): void => {
    readAhead.release(aheadBytes)
    aheadBytes = 0
  }

  /** More was received than may be kept for a further attempt. */
  const dropKept = (): void => {
    keptChunks = undefined
    endReadAhead()
  }

  const stopCollecting = (): void => {
    isCollecting = false
    readOn(receivedBytes)
    onReady()
  }

  const onData = (chunk: Buffer): void => {
    receivedBytes += chunk.length
    onProgress()
    bodyHash?.add(chunk)
    // Without a reader all bytes are kept, and reading stops when they are too many.
    if (isStreaming() && receivedBytes > collectBytesMax) dropKept()
    keptChunks?.push(chunk)
    if (receivedBytes > bytesMax) onTooLarge()
    else if (isStreaming()) passOn(chunk)
    else if (!isCollecting) readOn(chunk.length)
    else if (receivedBytes > collectBytesMax) stopCollecting()
  }

  const passOn = (chunk: Buffer): void => { if (!stream?.push(chunk)) req.pause() }

  const onEnd = (): void => {
    isEnded = true
    if (isStreaming()) stream?.push(null)
    else if (isCollecting) {
      collectedBody = Buffer.concat(keptChunks ?? [])
      keptChunks = [collectedBody]
      isCollecting = false
      onReady()
    }
  }

  const start = (): void => {
    if (isStarted) return
    isStarted = true
    sendContinue(call)
    req.on('data', onData).on('end', onEnd)
  }

  /** Hashes what has arrived, and from now on what arrives. */
  const startHash = (): BodyHash => {
    const started = createBodyHash(collectBytesMax)
    for (const chunk of keptChunks ?? []) started.add(chunk)
    return started
  }

  const openStream = (): Readable => {
    bodyHash ??= startHash()
    stream = new Readable({ read: () => { req.resume() } })
    // The request is informed of errors through its connection. Without a listener they would crash the process.
    stream.on('error', () => undefined)
    for (const chunk of keptChunks ?? []) stream.push(chunk)
    if (receivedBytes > Math.max(collectBytesMax, aheadBytes)) dropKept()
    if (isEnded) stream.push(null)
    else start()
    return stream
  }

  const isStreaming = (): boolean => stream !== undefined && !stream.destroyed

  const canOpen = (): boolean => collectedBody !== undefined || (keptChunks !== undefined && !isStreaming())

  const open = (): OpenedBody => {
    if (collectedBody) return { ok: true, content: collectedBody }
    if (!canOpen()) return { ok: false, error: 'body-consumed' }
    return { ok: true, content: { stream: openStream(), receivedBytes: () => receivedBytes, isEnded: () => isEnded } }
  }

  return {
    isPresent: true,
    prepare: ready => {
      onReady = ready
      // A caller that waits to be asked for the body is not asked before there is a target.
      if (isSmall || !call.expectsContinue) start()
      if (!isSmall) ready()
    },
    open,
    canOpen,
    isStreaming,
    isComplete: () => isEnded,
    receivedBytes: () => receivedBytes,
    sizeBytes: () => Math.max(receivedBytes, Number(req.headers['content-length'] ?? 0)),
    hash: () => {
      bodyHash ??= startHash()
      return bodyHash.value(isEnded)
    },
    isWaitingForCaller: () => !isEnded && (isCollecting || (stream !== undefined && stream.readableLength === 0)),
    close: () => {
      req.off('data', onData).off('end', onEnd)
      endReadAhead()
      stream?.destroy()
    }
  }
}
