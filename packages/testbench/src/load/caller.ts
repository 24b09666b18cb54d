/**
 * A caller as docs/interfaces.md section 1 describes it. It fetches the node
 * addresses, caches them for their lifetime, and fails over to the next address
 * when a connection cannot be opened or a node responds with result class
 * not-run and status 502 or 503.
 */
import http from 'node:http'
import { isEntryAnswer } from '@wisteriavalve/schema'
import { attempt, type AttemptResult } from './attempt.js'
import type { Address, CallOutcome, KindLoad } from './types.js'

export type CallerOptions = {
  /** Source address, in 127.0.0.0/8. */
  localAddress: string
  entryAddresses: readonly Address[]
  shouldFetchAddresses: boolean
  zone?: string
}

export type Caller = {
  /** @param startMs intended start, as performance.now() gives it */
  call: (kind: KindLoad, requestId: string, itemNumber: number, startMs: number) => Promise<CallOutcome>
  close: () => void
}

const ENTRY_TIMEOUT_MS = 1000

const fetchEntryAnswer = (agent: http.Agent, address: Address, zone: string | undefined): Promise<{ addresses: Address[], lifetimeMs: number } | undefined> =>
  new Promise(resolve => {
    const path = `/.well-known/wisteriavalve/entry${zone ? `?zone=${zone}` : ''}`
    const request = http.get({ agent, host: address.host, port: address.port, path, timeout: ENTRY_TIMEOUT_MS }, response => {
      let text = ''
      response.setEncoding('utf8')
      response.on('data', (chunk: string) => { text += chunk })
      response.on('error', () => resolve(undefined))
      response.on('end', () => {
        try {
          const answer: unknown = JSON.parse(text)
          resolve(isEntryAnswer(answer) && answer.addresses.length > 0 ? answer : undefined)
        } catch {
          resolve(undefined)
        }
      })
    })
    request.on('timeout', () => request.destroy())
    request.on('error', () => resolve(undefined))
  })

export const createCaller = (options: CallerOptions): Caller => {
  const agent = new http.Agent({ keepAlive: true, localAddress: options.localAddress, maxSockets: 256 })
  let addresses: readonly Address[] = options.entryAddresses
  let validUntilMs = options.shouldFetchAddresses ? 0 : Infinity
  let pendingRefresh: Promise<void> | undefined

  const fetchAddresses = async (): Promise<void> => {
    for (const address of new Set([...addresses, ...options.entryAddresses])) {
      const answer = await fetchEntryAnswer(agent, address, options.zone)
      if (!answer) continue
      addresses = answer.addresses
      validUntilMs = performance.now() + answer.lifetimeMs
      return
    }
  }
  const refresh = async (): Promise<void> => {
    if (performance.now() < validUntilMs) return
    pendingRefresh ??= fetchAddresses().finally(() => { pendingRefresh = undefined })
    await pendingRefresh
  }

  const tryAddresses = async (kind: KindLoad, requestId: string, itemNumber: number, deadlineMs: number): Promise<AttemptResult & { attempts: number, attemptMs: number }> => {
    let last: AttemptResult = { result: 'not-run', status: 0, code: 'no-address', canTryNext: false }
    let attempts = 0
    let startMs = performance.now()
    for (const address of addresses) {
      const timeoutMs = deadlineMs - performance.now()
      if (timeoutMs <= 0 && attempts > 0) break
      attempts++
      startMs = performance.now()
      last = await attempt({ agent, address, kind, requestId, path: kind.path.replaceAll('{n}', String(itemNumber)), timeoutMs })
      if (!last.canTryNext) break
    }
    return { ...last, attempts, attemptMs: performance.now() - startMs }
  }

  const call = async (kind: KindLoad, requestId: string, itemNumber: number, startMs: number): Promise<CallOutcome> => {
    await refresh()
    const outcome = await tryAddresses(kind, requestId, itemNumber, startMs + kind.deadlineMs)
    const latencyMs = performance.now() - startMs
    const isLate = outcome.result === 'in-time' && kind.boundedBy === 'deadline' && latencyMs > kind.deadlineMs
    return {
      requestId,
      service: kind.service,
      kind: kind.kind,
      idempotent: kind.idempotent,
      weight: kind.weight,
      result: isLate ? 'late' : outcome.result,
      status: outcome.status,
      code: outcome.code,
      answer: outcome.answer,
      latencyMs,
      attemptMs: outcome.attemptMs,
      endedMs: performance.timeOrigin + performance.now(),
      attempts: outcome.attempts
    }
  }

  return { call, close: () => agent.destroy() }
}
