/**
 * Checks zones, connection shares and the probe budget.
 */
import type { AnswersView, ReportFinding, CrossCheck } from './types.js'

/** CPU time of one probe on an entry VM: a small request on an open connection. */
const PROBE_CPU_MS = 0.3

/** Probes of a target that a node sends less often than this give no useful information. */
const PROBE_INTERVAL_MAX_S = 3600

const MS_PER_S = 1000
const PERCENT = 100

const nodeCountMax = ({ entryVmCount, replacementOverlap }: AnswersView): number | undefined =>
  entryVmCount === undefined || replacementOverlap === undefined ? undefined : entryVmCount + replacementOverlap

const checkZones = ({ zones, services, entryVmCount, replacementOverlap }: AnswersView, report: ReportFinding): void => {
  if (zones.length === 1) report('warning', ['zones'], 'with a single zone, an outage of the zone is an outage of the whole fleet')
  if (entryVmCount !== undefined && entryVmCount < zones.length) {
    report('warning', ['entryVms', 'count'], `${entryVmCount} entry VMs are too few for ${zones.length} zones; some zones have none`)
  }
  if (replacementOverlap === 0) {
    report('warning', ['entryVms', 'replacementOverlap'],
      'an entry VM that starts before the one it replaces has stopped raises the connections and probes of targets above their limits')
  }
  for (const { path, zone } of services.flatMap(({ targets }) => targets)) {
    if (zone !== undefined && zones.length > 0 && !zones.includes(zone)) {
      report('fault', [...path, 'zone'], `the zone ${zone} is not among the zones of the fleet: ${zones.join(', ')}`)
    }
  }
}

const checkConnections = (answers: AnswersView, report: ReportFinding): void => {
  const nodeCount = nodeCountMax(answers)
  for (const { path, connectionsPerTarget, slotsPerTarget } of answers.services) {
    if (connectionsPerTarget === undefined) continue
    const answerPath = [...path, 'connectionsPerTarget']
    if (nodeCount !== undefined && connectionsPerTarget < nodeCount) {
      report('fault', answerPath, `${connectionsPerTarget} connections shared by up to ${nodeCount} entry VMs leave none for each; at least ${nodeCount} are needed`)
    } else if (slotsPerTarget !== undefined && connectionsPerTarget < slotsPerTarget) {
      report('warning', answerPath, `${connectionsPerTarget} connections cannot use the ${slotsPerTarget} slots of a target, since a connection carries one request at a time`)
    }
  }
}

const checkReuse = ({ services }: AnswersView, report: ReportFinding): void => {
  for (const { path, trustsReuse } of services) {
    if (trustsReuse !== true) continue
    report('warning', [...path, 'trustsReuse'],
      'an extra response of a target that does not echo request ids can reach the caller of another request')
  }
}

/** Probes per second that all nodes together can send within their CPU budget. */
const affordableProbesPerS = (entryVmCount: number, cpuPercent: number): number =>
  entryVmCount * cpuPercent / PERCENT * MS_PER_S / PROBE_CPU_MS

const checkProbes = (answers: AnswersView, report: ReportFinding): void => {
  const { probesPerTargetPerS: rate, cpuPercent, entryVmCount, services } = answers
  const nodeCount = nodeCountMax(answers)
  if (rate === undefined || nodeCount === undefined) return
  const answerPath = ['measuring', 'probesPerTargetPerS']
  if (rate === 0) return report('warning', answerPath, 'without probes, the state of a target without traffic is unknown')
  const intervalS = nodeCount / rate
  if (intervalS > PROBE_INTERVAL_MAX_S) {
    report('fault', answerPath, `shared by up to ${nodeCount} entry VMs, the budget lets each probe a target once in ${Math.round(intervalS)} s, which is too rare to be useful; use at least ${nodeCount / PROBE_INTERVAL_MAX_S}, or 0 for none`)
  }
  const targetCount = services.reduce((sum, service) => sum + service.targets.length, 0)
  if (cpuPercent === undefined || entryVmCount === undefined) return
  const affordablePerS = affordableProbesPerS(entryVmCount, cpuPercent)
  if (targetCount * rate > affordablePerS) {
    report('fault', answerPath, `${targetCount} fixed targets at ${rate} probes per second need ${Math.round(targetCount * rate)} per second, but ${cpuPercent}% of a core on ${entryVmCount} entry VMs allows about ${Math.floor(affordablePerS)}; lower the rate or raise measuring.cpuPercent`)
  }
}

export const checkLimits: CrossCheck = (answers, report) => {
  checkZones(answers, report)
  checkConnections(answers, report)
  checkReuse(answers, report)
  checkProbes(answers, report)
}
