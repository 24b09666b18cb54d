/**
 * Client for the platform's VM list. A response that does not match the schema
 * is an error, and the previous list stays in use.
 */
import type { Result } from '@wisteriavalve/common'
import { explainErrors, isVmList, type VmList } from '@wisteriavalve/schema'
import { createHttpReader, parseJson } from './http-json.js'

export type VmListReader = {
  /** Returns the same object as before when the response has the same bytes. */
  read: (signal?: AbortSignal) => Promise<Result<VmList, string>>
  readCount: () => number
  close: () => Promise<void>
}

/** A list of 20,000 VMs has about 4 MB. */
const LIST_BYTES_MAX = 8_000_000
const READ_TIMEOUT_MS = 1500

export const createVmListReader = (url: string): VmListReader => {
  const reader = createHttpReader(LIST_BYTES_MAX)
  let readCount = 0
  let last: { body: Uint8Array, list: VmList } | undefined

  /** Skips parsing when the bytes are unchanged. With 14,000 VMs, parsing and validating the list every 2 s would use more CPU time than all other control work. */
  const parse = (body: Uint8Array): Result<VmList, string> => {
    if (last && Buffer.compare(last.body, body) === 0) return { ok: true, value: last.list }
    const list = parseJson(body)
    if (isVmList(list)) {
      last = { body, list }
      return { ok: true, value: list }
    }
    const schemaError = explainErrors(isVmList)[0]
    return { ok: false, error: `the VM list is invalid: ${schemaError?.path ?? ''} ${schemaError?.message ?? ''}` }
  }

  const read: VmListReader['read'] = async signal => {
    readCount++
    const response = await reader.get(url, { timeoutMs: READ_TIMEOUT_MS, signal })
    if (!response.ok) return response
    return response.value.status === 200 ? parse(response.value.body) : { ok: false, error: `HTTP status ${response.value.status}` }
  }
  return { read, readCount: () => readCount, close: reader.close }
}
