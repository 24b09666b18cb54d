/** Targets send some answers without a length and reset them on the way. */
import { playCut } from '../cut.mjs'
import { runCase } from '../lib.mjs'

const READ_BYTES = 24_000
/** Bytes of the body that are sent before the reset. */
const SENT_BYTES = 20_000
const RESET_AFTER_MS = 20
/** 2 of 6 targets of the service break off 2 in 100 of their answers. */
const FAULTY_TARGETS = 2
const BROKEN_SHARE = 0.02

const answerRead = ({ answer, res, requestId, index, isTrouble, record }) => {
  if (!isTrouble || index >= FAULTY_TARGETS || Math.random() >= BROKEN_SHARE) {
    answer({ bytes: READ_BYTES })
    return
  }
  record.add(`target ${index} breaks off its answer to ${requestId}`)
  const { socket } = res
  socket.write(`HTTP/1.1 200 OK\r\nWisteriavalve-Request-Id: ${requestId}\r\nWisteriavalve-Response-Stamp: s-${requestId}\r\n\r\n${`${requestId} `.padEnd(SENT_BYTES, '.')}`)
  setTimeout(() => socket.resetAndDestroy(), RESET_AFTER_MS)
}

const hasTrouble = process.env.TROUBLE !== '0'

await runCase('record.txt', hasTrouble, playCut({ pipeliningCallers: 16, readBytes: READ_BYTES, answerRead }))
