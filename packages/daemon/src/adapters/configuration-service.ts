/**
 * Read-only client of the configuration service through the Consul KV HTTP
 * API. Only the head is watched; each value is read once by its hash.
 */
import type { Result } from '@wisteriavalve/common'
import { createHttpReader, parseJson, type HttpResponse } from './http-json.js'

export type HeadRead = {
  /** Index for the next watch; 0 when the response has none. */
  index: number
  /** Undefined when no head is published. */
  head?: { revision: number, bytes: Uint8Array }
}

export type ConfigurationService = {
  /** With an index above 0, the service holds the call until the head changes or the watch times out. */
  readHead: (index: number, signal?: AbortSignal) => Promise<Result<HeadRead, string>>
  /** The result is undefined when the value does not exist. */
  readValue: (hash: string, signal?: AbortSignal) => Promise<Result<Uint8Array | undefined, string>>
  /** Number of calls so far; a watch counts once. */
  readCount: () => number
  close: () => Promise<void>
}

/** A value has at most 1 MB, which is 1.4 MB in base64. */
const RESPONSE_BYTES_MAX = 1_600_000
const READ_TIMEOUT_MS = 2000
const WATCH_S = 10
/** Consul adds up to a sixteenth of the wait as jitter. */
const WATCH_TIMEOUT_MS = WATCH_S * 1000 * 17 / 16 + READ_TIMEOUT_MS

const isKvEntry = (value: unknown): value is { Value: string, ModifyIndex: number } =>
  typeof value === 'object' && value !== null &&
  'Value' in value && typeof value.Value === 'string' &&
  'ModifyIndex' in value && Number.isSafeInteger(value.ModifyIndex) && (value.ModifyIndex as number) >= 0

const parseKvEntry = (response: HttpResponse): Result<{ revision: number, bytes: Uint8Array } | undefined, string> => {
  if (response.status === 404) return { ok: true, value: undefined }
  if (response.status !== 200) return { ok: false, error: `HTTP status ${response.status}` }
  const entries = parseJson(response.body)
  const entry: unknown = Array.isArray(entries) ? entries[0] : undefined
  if (!isKvEntry(entry)) return { ok: false, error: 'the response is not a Consul KV entry' }
  return { ok: true, value: { revision: entry.ModifyIndex, bytes: Buffer.from(entry.Value, 'base64') } }
}

const parseIndex = (response: HttpResponse): number => {
  const index = Number(response.header('x-consul-index'))
  return Number.isSafeInteger(index) && index > 0 ? index : 0
}

export const createConfigurationService = (options: { url: string, fleet: string }): ConfigurationService => {
  const reader = createHttpReader(RESPONSE_BYTES_MAX)
  const baseUrl = `${options.url.replace(/\/$/, '')}/v1/kv/wisteriavalve/${encodeURIComponent(options.fleet)}`
  let readCount = 0

  const readHead: ConfigurationService['readHead'] = async (index, signal) => {
    readCount++
    const query = index > 0 ? `?index=${index}&wait=${WATCH_S}s` : ''
    const response = await reader.get(`${baseUrl}/head${query}`, { timeoutMs: index > 0 ? WATCH_TIMEOUT_MS : READ_TIMEOUT_MS, signal })
    if (!response.ok) return response
    const head = parseKvEntry(response.value)
    return head.ok ? { ok: true, value: { index: parseIndex(response.value), head: head.value } } : head
  }

  const readValue: ConfigurationService['readValue'] = async (hash, signal) => {
    readCount++
    const response = await reader.get(`${baseUrl}/value/${hash}`, { timeoutMs: READ_TIMEOUT_MS, signal })
    if (!response.ok) return response
    const value = parseKvEntry(response.value)
    return value.ok ? { ok: true, value: value.value?.bytes } : value
  }

  return { readHead, readValue, readCount: () => readCount, close: reader.close }
}
