/**
 * Body of a caller's request. A body of known small size is collected before
 * the request is sent: a broken upload then is a request that did not run, the
 * whole request is written at once, and the bytes are there for another
 * attempt. Larger bodies are streamed once.
 */
import { Readable } from 'node:stream'
import { hasBody, type Call } from './adapters/caller-http.js'

export type RequestBody = {
  /** Calls onReady at once when there is nothing to wait for. */
  prepare: (onReady: () => void) => void
  /** Body for one attempt; a streamed one can be opened once. */
  open: () => Buffer | Readable | null
  canOpen: () => boolean
  isComplete: () => boolean
  /** Size as far as it is known: announced, or received so far. */
  sizeBytes: () => number
  /** True while the attempt has taken all bytes that the caller sent. */
  isWaitingForCaller: () => boolean
  /** Stops reading; called when the request is settled. */
  close: () => void
}

export type RequestBodyOptions = {
  call: Call
  /** Bodies up to this size are collected before they are sent. */
  collectBytesMax: number
  /** Whether a body of unknown size is collected as long as it is small. */
  collectUnknown: boolean
  bytesMax: number
  onTooLarge: () => void
  onProgress: () => void
}

const NO_BODY: RequestBody = {
  prepare: onReady => onReady(),
  open: () => null,
  canOpen: () => true,
  isComplete: () => true,
  sizeBytes: () => 0,
  isWaitingForCaller: () => false,
  close: () => undefined
}

const sendContinue = ({ expectsContinue, res }: Call): void => {
  if (expectsContinue) res.writeContinue()
}

export const createRequestBody = (options: RequestBodyOptions): RequestBody => {
  const { req } = options.call
  if (!hasBody(req)) return NO_BODY
  const length = req.headers['content-length']
  const isSmall = length === undefined ? options.collectUnknown : Number(length) <= options.collectBytesMax
  return createReceivedBody(options, isSmall)
}

const createReceivedBody = ({ call, collectBytesMax, bytesMax, onTooLarge, onProgress }: RequestBodyOptions, isSmall: boolean): RequestBody => {
  const { req } = call
  const kept: Buffer[] = []
  let receivedBytes = 0
  let isCollecting = isSmall
  let isStarted = false
  let isEnded = false
  let whole: Buffer | undefined
  let stream: Readable | undefined
  let onReady: () => void = () => undefined

  const stopCollecting = (): void => {
    isCollecting = false
    req.pause()
    onReady()
  }

  const onData = (chunk: Buffer): void => {
    receivedBytes += chunk.length
    onProgress()
    if (receivedBytes > bytesMax) onTooLarge()
    else if (stream) { if (!stream.push(chunk)) req.pause() } else {
      kept.push(chunk)
      if (isCollecting && receivedBytes > collectBytesMax) stopCollecting()
    }
  }

  const onEnd = (): void => {
    isEnded = true
    if (stream) stream.push(null)
    else if (isCollecting) {
      whole = kept.length === 1 ? kept[0] as Buffer : Buffer.concat(kept)
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

  const openStream = (): Readable => {
    stream = new Readable({ read: () => { req.resume() } })
    // Errors reach the request through its connection; without a listener they would end the process.
    stream.on('error', () => undefined)
    for (const chunk of kept.splice(0)) stream.push(chunk)
    if (isEnded) stream.push(null)
    else start()
    return stream
  }

  return {
    prepare: ready => {
      onReady = ready
      if (isSmall) start()
      else ready()
    },
    open: () => whole ?? openStream(),
    canOpen: () => whole !== undefined || stream === undefined,
    isComplete: () => isEnded,
    sizeBytes: () => Math.max(receivedBytes, Number(req.headers['content-length'] ?? 0)),
    isWaitingForCaller: () => !isEnded && (isCollecting || (stream !== undefined && stream.readableLength === 0)),
    close: () => {
      req.off('data', onData).off('end', onEnd)
      stream?.destroy()
    }
  }
}
