/**
 * Logs the begin and the end of each evacuation of a zone.
 */
import type { PublishedStateView } from '@wisteriavalve/fleet'
import type { Log } from '../types.js'

/** @param source origin of the change: the store, a peer's node id, or time for the end of a grace period */
export type ReportEvacuations = (zones: ReadonlySet<string>, view: PublishedStateView, source: string) => void

export const createEvacuationReporter = (log: Log): ReportEvacuations => {
  let reportedZones: ReadonlySet<string> = new Set()

  return (zones, { revision, restoreCount, targets }, source) => {
    const countTargets = (zone: string): number => targets.filter(target => target.zone === zone).length
    const fieldsOf = (zone: string): Record<string, string | number> => ({ zone, store_revision: revision, restore_count: restoreCount, source, targets: countTargets(zone) })
    for (const zone of zones) {
      if (reportedZones.has(zone)) continue
      log('evacuation_started', fieldsOf(zone))
      if (countTargets(zone) === 0) log('evacuation_without_targets', { zone })
    }
    for (const zone of reportedZones) if (!zones.has(zone)) log('evacuation_ended', fieldsOf(zone))
    reportedZones = zones
  }
}
