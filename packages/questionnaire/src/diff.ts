/**
 * Describes what new answers change and the effect on a running fleet. An
 * answer that is equal to the default is the same as no answer.
 */
import type { Answers, Kind, ServiceConfiguration, Target } from '@wisteriavalve/schema'
import { formatValue } from './answer-types.js'
import { effectOfFleetChange, effectOfKindChange, effectOfServiceChange, type Effect } from './diff-effects.js'
import { generateConfiguration } from './generate.js'
import { resolveFleetSettings, resolveService, restoreCount } from './resolve.js'

export type Change = Effect & {
  /** Part of the fleet that changes, such as service stockview, kind stock-check. */
  subject: string
  field?: string
  before?: unknown
  after?: unknown
  text: string
}

export type AnswersDiff = {
  changes: Change[]
  /** Values that must be published, the head included. */
  newValueCount: number
  unchangedValueCount: number
}

const isEqual = (a: unknown, b: unknown): boolean => JSON.stringify(a) === JSON.stringify(b)

const showValue = (value: unknown): string =>
  Array.isArray(value) && value.length === 0 ? 'none' : formatValue(value)

/** One change for each field that differs. */
const diffFields = <T extends object>(
  subject: string, before: T, after: T, fields: readonly (keyof T & string)[],
  effectOf: (field: string, before: unknown, after: unknown) => Effect
): Change[] =>
    fields.filter(field => !isEqual(before[field], after[field])).map(field => ({
      subject,
      field,
      before: before[field],
      after: after[field],
      text: `${field} changes from ${showValue(before[field])} to ${showValue(after[field])}`,
      ...effectOf(field, before[field], after[field])
    }))

type MatchedItems<T> = { added: T[], removed: T[], kept: [T, T][] }

const matchByKey = <T>(before: readonly T[], after: readonly T[], keyOf: (item: T) => string): MatchedItems<T> => {
  const beforeByKey = new Map(before.map(item => [keyOf(item), item]))
  const afterKeys = new Set(after.map(keyOf))
  return {
    added: after.filter(item => !beforeByKey.has(keyOf(item))),
    removed: before.filter(item => !afterKeys.has(keyOf(item))),
    kept: after.flatMap(item => {
      const earlier = beforeByKey.get(keyOf(item))
      return earlier === undefined ? [] : [[earlier, item] as [T, T]]
    })
  }
}

const KIND_FIELDS = ['methods', 'path', 'idempotent', 'boundedBy', 'deadlineMs', 'weight', 'bodyBytesMax', 'objective'] as const
const SERVICE_FIELDS = ['pathPrefix', 'hosts', 'slotsPerTarget', 'connectionsPerTarget', 'trustsReuse', 'warmupMs', 'warmupRatePerS', 'healthPath', 'defaultDeadlineMs', 'objective'] as const
const FLEET_FIELDS = ['fleet', 'region', 'zones', 'entryVmCountMax', 'probesPerTargetPerS', 'probeCpuPercent'] as const

const namesOf = (items: readonly { name: string }[]): string => items.map(({ name }) => name).join(', ')

const diffKinds = (subject: string, before: readonly Kind[], after: readonly Kind[]): Change[] => {
  const { added, removed, kept } = matchByKey(before, after, ({ name }) => name)
  const keptBefore = before.filter(kind => kept.some(([earlier]) => earlier === kind))
  const keptAfter = kept.map(([, later]) => later)
  const isReordered = namesOf(keptBefore) !== namesOf(keptAfter)
  return [
    ...added.map(kind => ({
      subject: `${subject}, kind ${kind.name}`,
      text: `is new: ${kind.methods.join(', ')} ${kind.path}, ${kind.idempotent ? 'idempotent' : 'not idempotent'}`,
      effect: 'Requests that match it belonged to another kind or to none before.',
      attention: kind.idempotent && !kind.methods.every(method => method === 'GET' || method === 'HEAD')
    })),
    ...removed.map(kind => ({
      subject: `${subject}, kind ${kind.name}`,
      text: 'is removed',
      effect: 'Requests that only it matched belong to no kind from now on: they are not retried, have the default deadline of the service and the weight 1.',
      attention: true
    })),
    ...(isReordered
      ? [{ subject, field: 'kinds', before: namesOf(keptBefore), after: namesOf(keptAfter), text: `the order of the kinds changes to ${namesOf(keptAfter)}`, effect: 'A request belongs to the first kind that matches it.', attention: false }]
      : []),
    ...kept.flatMap(([earlier, later]) => diffFields(`${subject}, kind ${later.name}`, earlier, later, KIND_FIELDS, effectOfKindChange))
  ]
}

const diffTargets = (subject: string, before: readonly Target[], after: readonly Target[]): Change[] => {
  const { added, removed, kept } = matchByKey(before, after, ({ id }) => id)
  return [
    ...added.map(({ id, host, port, zone }) => ({
      subject: `${subject}, target ${id}`, text: `is new: ${host} port ${port} in ${zone}`, effect: 'It gets work after a slow start of 5 s.', attention: false
    })),
    ...removed.map(({ id }) => ({
      subject: `${subject}, target ${id}`, text: 'is removed', effect: 'It receives no new requests, unless the VM list contains it as well; requests in flight are finished.', attention: false
    })),
    ...kept.flatMap(([earlier, later]) => diffFields(`${subject}, target ${later.id}`, earlier, later, ['host', 'port', 'zone'],
      () => ({ effect: 'New requests use the new value; requests in flight are finished.', attention: false })))
  ]
}

const diffService = (before: ServiceConfiguration, after: ServiceConfiguration): Change[] => {
  const subject = `service ${after.name}`
  return [
    ...diffFields(subject, before, after, SERVICE_FIELDS, effectOfServiceChange),
    ...diffKinds(subject, before.kinds, after.kinds),
    ...diffTargets(subject, before.targets, after.targets)
  ]
}

const diffServices = (before: Answers, after: Answers): Change[] => {
  const { added, removed, kept } = matchByKey(before.services.map(resolveService), after.services.map(resolveService), ({ name }) => name)
  return [
    ...added.map(({ name, pathPrefix, kinds }) => ({
      subject: `service ${name}`, text: `is new: ${pathPrefix}, ${kinds.length} kinds`, effect: 'Its requests failed as not run (WV-1001) before.', attention: false
    })),
    ...removed.map(({ name }) => ({
      subject: `service ${name}`, text: 'is removed', effect: 'Its requests fail as not run (WV-1001); requests in flight are finished.', attention: true
    })),
    ...kept.flatMap(([earlier, later]) => diffService(earlier, later))
  ]
}

const fleetView = (answers: Answers) => ({ ...resolveFleetSettings(answers), restoreCount: restoreCount(answers) })

export const diffAnswers = (before: Answers, after: Answers): AnswersDiff => {
  const published = new Set(generateConfiguration(before).map(({ key, bytes }) => `${key} ${bytes.toString()}`))
  const values = generateConfiguration(after)
  const newValueCount = values.filter(({ key, bytes }) => !published.has(`${key} ${bytes.toString()}`)).length
  return {
    changes: [
      ...diffFields('fleet', fleetView(before), fleetView(after), [...FLEET_FIELDS, 'restoreCount'], effectOfFleetChange),
      ...diffServices(before, after)
    ],
    newValueCount,
    unchangedValueCount: values.length - newValueCount
  }
}
