/**
 * Parses the load report header of a response (Open Request Cost Aggregation):
 * `TEXT name=value,...` or `JSON {...}`. Invalid parts are ignored, since a report
 * is only a hint.
 */
import type { LoadReport } from './types.js'

/** Larger headers are ignored to bound the parsing cost that a target can cause. */
const HEADER_LENGTH_MAX = 4096

type Metrics = { utilization: unknown, inFlight: unknown, slots: unknown }

const finiteNumber = (value: unknown): number | undefined => {
  const number = typeof value === 'string' && value.trim() !== '' ? Number(value) : value
  return typeof number === 'number' && Number.isFinite(number) && number >= 0 ? number : undefined
}

const readText = (text: string): Metrics => {
  const values = new Map<string, string>()
  for (const pair of text.split(',')) {
    const separator = pair.search(/[=:]/)
    if (separator > 0) values.set(pair.slice(0, separator).trim(), pair.slice(separator + 1).trim())
  }
  return {
    utilization: values.get('application_utilization'),
    inFlight: values.get('named_metrics.in_flight'),
    slots: values.get('named_metrics.slots')
  }
}

const isRecord = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value)

const readJson = (text: string): Metrics | undefined => {
  try {
    const value: unknown = JSON.parse(text)
    if (!isRecord(value)) return undefined
    const named = isRecord(value.named_metrics) ? value.named_metrics : {}
    return { utilization: value.application_utilization, inFlight: named.in_flight, slots: named.slots }
  } catch {
    return undefined
  }
}

const readMetrics = (header: string): Metrics | undefined => {
  const [, format, content] = /^\s*(TEXT|JSON)\s+(.*)$/s.exec(header) ?? []
  if (content === undefined) return undefined
  return format === 'TEXT' ? readText(content) : readJson(content)
}

/** @returns undefined when the header contains no valid metric */
export const parseLoadReport = (header: string | undefined): LoadReport | undefined => {
  if (header === undefined || header.length > HEADER_LENGTH_MAX) return undefined
  const metrics = readMetrics(header)
  if (!metrics) return undefined
  const report: LoadReport = {}
  const inFlight = finiteNumber(metrics.inFlight)
  const slots = finiteNumber(metrics.slots)
  const utilization = finiteNumber(metrics.utilization)
  if (inFlight !== undefined) report.inFlight = inFlight
  if (slots !== undefined && slots >= 1) report.slots = slots
  if (utilization !== undefined) report.utilization = utilization
  return Object.keys(report).length > 0 ? report : undefined
}
