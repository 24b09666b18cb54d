/**
 * Lookup of the numbered result codes by name. The table itself is generated
 * from schemas/result-codes.json; docs/result-codes.md shows it.
 */
import { RESULT_CODES, type ResultClass, type ResultName } from './generated/result-codes.js'

export type ResultCode = {
  code: string
  name: ResultName
  class: ResultClass
  /** HTTP status, only for results of requests. */
  status?: number
  message: string
}

const byName = new Map<ResultName, ResultCode>(RESULT_CODES.map(row => [row.name, row]))

/** Result code with a name. It always exists, because the names are a closed union. */
export const resultCode = (name: ResultName): ResultCode => byName.get(name) as ResultCode
