/**
 * The report as one HTML page that needs nothing else: no script, no font, no
 * image and no address of another machine.
 */
import { formatDuration, formatMinute, formatTimeOfDay } from '../time.js'
import { describeAction, describeBudget, describeCounts, describeData, describeLeftOut, formatPair, formatPercent, RECOVERY_TEXT } from './report-text.js'
import { selectServices } from './build.js'
import { plotInTime } from './svg-plot.js'
import type { BurnAlert, BurnWindow, Consumer, Incident, KindReport, LevelReport, ServiceLevelReport, ServiceReport } from './types.js'

const ESCAPES: Record<string, string> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', "'": '&#39;' }

/** Names come from the network and must not become markup. */
export const escapeHtml = (text: string): string => text.replaceAll(/[&<>"']/g, character => ESCAPES[character] ?? '')

const STYLE = `body{font:15px/1.45 system-ui,sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem;color:#222;background:#fff}
table{border-collapse:collapse;margin:.5rem 0 1rem}th,td{padding:.2rem .7rem;text-align:right;border-bottom:1px solid #ddd}th:first-child,td:first-child{text-align:left}
.firing{background:#fdd}.unknown{background:#ffd}.warn{background:#fdd;padding:.5rem 1rem}svg{width:100%;height:auto}
.grid{stroke:#ccc}.objective{stroke:#b50;stroke-dasharray:4 3}.share{stroke:#2458a6;fill:none;stroke-width:1.5}circle.share{fill:#2458a6}.axis{font-size:11px;fill:#555}`

const cell = (value: string, tag = 'td'): string => `<${tag}>${escapeHtml(value)}</${tag}>`

type Row = { cells: readonly string[], kind?: string }

const table = (titles: readonly string[], rows: readonly Row[]): string => [
  `<table><tr>${titles.map(title => cell(title, 'th')).join('')}</tr>`,
  ...rows.map(({ cells, kind = '' }) => `<tr class="${kind}">${cells.map(value => cell(value)).join('')}</tr>`),
  '</table>'
].join('\n')

const paragraph = (text: string, kind = ''): string => `<p class="${kind}">${escapeHtml(text)}</p>`

const showWindow = ({ burnRate, isCovered, coveredMs, lengthMs }: BurnWindow): string =>
  `${burnRate === undefined ? 'no requests' : burnRate.toFixed(2)}${isCovered ? '' : ` (${formatDuration(Math.min(coveredMs, lengthMs))} of data)`}`

const alertTable = (alerts: readonly BurnAlert[]): string => table(
  ['windows', 'burn rate, short', 'burn rate, long', 'alert above', 'state'],
  alerts.map(alert => ({ kind: alert.state, cells: [formatPair(alert), showWindow(alert.short), showWindow(alert.long), alert.threshold.toFixed(1), alert.state] })))

const levelPart = (level: LevelReport): string => [
  paragraph(describeCounts(level)),
  paragraph(describeBudget(level.budget)),
  alertTable(level.alerts)
].join('\n')

const kindTable = (kinds: readonly KindReport[]): string => table(
  ['kind', 'weight', 'requests', 'in time', 'objective', 'error budget'],
  kinds.map(({ kind, weight, counts, inTimePercent, objective, budget, alerts }) => ({
    kind: alerts.some(({ state }) => state === 'firing') ? 'firing' : '',
    cells: [kind, String(weight), String(counts.requests), formatPercent(inTimePercent), objective ? `${objective.inTimePercent}% over ${objective.windowDays} days` : 'none', budget ? `${budget.usedPercent.toFixed(2)}% used in ${formatDuration(budget.coveredMs)}` : 'not known']
  })))

const consumerTable = (title: string, consumers: readonly Consumer[]): string => consumers.length === 0
  ? ''
  : table([title, 'requests not in time', 'share'], consumers.map(({ name, count, percent }) => ({ cells: [name, String(count), `${percent.toFixed(1)}%`] })))

const servicePart = (service: ServiceReport, report: ServiceLevelReport): string => {
  const objectives = [...new Set(service.kinds.flatMap(({ objective }) => objective ? [objective.inTimePercent] : []))]
  const span = report.data && { fromMs: report.data.fromMs, toMs: report.nowMs }
  return [
    `<h2>${escapeHtml(service.service)}</h2>`,
    levelPart(service),
    span ? plotInTime(service.minutes, span, objectives.map(percent => ({ percent, label: `objective ${percent}%` }))) : '',
    kindTable(service.kinds),
    consumerTable('cause', service.consumers.causes),
    consumerTable('target', service.consumers.targets),
    consumerTable('hour (UTC)', service.consumers.hours)
  ].join('\n')
}

const incidentPart = (incident: Incident): string => [
  `<h3>${escapeHtml(`${formatMinute(incident.fromMs)} to ${formatTimeOfDay(incident.toMs).slice(0, 5)} UTC, ${incident.service}`)}</h3>`,
  paragraph(`${incident.counts.requests - incident.counts.inTime} of ${incident.counts.requests} requests not in time; ${RECOVERY_TEXT[incident.recovery]}.`),
  consumerTable('cause', incident.causes),
  consumerTable('target', incident.targets),
  incident.actions.length === 0 ? '' : `<ul>${incident.actions.map(action => `<li>${escapeHtml(describeAction(action))}</li>`).join('\n')}</ul>`
].join('\n')

const warnings = ({ missing, problems }: ServiceLevelReport): string => [
  ...missing.map(({ nodeId, reason }) => paragraph(`Incomplete: no data of ${nodeId}: ${reason}`, 'warn')),
  ...problems.map(problem => paragraph(problem, 'warn'))
].join('\n')

export const renderReportHtml = (report: ServiceLevelReport): string => [
  '<!doctype html>',
  '<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width">',
  `<title>Service levels at ${formatMinute(report.nowMs)} UTC</title><style>${STYLE}</style></head><body>`,
  '<h1>Service levels</h1>',
  paragraph(describeData(report)),
  warnings(report),
  '<h2>All services</h2>',
  levelPart(report.fleet),
  ...selectServices(report).shown.map(service => servicePart(service, report)),
  ...describeLeftOut(report).map(text => paragraph(text)),
  '<h2>Incidents</h2>',
  report.incidents.length === 0 ? paragraph('None in the data.') : report.incidents.map(incidentPart).join('\n'),
  '</body></html>',
  ''
].join('\n')
