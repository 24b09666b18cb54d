/**
 * Recognizes a response head that is made of two. A target that breaks off a head
 * and then writes another response on the connection sends bytes that parse as one
 * head, with the status of the first and headers of both. Such a head says neither
 * that the request has run nor that it has not.
 */
import { rawHeader } from './headers.js'
import type { HttpDialect } from './http-dialect.js'

export type ParsedHead = {
  status: number
  /** Names and values in turn. */
  headers: readonly string[]
}

const hasTwoValues = (headers: readonly string[], name: string): boolean => {
  const first = rawHeader(headers, name)
  if (first === undefined) return false
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const key = headers[index] as string
    if (key.length === name.length && headers[index + 1] !== first && key.toLowerCase() === name) return true
  }
  return false
}

/** @returns what in the head contradicts itself; undefined if nothing does */
export const findContradiction = (dialect: Pick<HttpDialect, 'singleValueHeaders' | 'hasNotRunMark' | 'isNotRun'>, { status, headers }: ParsedHead): string | undefined => {
  const header = (name: string): string | undefined => rawHeader(headers, name)
  const repeated = dialect.singleValueHeaders.find(name => hasTwoValues(headers, name))
  if (repeated !== undefined) return `the response has two values of ${repeated}`
  if (dialect.hasNotRunMark(header) && !dialect.isNotRun(status, header)) return `the response is marked as not run and has the status ${status}`
  return undefined
}
