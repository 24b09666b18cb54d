/**
 * Finds duplicate names and addresses.
 */
import { formatPath, type AnswerPath } from '../paths.js'
import type { ReportFinding, CrossCheck, TargetView } from './types.js'

type NamedValue = { path: AnswerPath, value?: string }

const reportDuplicates = (label: string, entries: readonly NamedValue[], report: ReportFinding): void => {
  const firstPaths = new Map<string, AnswerPath>()
  for (const { path, value } of entries) {
    if (value === undefined) continue
    const earlier = firstPaths.get(value)
    if (earlier) report('fault', path, `${label} ${value} is already used at ${formatPath(earlier)}`)
    else firstPaths.set(value, path)
  }
}

const fieldValues = <T extends { path: AnswerPath }>(entries: readonly T[], name: keyof T & string): NamedValue[] =>
  entries.map(entry => ({ path: [...entry.path, name], value: entry[name] as string | undefined }))

const addressOf = ({ host, port }: TargetView): string | undefined =>
  host === undefined || port === undefined ? undefined : `${host} port ${port}`

export const checkUnique: CrossCheck = ({ zones, services }, report) => {
  reportDuplicates('the zone', zones.map((value, index) => ({ path: ['zones', index], value })), report)
  reportDuplicates('the service name', fieldValues(services, 'name'), report)
  reportDuplicates('the path prefix', services.map(({ path, pathPrefix }) =>
    ({ path: [...path, 'pathPrefix'], value: pathPrefix?.replace(/(?<=.)\/$/, '') })), report)
  reportDuplicates('the host name', services.flatMap(({ path, hosts }) => hosts.map((host, index) =>
    ({ path: [...path, 'hosts', index], value: host.toLowerCase() }))), report)
  for (const { kinds, targets } of services) {
    reportDuplicates('the kind name', fieldValues(kinds, 'name'), report)
    reportDuplicates('the target id', fieldValues(targets, 'id'), report)
    reportDuplicates('the address', targets.map(target => ({ path: target.path, value: addressOf(target) })), report)
  }
}
