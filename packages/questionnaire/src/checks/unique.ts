/**
 * Names and addresses that must not occur twice.
 */
import { formatPath, type AnswerPath } from '../paths.js'
import type { CheckReport, CrossCheck, TargetView } from './types.js'

type Named = { path: AnswerPath, value?: string }

const reportRepeated = (what: string, entries: readonly Named[], report: CheckReport): void => {
  const first = new Map<string, AnswerPath>()
  for (const { path, value } of entries) {
    if (value === undefined) continue
    const earlier = first.get(value)
    if (earlier) report('fault', path, `${what} ${value} is used already at ${formatPath(earlier)}`)
    else first.set(value, path)
  }
}

const field = <T extends { path: AnswerPath }>(entries: readonly T[], name: keyof T & string): Named[] =>
  entries.map(entry => ({ path: [...entry.path, name], value: entry[name] as string | undefined }))

const addressOf = ({ host, port }: TargetView): string | undefined =>
  host === undefined || port === undefined ? undefined : `${host} port ${port}`

export const checkUnique: CrossCheck = ({ zones, services }, report) => {
  reportRepeated('the zone', zones.map((value, index) => ({ path: ['zones', index], value })), report)
  reportRepeated('the service name', field(services, 'name'), report)
  reportRepeated('the path prefix', services.map(({ path, pathPrefix }) =>
    ({ path: [...path, 'pathPrefix'], value: pathPrefix?.replace(/(?<=.)\/$/, '') })), report)
  reportRepeated('the host name', services.flatMap(({ path, hosts }) => hosts.map((host, index) =>
    ({ path: [...path, 'hosts', index], value: host.toLowerCase() }))), report)
  for (const { kinds, targets } of services) {
    reportRepeated('the kind name', field(kinds, 'name'), report)
    reportRepeated('the target id', field(targets, 'id'), report)
    reportRepeated('the address', targets.map(target => ({ path: target.path, value: addressOf(target) })), report)
  }
}
