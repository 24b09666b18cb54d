/**
 * The zones whose targets must get no requests, as an operator requests it in the
 * store. An evacuation ends when its key is removed. One that is only missing
 * from the whole state, read soon after the store was unreachable or restored
 * from an older copy, stays in force for a grace period, because the restored
 * copy may lack a key that the operators' tooling is about to write again.
 */
import type { PublishedChange } from './types.js'

export type EvacuationChange = Extract<PublishedChange, { type: 'evacuation' }>

export type Evacuations = {
  apply: (change: Pick<EvacuationChange, 'zone' | 'isActive'>) => void
  /**
   * Applies the zones of the whole state.
   * @param keptUntilMs time until which zones that it does not list stay evacuated
   * @param isRestored whether the state is the first one after a restore of the store
   */
  applyAll: (zones: readonly string[], keptUntilMs: number, isRestored: boolean) => void
  /** Ends the evacuations whose grace period is over. */
  expire: (nowMs: number) => void
  /** Zones that are evacuated now. */
  zones: () => ReadonlySet<string>
  /** Zones as the store lists them, without those in their grace period. */
  listedZones: () => string[]
  /** Returns the evacuated zones if they changed since the last call. */
  takeChange: () => ReadonlySet<string> | undefined
}

/** Time until which a listed zone stays evacuated. */
const LISTED = Infinity

export const createEvacuations = (): Evacuations => {
  const keptUntilMsByZone = new Map<string, number>()
  let isChanged = false

  const begin = (zone: string): void => {
    if (!keptUntilMsByZone.has(zone)) isChanged = true
    keptUntilMsByZone.set(zone, LISTED)
  }

  const end = (zone: string): void => { if (keptUntilMsByZone.delete(zone)) isChanged = true }

  const zones = (): ReadonlySet<string> => new Set(keptUntilMsByZone.keys())

  return {
    apply: ({ zone, isActive }) => {
      if (isActive) begin(zone)
      else end(zone)
    },
    applyAll: (listed, keptUntilMs, isRestored) => {
      for (const zone of listed) begin(zone)
      for (const [zone, previousMs] of keptUntilMsByZone) {
        if (!listed.includes(zone) && (isRestored || previousMs === LISTED)) keptUntilMsByZone.set(zone, keptUntilMs)
      }
    },
    expire: nowMs => { for (const [zone, keptUntilMs] of keptUntilMsByZone) if (nowMs >= keptUntilMs) end(zone) },
    zones,
    listedZones: () => [...keptUntilMsByZone].flatMap(([zone, keptUntilMs]) => keptUntilMs === LISTED ? zone : []),
    takeChange: () => {
      if (!isChanged) return undefined
      isChanged = false
      return zones()
    }
  }
}

/** Changes as nodes send them to each other. */
export type SentChanges = { changes: PublishedChange[], evacuations?: EvacuationChange[] }

const isEvacuation = (change: PublishedChange): change is EvacuationChange => change.type === 'evacuation'

/** Separates the evacuations, because a node of an earlier release fails at a change of a type that it does not know. */
export const toSentChanges = (changes: readonly PublishedChange[]): SentChanges => {
  const evacuations = changes.filter(isEvacuation)
  return { changes: changes.filter(change => !isEvacuation(change)), ...(evacuations.length > 0 && { evacuations }) }
}

export const fromSentChanges = ({ changes, evacuations = [] }: SentChanges): PublishedChange[] => [...changes, ...evacuations]
