/**
 * Reads small documents from the platform through undici, limited in time and size.
 */
import { Agent } from 'undici'
import type { Result } from '@wisteriavalve/common'
import { withDeadline } from './deadline.js'

export type HttpReader = {
  get: (url: string, options: { timeoutMs: number, signal?: AbortSignal }) => Promise<Result<HttpResponse, string>>
  close: () => Promise<void>
}

export type HttpResponse = { status: number, headers: Record<string, string | string[] | undefined>, body: Uint8Array }

const readBody = async (body: AsyncIterable<Uint8Array>, bytesMax: number): Promise<Uint8Array> => {
  const chunks: Uint8Array[] = []
  let sizeBytes = 0
  for await (const chunk of body) {
    sizeBytes += chunk.length
    if (sizeBytes > bytesMax) throw new Error(`the response is larger than ${bytesMax} bytes`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

export const describeError = (error: unknown): string => {
  if (!(error instanceof Error)) return String(error)
  const code = 'code' in error && typeof error.code === 'string' ? error.code : ''
  return error.message || code || error.name
}

/** @param bytesMax maximum size of a response body */
export const createHttpReader = (bytesMax: number): HttpReader => {
  const dispatcher = new Agent({ connections: 8, pipelining: 1, keepAliveTimeout: 15_000, connect: { timeout: 1000 } })
  const get: HttpReader['get'] = async (url, { timeoutMs, signal }) => {
    try {
      return await withDeadline(timeoutMs, signal, async deadline => {
        const { origin, pathname, search } = new URL(url)
        const response = await dispatcher.request({ origin, path: pathname + search, method: 'GET', signal: deadline })
        const body = await readBody(response.body, bytesMax)
        return { ok: true, value: { status: response.statusCode, headers: response.headers, body } }
      })
    } catch (error) {
      return { ok: false, error: describeError(error) }
    }
  }
  return { get, close: () => dispatcher.destroy() }
}

export const parseJson = (bytes: Uint8Array): unknown => {
  try {
    return JSON.parse(Buffer.from(bytes).toString('utf8'))
  } catch {
    return undefined
  }
}
