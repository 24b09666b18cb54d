/**
 * Requests that offer an upgrade of the protocol, which no server here takes.
 */
import type { IncomingMessage } from 'node:http'

/** Size of the head in the form in which clients usually write it. */
const headBytes = ({ method = '', url = '', rawHeaders }: IncomingMessage): number =>
  `${method} ${url} HTTP/1.1\r\n\r\n`.length + rawHeaders.reduce((sum, text) => sum + text.length + 2, 0)

/**
 * Whether a request without a body is the first one of its connection and nothing
 * came together with it. node:http drops what comes in one piece behind a request
 * that offers an upgrade, so otherwise the connection must end behind its response.
 */
export const isFirstAndAlone = (req: IncomingMessage): boolean => req.socket.bytesRead <= headBytes(req)
