/**
 * What the cross checks see: the answers with every value that is faulty on
 * its own left out, so that all checks run on what remains.
 */
import type { AnswerPath } from '../paths.js'
import type { Severity } from '../types.js'

export type CheckReport = (severity: Severity, path: AnswerPath, message: string) => void

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

export type CrossCheck = (answers: AnswersView, report: CheckReport) => void
