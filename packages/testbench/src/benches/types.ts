/**
 * Types of the benches.
 */
import type { Row } from '../format-row.js'
import type { DeploymentName } from '../generate.js'

export type BenchOptions = {
  /** Seeds of the runs; each run of a bench is repeated with each of them. */
  seeds: readonly number[]
  deployment: DeploymentName
  /** Reports one result as soon as it is known; it is printed and goes into the JSON file. */
  report: (row: Row) => void
}

export type Bench = {
  description: string
  run: (options: BenchOptions) => Promise<void>
}
