/**
 * Body of a caller's request. A small body is collected before the request is
 * sent. A broken upload then counts as not run, the request is written in one
 * piece, and the bytes are available for further attempts. Larger bodies are
 * streamed and can be sent only once.
 */
import { Readable } from 'node:stream'
import { hasBody, type Call } from './adapters/caller-http.js'
import { createBodyHash, hashBytes, type BodyHash } from './body-hash.js'

export type RequestBody = {
  /** Whether the request has a body at all. */
  isPresent: boolean
  /** Calls onReady when the body may be sent; immediately if there is nothing to collect. */
  prepare: (onReady: () => void) => void
  /** Body for one attempt; a streamed body can be opened only once. */
  open: () => Buffer | Readable | null
  canOpen: () => boolean
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

export type RequestBodyOptions = {
  call: Call
  /** Bodies up to this size are collected before they are sent. */
  collectBytesMax: number
  /** Whether a body of unknown size is collected up to the limit. */
  collectsUnknownSize: boolean
  /** Whether any body is collected up to the limit, because its beginning decides whether the request may be sent. */
  collectsAny: boolean
  bytesMax: number
  onTooLarge: () => void
  onProgress: () => void
}

const EMPTY_HASH = hashBytes('')

const NO_BODY: RequestBody = {
  isPresent: false,
  prepare: onReady => onReady(),
  open: () => null,
  canOpen: () => true,
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

const createReceivedBody = ({ call, collectBytesMax, bytesMax, onTooLarge, onProgress }: RequestBodyOptions, isSmall: boolean): RequestBody => {
  const { req } = call
  const chunks: Buffer[] = []
  let receivedBytes = 0
  let isCollecting = isSmall
  let isStarted = false
  let isEnded = false
  let collectedBody: Buffer | undefined
  let stream: Readable | undefined
  let bodyHash: BodyHash | undefined
  let onReady: () => void = () => undefined

  const stopCollecting = (): void => {
    isCollecting = false
    req.pause()
    onReady()
  }

  const onData = (chunk: Buffer): void => {
    receivedBytes += chunk.length
    onProgress()
    bodyHash?.add(chunk)
    if (receivedBytes > bytesMax) onTooLarge()
    else if (stream) { if (!stream.push(chunk)) req.pause() } else {
      chunks.push(chunk)
      if (isCollecting && receivedBytes > collectBytesMax) stopCollecting()
    }
  }

  const onEnd = (): void => {
    isEnded = true
    if (stream) stream.push(null)
    else if (isCollecting) {
      collectedBody = chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks)
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
    for (const chunk of chunks) started.add(chunk)
    return started
  }

  const openStream = (): Readable => {
    bodyHash ??= startHash()
    stream = new Readable({ read: () => { req.resume() } })
    // The request is informed of errors through its connection. Without a listener they would crash the process.
    stream.on('error', () => undefined)
    for (const chunk of chunks.splice(0)) stream.push(chunk)
    if (isEnded) stream.push(null)
    else start()
    return stream
  }

  return {
    isPresent: true,
    prepare: ready => {
      onReady = ready
      if (isSmall) start()
      else ready()
    },
    open: () => collectedBody ?? openStream(),
    canOpen: () => collectedBody !== undefined || stream === undefined,
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
      stream?.destroy()
    }
  }
}
