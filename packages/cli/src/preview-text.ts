/**
 * Text of where a request would go now, for one node.
 */
import type { RequestPreview, ServicePreview } from '@wisteriavalve/daemon/admin-api'
import type { TargetStatus } from '@wisteriavalve/schema'
import { formatCount } from './output.js'
import { TERMINAL_COLUMNS, wrapText } from './text.js'

/** Targets that are listed; the others are counted. */
const TARGETS_MAX = 12
const PERCENT = 100

const describeLoad = ({ reportedInFlight, reportAgeMs, inFlight }: TargetStatus): string =>
  reportedInFlight === undefined ? `${inFlight} in flight from this node` : `${reportedInFlight} in flight ${reportAgeMs ?? 0} ms ago`

const describeLimits = ({ pausedMs, requestLimitPerS }: TargetStatus): string[] => [
  ...(pausedMs === undefined ? [] : [`left alone for another ${pausedMs} ms`]),
  ...(requestLimitPerS === undefined ? [] : [`accepts ${requestLimitPerS} requests/s from all nodes together`])
]

const describeTarget = (target: TargetStatus): string =>
  `    ${target.targetId} in ${target.zone}: ${[target.health, describeLoad(target), ...describeLimits(target)].join(', ')}`

const describeDecision = ({ decision, probesFirst }: ServicePreview): string[] => {
  const { outcome, targetId, reason, retryAfterMs } = decision
  const choice = {
    send: `sent to ${targetId ?? 'a target'}`,
    wait: 'waits',
    refuse: `refused as not run, with Retry-After ${retryAfterMs ?? 0} ms`,
    none: 'refused as not run'
  }[outcome]
  const after = probesFirst.length > 0 ? ` after ${probesFirst.join(', ')} was asked for its load; without an answer: ` : ': '
  return wrapText(`  now${after}${choice} (${reason})`, TERMINAL_COLUMNS, '    ')
}

/** The chosen target and those that are asked first are listed before the others. */
const sortTargets = ({ targets, probesFirst, decision }: ServicePreview, zone: string): TargetStatus[] => {
  const rank = ({ targetId, zone: targetZone }: TargetStatus): number =>
    targetId === decision.targetId ? 0 : probesFirst.includes(targetId) ? 1 : targetZone === zone ? 2 : 3
  return [...targets].sort((a, b) => rank(a) - rank(b))
}

const describeService = (preview: ServicePreview, zone: string): string[] => {
  const { service, kind, share, idempotent, objectiveMs, deadlineMs, targets } = preview
  const split = share < 1 ? `, ${Math.round(share * PERCENT)}% of the requests` : ''
  const hiddenCount = Math.max(0, targets.length - TARGETS_MAX)
  return [
    ...wrapText(`  service ${service}${split}: kind ${kind}, ${idempotent ? 'idempotent' : 'not idempotent'}, objective ${objectiveMs} ms, deadline ${deadlineMs} ms`, TERMINAL_COLUMNS, '    '),
    ...describeDecision(preview),
    `  ${formatCount(targets.length, 'target')}:`,
    ...sortTargets(preview, zone).slice(0, TARGETS_MAX).flatMap(target => wrapText(describeTarget(target), TERMINAL_COLUMNS, '      ')),
    ...(hiddenCount > 0 ? [`    and ${formatCount(hiddenCount, 'other')}; --json shows all`] : [])
  ]
}

export const describePreview = ({ nodeId, zone, isConfigured, services }: RequestPreview): string[] => [
  `node ${nodeId} in ${zone}`,
  ...(services.length > 0
    ? services.flatMap(service => describeService(service, zone))
    : [isConfigured ? '  no service matches: refused with 404' : '  the node has no configuration yet: refused as not run'])
]
