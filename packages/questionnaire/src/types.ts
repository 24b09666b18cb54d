/**
 * Types of the questionnaire: what it generates, and the faults it finds.
 */

/** One key of the configuration service and the bytes to publish under it. */
export type ConfigurationValue = { key: string, bytes: Buffer }

/** Place in an answers file; line and column count from 1. */
export type Place = { line: number, column: number }

export type Severity = 'fault' | 'warning'

/** Something wrong or doubtful in the answers. */
export type Finding = {
  severity: Severity
  /** Path in the answers, such as services[0].kinds[1].path; empty for the whole document. */
  path: string
  place?: Place
  message: string
  /** Id of the question in the register that the value answers. */
  questionId?: string
}
