/**
 * Support for tests that compare bytes: responses in chunks, and the answers that a
 * caller has received on its connection.
 */

export const chunksOf = (body: string, sizeBytes: number): string => {
  const chunks: string[] = []
  for (let index = 0; index < body.length; index += sizeBytes) chunks.push(body.slice(index, index + sizeBytes))
  return chunks.map(chunk => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join('')
}

export type Answer = { status: string, fields: string, body: string, isWhole: boolean }

type Part = { body: string, isWhole: boolean, end: number }

const readChunks = (text: string, start: number): Part => {
  let body = ''
  for (let place = start; ;) {
    const size = /^([0-9a-f]+)\r\n/i.exec(text.slice(place, place + 20))
    if (!size) return { body, isWhole: false, end: text.length }
    const sizeBytes = Number.parseInt(size[1] as string, 16)
    const from = place + size[0].length
    if (sizeBytes === 0) {
      const trailersEnd = text.startsWith('\r\n', from) ? from : text.indexOf('\r\n\r\n', from) + 2
      return { body, isWhole: trailersEnd >= from && text.startsWith('\r\n', trailersEnd), end: trailersEnd + 2 }
    }
    body += text.slice(from, from + sizeBytes)
    place = from + sizeBytes + 2
    if (place > text.length) return { body, isWhole: false, end: text.length }
  }
}

const readBody = (text: string, start: number, status: string, fields: string): Part => {
  if (status === '204' || status === '304') return { body: '', isWhole: true, end: start }
  if (/transfer-encoding: chunked/i.test(fields)) return readChunks(text, start)
  const lengthText = /content-length: (\d+)/i.exec(fields)?.[1]
  if (lengthText === undefined) return { body: text.slice(start), isWhole: true, end: text.length }
  const end = start + Number(lengthText)
  return { body: text.slice(start, end), isWhole: text.length >= end, end }
}

/** Reads all answers that a caller has received on its connection. */
export const readAnswers = (text: string): Answer[] => {
  const answers: Answer[] = []
  for (let place = 0; place < text.length;) {
    const headEnd = text.indexOf('\r\n\r\n', place)
    if (headEnd < 0) return answers
    const [statusLine = '', ...fields] = text.slice(place, headEnd).split('\r\n')
    const status = statusLine.split(' ')[1] ?? ''
    const { body, isWhole, end } = readBody(text, headEnd + 4, status, fields.join('\r\n'))
    answers.push({ status, fields: fields.join('\r\n'), body, isWhole })
    place = end
  }
  return answers
}
