/**
 * Validators of the documents, generated from the schemas. A validator narrows an unknown value to its type;
 * `explainErrors` tells what is wrong with a value that was refused.
 */
import type { ErrorObject } from 'ajv'
import type {
  Answers, BackendHealth, ConfigurationOrder, EntryAnswer, EventEntry, FleetSettings, GossipEnvelope, GossipMessage,
  Head, MemberUpdate, NodeReport, NodeStatus, ServiceConfiguration, Shard, VmEntry, VmList
} from './generated/types.js'
import {
  validateAnswers, validateBackendHealth, validateConfigurationOrder, validateEntryAnswer, validateEventEntry,
  validateFleetSettings, validateGossipEnvelope, validateGossipMessage, validateHead, validateMemberUpdate,
  validateNodeReport, validateNodeStatus, validateServiceConfiguration, validateShard, validateVmEntry,
  validateVmList
} from './generated/validators.js'

/** Narrows a value to its type; the faults of the last call that returned false are kept. */
export type Validator<T> = {
  (value: unknown): value is T
  errors?: ErrorObject[] | null
}

/** The generated code carries no types. */
const typed = <T>(validate: unknown): Validator<T> => validate as Validator<T>

export const isAnswers = typed<Answers>(validateAnswers)
export const isHead = typed<Head>(validateHead)
export const isShard = typed<Shard>(validateShard)
export const isFleetSettings = typed<FleetSettings>(validateFleetSettings)
export const isServiceConfiguration = typed<ServiceConfiguration>(validateServiceConfiguration)
export const isConfigurationOrder = typed<ConfigurationOrder>(validateConfigurationOrder)
export const isMemberUpdate = typed<MemberUpdate>(validateMemberUpdate)
export const isGossipMessage = typed<GossipMessage>(validateGossipMessage)
export const isGossipEnvelope = typed<GossipEnvelope>(validateGossipEnvelope)
export const isVmEntry = typed<VmEntry>(validateVmEntry)
export const isVmList = typed<VmList>(validateVmList)
export const isEntryAnswer = typed<EntryAnswer>(validateEntryAnswer)
export const isNodeStatus = typed<NodeStatus>(validateNodeStatus)
export const isNodeReport = typed<NodeReport>(validateNodeReport)
export const isEventEntry = typed<EventEntry>(validateEventEntry)
export const isBackendHealth = typed<BackendHealth>(validateBackendHealth)

/** Fault of a document: its place as a JSON pointer, and what is wrong there. */
export type DocumentFault = { path: string, message: string }

const describe = (error: ErrorObject): string => {
  if (error.keyword === 'additionalProperties') return `has the unknown field ${String(error.params.additionalProperty)}`
  if (error.keyword === 'enum') return `must be one of ${(error.params.allowedValues as unknown[]).join(', ')}`
  return error.message ?? error.keyword
}

/** Faults that the last call of a validator found. */
export const explainErrors = (validator: { errors?: ErrorObject[] | null }): DocumentFault[] =>
  (validator.errors ?? []).map(error => ({ path: error.instancePath, message: describe(error) }))
