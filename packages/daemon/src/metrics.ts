/**
 * Counters and latency histograms of a node in the Prometheus exposition
 * format. The request path updates them directly; gauges are read on each
 * scrape.
 */
import { Counter, Histogram, Registry } from 'prom-client'
import type { Kind, ResultClass } from '@wisteriavalve/schema'
import { registerGauges, type GaugeSources } from './metrics-gauges.js'

/** Upper bounds of the histogram buckets for request durations, which range from a few ms to minutes. */
const DURATION_BOUNDS_MS = [5, 10, 25, 50, 100, 200, 300, 400, 600, 800, 1_000, 1_500, 2_000, 3_000, 5_000, 10_000, 30_000]
/** Upper bounds of the histogram buckets for delays that should stay within a few ms. */
const DELAY_BOUNDS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 5_000]

/** How a request ended: answered, or whether a failed request was run. */
export type RequestOutcome = 'answered' | ResultClass

export type CounterName = 'retries' | 'hedges' | 'refused' | 'pauses' | 'retired_connections' | 'load_probes' | 'limited_target_requests' | 'relayed_requests' | 'refused_relays' | 'short_bodies' | 'library_exceptions'

export type Metrics = {
  /** @param result answered, or a result code */
  countResult: (service: string, kind: Kind, result: string) => void
  /** Time from the arrival of a request to its end. */
  recordDuration: (service: string, kind: Kind, outcome: RequestOutcome, durationMs: number) => void
  /** Time from the arrival of an answered request to its first byte towards a backend server. */
  recordDispatch: (service: string, kind: Kind, delayMs: number) => void
  recordLoopDelay: (delayMs: number) => void
  increment: (counter: CounterName) => void
  /** Totals by name, for the status of the node. */
  counters: () => Record<string, number>
  text: () => Promise<string>
}

type KindCounts = { service: string, kind: string, byResult: Map<string, number> }

const registerResults = (registry: Registry, results: ReadonlyMap<string, KindCounts>): void => {
  const counter = new Counter({
    name: 'wisteriavalve_requests_total',
    help: 'Requests by service, kind and result; answered, or a result code.',
    labelNames: ['service', 'kind', 'result'],
    registers: [registry],
    collect: () => {
      counter.reset()
      for (const { service, kind, byResult } of results.values()) {
        for (const [result, count] of byResult) counter.inc({ service, kind, result }, count)
      }
    }
  })
}

export const createMetrics = (sources: GaugeSources): Metrics => {
  const registry = new Registry()
  const results = new Map<string, KindCounts>()
  const counts: Record<CounterName, number> = { retries: 0, hedges: 0, refused: 0, pauses: 0, retired_connections: 0, load_probes: 0, limited_target_requests: 0, relayed_requests: 0, refused_relays: 0, short_bodies: 0, library_exceptions: 0 }
  registerResults(registry, results)
  const durations = new Histogram({
    name: 'wisteriavalve_request_duration_ms',
    help: 'Time from the arrival of a request to its end, by outcome: answered, not-run or outcome-unknown.',
    labelNames: ['service', 'kind', 'outcome'],
    buckets: DURATION_BOUNDS_MS,
    registers: [registry]
  })
  const dispatches = new Histogram({
    name: 'wisteriavalve_dispatch_delay_ms',
    help: 'Time from the arrival of an answered request to its first byte towards a backend server.',
    labelNames: ['service', 'kind'],
    buckets: DELAY_BOUNDS_MS,
    registers: [registry]
  })
  const loopDelays = new Histogram({
    name: 'wisteriavalve_event_loop_delay_ms',
    help: 'Delay of a timer of the process, measured about 20 times a second.',
    buckets: DELAY_BOUNDS_MS,
    registers: [registry]
  })
  const registerNewNames = registerGauges(registry, { ...sources, counters: () => ({ ...counts, ...sources.counters() }) })

  const countResult = (service: string, kind: Kind, result: string): void => {
    const key = `${service} ${kind.name}`
    let entry = results.get(key)
    if (!entry) results.set(key, entry = { service, kind: kind.name, byResult: new Map() })
    entry.byResult.set(result, (entry.byResult.get(result) ?? 0) + 1)
  }

  const resultTotals = (): Record<string, number> => {
    const totals: Record<string, number> = {}
    for (const { byResult } of results.values()) {
      for (const [result, count] of byResult) totals[`result_${result}`] = (totals[`result_${result}`] ?? 0) + count
    }
    return totals
  }

  return {
    countResult,
    recordDuration: (service, kind, outcome, durationMs) => durations.observe({ service, kind: kind.name, outcome }, durationMs),
    recordDispatch: (service, kind, delayMs) => dispatches.observe({ service, kind: kind.name }, delayMs),
    recordLoopDelay: delayMs => loopDelays.observe(delayMs),
    increment: counter => { counts[counter]++ },
    counters: () => ({ ...resultTotals(), ...counts, ...sources.counters(), ...sources.gauges() }),
    text: () => {
      registerNewNames()
      return registry.metrics()
    }
  }
}
