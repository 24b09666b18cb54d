/**
 * Zones, connection shares and the probe budget.
 */
import type { AnswersView, CheckReport, CrossCheck } from './types.js'

/** Processor time of one probe on an entry VM, in ms: a small request on a connection that is open. */
const PROBE_CPU_MS = 0.3

/** A node that may probe a target less often than this learns nothing of use. */
const PROBE_INTERVAL_MAX_S = 3600

const MS_PER_S = 1000
const PERCENT = 100

const nodeCountMax = ({ entryVmCount, replacementOverlap }: AnswersView): number | undefined =>
  entryVmCount === undefined || replacementOverlap === undefined ? undefined : entryVmCount + replacementOverlap

const checkZones = ({ zones, services, entryVmCount, replacementOverlap }: AnswersView, report: CheckReport): void => {
  if (zones.length === 1) report('warning', ['zones'], 'with one zone, the loss of the zone is the loss of the fleet')
  if (entryVmCount !== undefined && entryVmCount < zones.length) {
    report('warning', ['entryVms', 'count'], `${entryVmCount} entry VMs leave some of the ${zones.length} zones without one`)
  }
  if (replacementOverlap === 0) {
    report('warning', ['entryVms', 'replacementOverlap'],
      'an entry VM that starts before the one it replaces has stopped takes targets above their connections and probes')
  }
  for (const { path, zone } of services.flatMap(({ targets }) => targets)) {
    if (zone !== undefined && zones.length > 0 && !zones.includes(zone)) {
      report('fault', [...path, 'zone'], `the zone ${zone} is not among the zones of the fleet: ${zones.join(', ')}`)
    }
  }
}

const checkConnections = (answers: AnswersView, report: CheckReport): void => {
  const nodes = nodeCountMax(answers)
  for (const { path, connectionsPerTarget, slotsPerTarget } of answers.services) {
    if (connectionsPerTarget === undefined) continue
    const place = [...path, 'connectionsPerTarget']
    if (nodes !== undefined && connectionsPerTarget < nodes) {
      report('fault', place, `${connectionsPerTarget} connections shared by up to ${nodes} entry VMs leave none for each; at least ${nodes} are needed`)
    } else if (slotsPerTarget !== undefined && connectionsPerTarget < slotsPerTarget) {
      report('warning', place, `${connectionsPerTarget} connections cannot use the ${slotsPerTarget} slots of a target, since a connection carries one request at a time`)
    }
  }
}

/** Probes that all nodes together can pay for from their share of the processor, per second. */
const affordableProbes = (entryVmCount: number, cpuPercent: number): number =>
  entryVmCount * cpuPercent / PERCENT * MS_PER_S / PROBE_CPU_MS

const checkProbes = (answers: AnswersView, report: CheckReport): void => {
  const { probesPerTargetPerS: rate, cpuPercent, entryVmCount, services } = answers
  const nodes = nodeCountMax(answers)
  if (rate === undefined || nodes === undefined) return
  const place = ['measuring', 'probesPerTargetPerS']
  if (rate === 0) return report('warning', place, 'without probes, nothing is known of a target that has no traffic')
  const intervalS = nodes / rate
  if (intervalS > PROBE_INTERVAL_MAX_S) {
    report('fault', place, `shared by up to ${nodes} entry VMs, the budget lets each probe a target once in ${Math.round(intervalS)} s, which is of no use; use at least ${nodes / PROBE_INTERVAL_MAX_S}, or 0 for none`)
  }
  const targets = services.reduce((sum, service) => sum + service.targets.length, 0)
  if (cpuPercent === undefined || entryVmCount === undefined) return
  const affordable = affordableProbes(entryVmCount, cpuPercent)
  if (targets * rate > affordable) {
    report('fault', place, `${targets} fixed targets at ${rate} probes a second are ${Math.round(targets * rate)} a second, but ${cpuPercent}% of a core on ${entryVmCount} entry VMs pays for about ${Math.floor(affordable)}; lower the rate or raise measuring.cpuPercent`)
  }
}

export const checkLimits: CrossCheck = (answers, report) => {
  checkZones(answers, report)
  checkConnections(answers, report)
  checkProbes(answers, report)
}
