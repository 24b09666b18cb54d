/**
 * Parses the YAML of an answers file and finds the line and column of each value.
 */
import { isMap, isNode, LineCounter, parseDocument, type YAMLError } from 'yaml'
import { formatPath, type AnswerPath } from './paths.js'
import type { Finding, Place } from './types.js'

/** High enough for every service to use the same anchor; nested aliases that grow exponentially exceed it. */
const ALIAS_COUNT_MAX = 100_000

export type AnswersDocument = {
  root: unknown
  /** Place of the value, or of the innermost existing value that would contain it. */
  placeOf: (path: AnswerPath) => Place | undefined
}

const toPlace = (lines: LineCounter, offset: number): Place => {
  const { line, col } = lines.linePos(offset)
  return { line, column: col }
}

const toFinding = (error: YAMLError): Finding => ({
  severity: 'fault',
  path: '',
  place: error.linePos && { line: error.linePos[0].line, column: error.linePos[0].col },
  message: `is not valid YAML: ${error.message.split(/ at line \d+/)[0]}`
})

/** Faults are YAML syntax errors; the document is returned only when there are none. */
export const readDocument = (text: string): { document: AnswersDocument } | { faults: Finding[] } => {
  const lines = new LineCounter()
  const parsed = parseDocument(text, { lineCounter: lines, prettyErrors: true })
  if (parsed.errors.length > 0) return { faults: parsed.errors.map(toFinding) }

  const offsetOf = (path: AnswerPath): number | undefined => {
    const parent = path.length > 0 ? parsed.getIn(path.slice(0, -1), true) : undefined
    const key = isMap(parent) ? parent.items.find(({ key }) => String(key) === String(path.at(-1)))?.key : undefined
    const node = key ?? parsed.getIn(path, true)
    return isNode(node) ? node.range?.[0] : undefined
  }
  const placeOf = (path: AnswerPath): Place | undefined => {
    for (let length = path.length; length >= 0; length--) {
      const offset = offsetOf(path.slice(0, length))
      if (offset !== undefined) return toPlace(lines, offset)
    }
  }
  try {
    return { document: { root: parsed.toJS({ maxAliasCount: ALIAS_COUNT_MAX }), placeOf } }
  } catch (error) {
    return { faults: [{ severity: 'fault', path: formatPath([]), message: `is not valid YAML: ${(error as Error).message}` }] }
  }
}
