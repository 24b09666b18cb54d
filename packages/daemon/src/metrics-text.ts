/**
 * Text of the metrics in the Prometheus format.
 */
import { Counter, Gauge, Registry } from 'prom-client'
import type { Durations, Gauges, KindCounts } from './metrics.js'

const QUANTILES = [50, 90, 99, 99.9]

const addSummary = (registry: Registry, name: string, help: string, durations: Durations): void => {
  const gauge = new Gauge({
    name,
    help,
    labelNames: ['quantile'],
    registers: [registry],
    collect: () => {
      for (const quantile of QUANTILES) gauge.set({ quantile: String(quantile / 100) }, durations.quantileMs(quantile))
    }
  })
}

const addResults = (registry: Registry, results: ReadonlyMap<string, KindCounts>): void => {
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

const addGauges = (registry: Registry, gauges: Gauges): void => {
  const gauge = new Gauge({
    name: 'wisteriavalve_node',
    help: 'State and counts of this node, by name.',
    labelNames: ['name'],
    registers: [registry],
    collect: () => {
      for (const [name, value] of Object.entries(gauges())) gauge.set({ name }, value)
    }
  })
}

export type MetricsSources = {
  results: ReadonlyMap<string, KindCounts>
  answers: Durations
  dispatches: Durations
  gauges: Gauges
}

/** Reads the sources each time it is asked for the text. */
export const createMetricsText = ({ results, answers, dispatches, gauges }: MetricsSources): (() => Promise<string>) => {
  const registry = new Registry()
  addResults(registry, results)
  addSummary(registry, 'wisteriavalve_request_duration_ms', 'Time from arrival of a request to the end of its answer.', answers)
  addSummary(registry, 'wisteriavalve_dispatch_delay_ms', 'Time from arrival of a request to its first byte towards a backend server.', dispatches)
  addGauges(registry, gauges)
  return () => registry.metrics()
}
