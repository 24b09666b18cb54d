/**
 * What a node knows of configurations that are newer than its own, for its logs,
 * status and metrics: which version peers have named, and how old its news of the
 * store is.
 */
import type { Clock } from '@wisteriavalve/common'
import type { StoreFollower } from './store-follower.js'

export type ConfigurationNews = {
  /** To be called with a version that a peer named by gossip. */
  recordHeard: (version: number) => void
  /** Newest version that this node or a peer has named; 0 before the first one. */
  newestVersion: () => number
  /** Why a newer configuration may be in force elsewhere; undefined if nothing says so. */
  describeDoubt: () => string | undefined
  /** Log fields that tell how this node came by a version; -1 for what is not known. */
  describeAdoption: (version: number) => { store_age_ms: number, heard_ms: number }
}

export type ConfigurationNewsOptions = {
  clock: Clock
  /** Version in force; -1 before the first one. */
  version: () => number
  follower: () => Pick<StoreFollower, 'ageMs' | 'ageBeforeResponseMs' | 'canBeFollowed'>
}

const wholeMs = (durationMs: number): number => Number.isFinite(durationMs) ? Math.round(durationMs) : -1

export const createConfigurationNews = ({ clock, version, follower }: ConfigurationNewsOptions): ConfigurationNews => {
  let heard = { version: -1, atMs: 0 }
  return {
    recordHeard: heardVersion => { if (heardVersion > heard.version) heard = { version: heardVersion, atMs: clock.nowMs() } },
    newestVersion: () => Math.max(0, heard.version, version()),
    describeDoubt: () => {
      if (heard.version > version()) return `a peer has named version ${heard.version}`
      const ageMs = follower().ageMs()
      return !follower().canBeFollowed() && Number.isFinite(ageMs) ? `the store was last heard of ${Math.round(ageMs)} ms ago` : undefined
    },
    describeAdoption: adopted => ({
      store_age_ms: wholeMs(follower().ageBeforeResponseMs()),
      heard_ms: heard.version === adopted ? wholeMs(clock.nowMs() - heard.atMs) : -1
    })
  }
}
