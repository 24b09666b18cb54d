/**
 * Types of the generated values and of the findings of a check.
 */

/** One key of the configuration service and the bytes to publish under it. */
export type ConfigurationValue = { key: string, bytes: Buffer }

/** Place in an answers file; line and column count from 1. */
export type Place = { line: number, column: number }

export type Severity = 'fault' | 'warning'

/** A fault or a doubtful value in the answers. */
export type Finding = {
  severity: Severity
  /** Path in the answers, such as services[0].kinds[1].path; empty for the whole document. */
  path: string
  place?: Place
  message: string
  /** Id of the question that the value answers. */
  questionId?: string
}
