/**
 * Types of the benches.
 */
import type { Row } from '../format-row.js'
import type { DeploymentName } from '../generate.js'

export type BenchOptions = {
  /** Each run of a bench is repeated with each seed. */
  seeds: readonly number[]
  deployment: DeploymentName
  /** Reports one result. It is printed immediately and included in the JSON file. */
  report: (row: Row) => void
}

export type Bench = {
  description: string
  run: (options: BenchOptions) => Promise<void>
}
