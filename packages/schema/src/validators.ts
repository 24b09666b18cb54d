/**
 * Validators of the documents, generated from the schemas. A validator narrows
 * an unknown value to its type and keeps the faults of an invalid value for a
 * description in words.
 */
import type { ErrorObject } from 'ajv'
import type {
  Answers, BackendHealth, ConfigurationOrder, EntryAnswer, EventEntry, FleetSettings, GossipEnvelope, GossipMessage,
  Head, MemberUpdate, NodeReport, NodeStatus, ServiceConfiguration, Shard, TargetNote, VmEntry, VmList
} from './generated/types.js'
import {
  validateAnswers, validateBackendHealth, validateConfigurationOrder, validateEntryAnswer, validateEventEntry,
  validateFleetSettings, validateGossipEnvelope, validateGossipMessage, validateHead, validateMemberUpdate,
  validateNodeReport, validateNodeStatus, validateServiceConfiguration, validateShard, validateTargetNote,
  validateVmEntry, validateVmList
} from './generated/validators.js'

/** Narrows a value to its type. `errors` holds the faults of the last call when it returned false. */
export type Validator<T> = {
  (value: unknown): value is T
  errors?: ErrorObject[] | null
}

/** Adds the type, which the generated code does not declare. */
const asValidator = <T>(validate: unknown): Validator<T> => validate as Validator<T>

export const isAnswers = asValidator<Answers>(validateAnswers)
export const isHead = asValidator<Head>(validateHead)
export const isShard = asValidator<Shard>(validateShard)
export const isFleetSettings = asValidator<FleetSettings>(validateFleetSettings)
export const isServiceConfiguration = asValidator<ServiceConfiguration>(validateServiceConfiguration)
export const isConfigurationOrder = asValidator<ConfigurationOrder>(validateConfigurationOrder)
export const isMemberUpdate = asValidator<MemberUpdate>(validateMemberUpdate)
export const isTargetNote = asValidator<TargetNote>(validateTargetNote)
export const isGossipMessage = asValidator<GossipMessage>(validateGossipMessage)
export const isGossipEnvelope = asValidator<GossipEnvelope>(validateGossipEnvelope)
export const isVmEntry = asValidator<VmEntry>(validateVmEntry)
export const isVmList = asValidator<VmList>(validateVmList)
export const isEntryAnswer = asValidator<EntryAnswer>(validateEntryAnswer)
export const isNodeStatus = asValidator<NodeStatus>(validateNodeStatus)
export const isNodeReport = asValidator<NodeReport>(validateNodeReport)
export const isEventEntry = asValidator<EventEntry>(validateEventEntry)
export const isBackendHealth = asValidator<BackendHealth>(validateBackendHealth)

/** Fault of a document: its path as a JSON pointer, and a message. */
export type DocumentFault = { path: string, message: string }

const describe = (error: ErrorObject): string => {
  if (error.keyword === 'additionalProperties') return `has the unknown field ${String(error.params.additionalProperty)}`
  if (error.keyword === 'enum') return `must be one of ${(error.params.allowedValues as unknown[]).join(', ')}`
  return error.message ?? error.keyword
}

/** Faults found by the last call of a validator. */
export const explainErrors = (validator: { errors?: ErrorObject[] | null }): DocumentFault[] =>
  (validator.errors ?? []).map(error => ({ path: error.instancePath, message: describe(error) }))
