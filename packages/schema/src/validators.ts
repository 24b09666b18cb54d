/**
 * Validators of the documents, compiled from the generated schemas. A validator narrows an unknown value to its type;
 * `explainErrors` tells what is wrong with a value that was refused.
 */
import { Ajv, type ErrorObject, type ValidateFunction } from 'ajv'
import { adminSchema, answersSchema, configurationSchema, messagesSchema } from './generated/schemas.js'
import type {
  Answers, BackendHealth, ConfigurationOrder, EntryAnswer, EventEntry, FleetSettings, GossipEnvelope, GossipMessage,
  Head, MemberUpdate, NodeReport, NodeStatus, ServiceConfiguration, Shard, VmEntry, VmList
} from './generated/types.js'

let ajv: Ajv | undefined

const createAjv = (): Ajv => {
  const created = new Ajv({ allErrors: true, strict: false })
  created.addSchema([configurationSchema, messagesSchema, adminSchema, answersSchema])
  return created
}

/** Narrows a value to its type; the faults of the last call that returned false are kept. */
export type Validator<T> = {
  (value: unknown): value is T
  errors?: ErrorObject[] | null
}

/** Compiled on first use, since a daemon needs few of the validators and its start should be short. */
const compileDefinition = <T>(reference: string): Validator<T> => {
  let compiled: ValidateFunction<T> | undefined
  const validate: Validator<T> = (value): value is T => {
    if (!compiled) compiled = (ajv ??= createAjv()).compile<T>({ $ref: reference })
    const isValid = compiled(value)
    validate.errors = compiled.errors
    return isValid
  }
  return validate
}

export const isAnswers = compileDefinition<Answers>('answers')
export const isHead = compileDefinition<Head>('configuration#/definitions/Head')
export const isShard = compileDefinition<Shard>('configuration#/definitions/Shard')
export const isFleetSettings = compileDefinition<FleetSettings>('configuration#/definitions/FleetSettings')
export const isServiceConfiguration = compileDefinition<ServiceConfiguration>('configuration#/definitions/ServiceConfiguration')
export const isConfigurationOrder = compileDefinition<ConfigurationOrder>('messages#/definitions/ConfigurationOrder')
export const isMemberUpdate = compileDefinition<MemberUpdate>('messages#/definitions/MemberUpdate')
export const isGossipMessage = compileDefinition<GossipMessage>('messages#/definitions/GossipMessage')
export const isGossipEnvelope = compileDefinition<GossipEnvelope>('messages#/definitions/GossipEnvelope')
export const isVmEntry = compileDefinition<VmEntry>('messages#/definitions/VmEntry')
export const isVmList = compileDefinition<VmList>('messages#/definitions/VmList')
export const isEntryAnswer = compileDefinition<EntryAnswer>('messages#/definitions/EntryAnswer')
export const isNodeStatus = compileDefinition<NodeStatus>('admin#/definitions/NodeStatus')
export const isNodeReport = compileDefinition<NodeReport>('admin#/definitions/NodeReport')
export const isEventEntry = compileDefinition<EventEntry>('admin#/definitions/EventEntry')
export const isBackendHealth = compileDefinition<BackendHealth>('messages#/definitions/BackendHealth')

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
