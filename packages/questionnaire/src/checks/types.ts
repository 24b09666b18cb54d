/**
 * Input of the cross checks: the answers without the values that are already
 * known to be faulty. All cross checks run on the remaining values.
 */
import type { AnswerPath } from '../paths.js'
import type { Severity } from '../types.js'

export type ReportFinding = (severity: Severity, path: AnswerPath, message: string) => void

export type KindView = {
  path: AnswerPath
  name?: string
  methods?: string[]
  pattern?: string
  idempotent?: boolean
  deadlineMs?: number
  boundedBy?: string
  bodyBytesMax?: number
}

export type TargetView = { path: AnswerPath, id?: string, host?: string, port?: number, zone?: string }

export type ServiceView = {
  path: AnswerPath
  name?: string
  pathPrefix?: string
  hosts: string[]
  slotsPerTarget?: number
  connectionsPerTarget?: number
  trustsReuse?: boolean
  targets: TargetView[]
  kinds: KindView[]
}

export type AnswersView = {
  zones: string[]
  entryVmCount?: number
  replacementOverlap?: number
  probesPerTargetPerS?: number
  cpuPercent?: number
  services: ServiceView[]
}

export type CrossCheck = (answers: AnswersView, report: ReportFinding) => void
