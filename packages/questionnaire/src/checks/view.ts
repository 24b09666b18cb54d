/**
 * Builds the view of the answers for the cross checks.
 */
import { DEFAULTS } from '../constants.js'
import { valueAt, type AnswerPath } from '../paths.js'
import type { AnswersView, KindView, ServiceView, TargetView } from './types.js'

/** @param isFaulty whether a fault was already reported for the value at a path */
export const viewAnswers = (root: unknown, isFaulty: (path: AnswerPath) => boolean): AnswersView => {
  const read = <T>(path: AnswerPath): T | undefined => isFaulty(path) ? undefined : valueAt(root, path) as T | undefined
  const items = (path: AnswerPath): AnswerPath[] => {
    const list = valueAt(root, path)
    return Array.isArray(list) ? list.map((_, index) => [...path, index]) : []
  }

  const viewKind = (path: AnswerPath): KindView => ({
    path,
    name: read([...path, 'name']),
    methods: read([...path, 'methods']),
    pattern: read([...path, 'path']),
    idempotent: read([...path, 'idempotent']),
    deadlineMs: read([...path, 'deadlineMs']),
    boundedBy: read([...path, 'boundedBy']) ?? DEFAULTS.boundedBy,
    bodyBytesMax: read([...path, 'bodyBytesMax']) ?? DEFAULTS.bodyBytesMax
  })
  const viewTarget = (path: AnswerPath): TargetView => ({
    path,
    id: read([...path, 'id']),
    host: read([...path, 'host']),
    port: read([...path, 'port']),
    zone: read([...path, 'zone'])
  })
  const viewService = (path: AnswerPath): ServiceView => {
    const name = read<string>([...path, 'name'])
    const given = valueAt(root, [...path, 'pathPrefix'])
    return {
      path,
      name,
      pathPrefix: given === undefined ? name && `/${name}` : read([...path, 'pathPrefix']),
      hosts: read([...path, 'hosts']) ?? [],
      slotsPerTarget: read([...path, 'slotsPerTarget']),
      connectionsPerTarget: read([...path, 'connectionsPerTarget']),
      trustsReuse: read([...path, 'trustsReuse']),
      targets: items([...path, 'targets']).map(viewTarget),
      kinds: items([...path, 'kinds']).map(viewKind)
    }
  }
  return {
    zones: read(['zones']) ?? [],
    entryVmCount: read(['entryVms', 'count']),
    replacementOverlap: read(['entryVms', 'replacementOverlap']) ?? DEFAULTS.replacementOverlap,
    probesPerTargetPerS: read(['measuring', 'probesPerTargetPerS']),
    cpuPercent: read(['measuring', 'cpuPercent']) ?? DEFAULTS.cpuPercent,
    services: items(['services']).map(viewService)
  }
}
