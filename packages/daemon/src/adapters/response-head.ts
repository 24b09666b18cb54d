/**
 * Writes the heads of responses. node:http checks a head while it writes it, and
 * one that it refuses leaves its framing behind on the response. The failure that
 * comes in its place must not have that.
 */
import { ServerResponse, type IncomingMessage } from 'node:http'

/** Statuses after which node:http writes no body, also if their head is refused. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304])

export type ResponseHeadFields = {
  status: number
  phrase: string
  /** Names and values in turn. */
  headers: string[]
}

/** Whether trailers can follow, which need a body in chunks. */
export const canHaveTrailers = ({ method, httpVersion }: IncomingMessage, status: number, hasLength: boolean): boolean =>
  !hasLength && method !== 'HEAD' && !BODILESS_STATUSES.has(status) && httpVersion !== '1.0'

/** @throws the error of node:http about a head that cannot be written; the response can then take another one */
export const writeResponseHead = (req: IncomingMessage, res: ServerResponse, { status, phrase, headers }: ResponseHeadFields): void => {
  if (BODILESS_STATUSES.has(status)) new ServerResponse(req).writeHead(status, phrase, headers)
  try {
    res.writeHead(status, phrase, headers)
  } catch (error) {
    res.chunkedEncoding = false
    throw error
  }
}
