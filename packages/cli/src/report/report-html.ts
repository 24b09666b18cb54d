/**
 * The report as a self-contained HTML page, without scripts, fonts, images or
 * links to other hosts.
 */
import { formatDuration, formatDateTime, formatTimeOfDay } from '../time.js'
import { describeAction, describeBudget, describeCounts, describeData, describeLeftOut, formatWindowPair, formatPercent, RECOVERY_TEXT } from './report-text.js'
import { selectServices } from './build.js'
import { plotInTime } from './svg-plot.js'
import type { BurnAlert, BurnWindow, Consumer, Incident, KindReport, LevelReport, ServiceLevelReport, ServiceReport } from './types.js'

const HTML_ESCAPES: Record<string, string> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', "'": '&#39;' }

/** Escapes names, which come from the network, against markup injection. */
export const escapeHtml = (text: string): string => text.replaceAll(/[&<>"']/g, character => HTML_ESCAPES[character] ?? '')

const STYLE = `body{font:15px/1.45 system-ui,sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem;color:#222;background:#fff}
table{border-collapse:collapse;margin:.5rem 0 1rem}th,td{padding:.2rem .7rem;text-align:right;border-bottom:1px solid #ddd}th:first-child,td:first-child{text-align:left}
.firing{background:#fdd}.unknown{background:#ffd}.warn{background:#fdd;padding:.5rem 1rem}svg{width:100%;height:auto}
.grid{stroke:#ccc}.objective{stroke:#b50;stroke-dasharray:4 3}.share{stroke:#2458a6;fill:none;stroke-width:1.5}circle.share{fill:#2458a6}.axis{font-size:11px;fill:#555}`

const renderCell = (value: string, tag = 'td'): string => `<${tag}>${escapeHtml(value)}</${tag}>`

type Row = { cells: readonly string[], className?: string }

const renderTable = (titles: readonly string[], rows: readonly Row[]): string => [
  `<table><tr>${titles.map(title => renderCell(title, 'th')).join('')}</tr>`,
  ...rows.map(({ cells, className = '' }) => `<tr class="${className}">${cells.map(value => renderCell(value)).join('')}</tr>`),
  '</table>'
].join('\n')

const renderParagraph = (text: string, className = ''): string => `<p class="${className}">${escapeHtml(text)}</p>`

const formatWindow = ({ burnRate, isCovered, coveredMs, lengthMs }: BurnWindow): string =>
  `${burnRate === undefined ? 'no requests' : burnRate.toFixed(2)}${isCovered ? '' : ` (${formatDuration(Math.min(coveredMs, lengthMs))} of data)`}`

const renderAlertTable = (alerts: readonly BurnAlert[]): string => renderTable(
  ['windows', 'burn rate, short', 'burn rate, long', 'alert above', 'state'],
  alerts.map(alert => ({ className: alert.state, cells: [formatWindowPair(alert), formatWindow(alert.short), formatWindow(alert.long), alert.threshold.toFixed(1), alert.state] })))

const renderLevel = (level: LevelReport): string => [
  renderParagraph(describeCounts(level)),
  renderParagraph(describeBudget(level.budget)),
  renderAlertTable(level.alerts)
].join('\n')

const renderKindTable = (kinds: readonly KindReport[]): string => renderTable(
  ['kind', 'weight', 'requests', 'in time', 'objective', 'error budget'],
  kinds.map(({ kind, weight, counts, inTimePercent, objective, budget, alerts }) => ({
    className: alerts.some(({ state }) => state === 'firing') ? 'firing' : '',
    cells: [kind, String(weight), String(counts.requests), formatPercent(inTimePercent), objective ? `${objective.inTimePercent}% over ${objective.windowDays} days` : 'none', budget ? `${budget.usedPercent.toFixed(2)}% used in ${formatDuration(budget.coveredMs)}` : 'not known']
  })))

const renderConsumerTable = (title: string, consumers: readonly Consumer[]): string => consumers.length === 0
  ? ''
  : renderTable([title, 'requests not in time', 'share'], consumers.map(({ name, count, percent }) => ({ cells: [name, String(count), `${percent.toFixed(1)}%`] })))

const renderService = (service: ServiceReport, report: ServiceLevelReport): string => {
  const objectives = [...new Set(service.kinds.flatMap(({ objective }) => objective ? [objective.inTimePercent] : []))]
  const span = report.data && { fromMs: report.data.fromMs, toMs: report.nowMs }
  return [
    `<h2>${escapeHtml(service.service)}</h2>`,
    renderLevel(service),
    span ? plotInTime(service.minutes, span, objectives.map(percent => ({ percent, label: `objective ${percent}%` }))) : '',
    renderKindTable(service.kinds),
    renderConsumerTable('cause', service.consumers.causes),
    renderConsumerTable('target', service.consumers.targets),
    renderConsumerTable('hour (UTC)', service.consumers.hours)
  ].join('\n')
}

const renderIncident = (incident: Incident): string => [
  `<h3>${escapeHtml(`${formatDateTime(incident.fromMs)} to ${formatTimeOfDay(incident.toMs).slice(0, 5)} UTC, ${incident.service}`)}</h3>`,
  renderParagraph(`${incident.counts.requests - incident.counts.inTime} of ${incident.counts.requests} requests not in time; ${RECOVERY_TEXT[incident.recovery]}.`),
  renderConsumerTable('cause', incident.causes),
  renderConsumerTable('target', incident.targets),
  incident.actions.length === 0 ? '' : `<ul>${incident.actions.map(action => `<li>${escapeHtml(describeAction(action))}</li>`).join('\n')}</ul>`
].join('\n')

const renderWarnings = ({ missing, problems }: ServiceLevelReport): string => [
  ...missing.map(({ nodeId, reason }) => renderParagraph(`Incomplete: no data of ${nodeId}: ${reason}`, 'warn')),
  ...problems.map(problem => renderParagraph(problem, 'warn'))
].join('\n')

export const renderReportHtml = (report: ServiceLevelReport): string => [
  '<!doctype html>',
  '<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width">',
  `<title>Service levels at ${formatDateTime(report.nowMs)} UTC</title><style>${STYLE}</style></head><body>`,
  '<h1>Service levels</h1>',
  renderParagraph(describeData(report)),
  renderWarnings(report),
  '<h2>All services</h2>',
  renderLevel(report.fleet),
  ...selectServices(report).shown.map(service => renderService(service, report)),
  ...describeLeftOut(report).map(text => renderParagraph(text)),
  '<h2>Incidents</h2>',
  report.incidents.length === 0 ? renderParagraph('None in the data.') : report.incidents.map(renderIncident).join('\n'),
  '</body></html>',
  ''
].join('\n')
