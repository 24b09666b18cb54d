/**
 * The report as text in lines of at most 80 columns.
 */
import { formatCount } from '../output.js'
import { describeMissing } from '../admin/options.js'
import { selectServices } from './build.js'
import { TERMINAL_COLUMNS, formatTable, wrapText } from '../text.js'
import { formatDuration, formatDateTime, formatTimeOfDay } from '../time.js'
import type { Action, BurnAlert, BurnWindow, Consumer, ErrorBudget, Incident, KindReport, LevelReport, ServiceLevelReport, ServiceReport } from './types.js'

export const formatPercent = (percent: number | undefined): string => {
  if (percent === undefined) return '-'
  // A share with failures must not be rounded up to 100%.
  const rounded = percent.toFixed(3)
  return `${percent < 100 && rounded === '100.000' ? '99.999' : rounded}%`
}

const formatRate = (rate: number | undefined): string => rate === undefined ? '-' : rate >= 100 ? rate.toFixed(0) : rate.toFixed(2)

/** A window that begins before the data is marked with the length of the data. */
const formatWindow = ({ burnRate, isCovered, lengthMs, coveredMs }: BurnWindow): string =>
  `${formatRate(burnRate)}${isCovered ? '' : ` (${formatDuration(Math.min(coveredMs, lengthMs))} of data)`}`

export const formatWindowPair = ({ short, long }: BurnAlert): string => `${formatDuration(short.lengthMs)}/${formatDuration(long.lengthMs)}`

const formatAlertTable = (alerts: readonly BurnAlert[]): string[] => formatTable(
  [{ title: 'WINDOWS' }, { title: 'SHORT' }, { title: 'LONG' }, { title: 'ALERT ABOVE', align: 'right' }, { title: 'STATE' }],
  alerts.map(alert => [formatWindowPair(alert), formatWindow(alert.short), formatWindow(alert.long), alert.threshold.toFixed(1), alert.state]))

export const describeBudget = (budget: ErrorBudget | undefined): string => {
  if (!budget) return 'error budget: not known, since there are no requests or no objective'
  const { usedPercent, leftPercentMax, isCovered, coveredMs, windowMs } = budget
  const days = formatDuration(windowMs)
  if (isCovered) return `error budget of ${days}: ${leftPercentMax.toFixed(1)}% left`
  return `error budget of ${days}: ${usedPercent.toFixed(2)}% used in the ${formatDuration(coveredMs)} with data; at most ${leftPercentMax.toFixed(1)}% left, earlier use is not known`
}

export const describeCounts = ({ counts, inTimePercent }: LevelReport): string => inTimePercent === undefined
  ? 'no requests'
  : `${formatCount(counts.requests, 'request')}, ${formatPercent(inTimePercent)} in time, weighted by kind`

const describeLevel = (level: LevelReport): string[] => [
  `  ${describeCounts(level)}`,
  ...wrapText(`  ${describeBudget(level.budget)}`, TERMINAL_COLUMNS, '    '),
  ...formatAlertTable(level.alerts).map(line => `  ${line}`)
]

const formatKindTable = (kinds: readonly KindReport[]): string[] => formatTable(
  [
    { title: 'KIND' }, { title: 'WEIGHT', align: 'right' }, { title: 'REQUESTS', align: 'right' }, { title: 'IN TIME', align: 'right' },
    { title: 'OBJECTIVE', align: 'right' }, { title: 'BURN 1H', align: 'right' }, { title: 'ALERT' }
  ],
  kinds.map(({ kind, weight, counts, inTimePercent, objective, alerts }) => [
    kind, String(weight), String(counts.requests), formatPercent(inTimePercent),
    objective ? `${objective.inTimePercent}%` : 'none', formatRate(alerts[0]?.long.burnRate),
    alerts.filter(({ state }) => state === 'firing').map(formatWindowPair).join(' ') || (alerts[0]?.state ?? 'unknown')
  ]))

const describeConsumers = (title: string, consumers: readonly Consumer[]): string[] => consumers.length === 0
  ? []
  : wrapText(`  ${title}: ${consumers.map(({ name, count, percent }) => `${name} ${count} (${percent.toFixed(0)}%)`).join(', ')}`, TERMINAL_COLUMNS, '    ')

const describeService = (service: ServiceReport): string[] => [
  '',
  `service ${service.service}`,
  ...describeLevel(service),
  ...formatKindTable(service.kinds).map(line => `  ${line}`.slice(0, TERMINAL_COLUMNS)),
  ...(service.consumers.failureCount === 0
    ? ['  nothing used up the error budget']
    : [
        `  ${formatCount(service.consumers.failureCount, 'request')} not in time`,
        ...describeConsumers('by cause', service.consumers.causes),
        ...describeConsumers('by target', service.consumers.targets),
        ...describeConsumers('by hour (UTC)', service.consumers.hours)
      ])
]

export const RECOVERY_TEXT: Record<Incident['recovery'], string> = {
  'by-itself': 'recovered by itself',
  'after-configuration': 'over, but a new configuration came into force meanwhile and may have ended it',
  ongoing: 'ongoing',
  'no-traffic': 'no requests since, so it is unknown whether it is over'
}

const ACTIONS_MAX = 8

export const describeAction = ({ wallMs, text, nodeCount }: Action): string =>
  `${formatTimeOfDay(wallMs)} ${text}${nodeCount > 1 ? ` (${nodeCount} nodes)` : ''}`

const describeIncident = (incident: Incident): string[] => [
  ...wrapText(`  ${formatDateTime(incident.fromMs)} to ${formatTimeOfDay(incident.toMs).slice(0, 5)} ${incident.service}: ${incident.counts.requests - incident.counts.inTime} of ${incident.counts.requests} not in time; ${RECOVERY_TEXT[incident.recovery]}`, TERMINAL_COLUMNS, '    '),
  ...describeConsumers('  by cause', incident.causes),
  ...describeConsumers('  by target', incident.targets),
  ...incident.actions.slice(0, ACTIONS_MAX).flatMap(action => wrapText(`    ${describeAction(action)}`, TERMINAL_COLUMNS, '      ')),
  ...(incident.actions.length > ACTIONS_MAX ? [`    and ${incident.actions.length - ACTIONS_MAX} more; see explain --fleet`] : [])
]

export const describeData = ({ data, nodeCount, nowMs }: ServiceLevelReport): string => data
  ? `data of ${formatCount(nodeCount, 'node')} from ${formatDateTime(data.fromMs)} to ${formatDateTime(nowMs)} UTC (${formatDuration(nowMs - data.fromMs)})`
  : 'no data'

export const describeLeftOut = (report: ServiceLevelReport): string[] => {
  const { leftOutCount } = selectServices(report)
  return leftOutCount > 0 ? [`${formatCount(leftOutCount, 'service')} with a lower burn rate over 1 h not shown; see --service or --json`] : []
}

export const describeReport = (report: ServiceLevelReport): string[] => [
  `service levels at ${formatDateTime(report.nowMs)} UTC`,
  describeData(report),
  ...describeMissing(report),
  ...report.problems.flatMap(problem => wrapText(`PROBLEM: ${problem}`, TERMINAL_COLUMNS, '  ')),
  '',
  'all services',
  ...describeLevel(report.fleet),
  ...selectServices(report).shown.flatMap(describeService),
  '',
  ...describeLeftOut(report),
  report.incidents.length === 0 ? 'incidents: none in the data' : 'incidents (UTC):',
  ...report.incidents.flatMap(describeIncident)
]
