/**
 * Calls of the admin procedures of one daemon.
 */
import { createTRPCClient, httpLink, TRPCClientError } from '@trpc/client'
import type { AdminRouter } from '@wisteriavalve/daemon/admin-api'

const createClient = (address: string) =>
  createTRPCClient<AdminRouter>({ links: [httpLink({ url: `http://${address}` })] })

export type AdminClient = ReturnType<typeof createClient>

export type AdminCall<T> = (client: AdminClient, signal: AbortSignal) => Promise<T>

const causeOf = (error: unknown): unknown => {
  const cause = error instanceof Error ? error.cause : undefined
  return cause === undefined ? error : causeOf(cause)
}

/** What went wrong, in words; fetch hides it in nested causes. */
const describeFailure = (error: unknown, timeoutMs: number): string => {
  const cause = causeOf(error) as { code?: string, name?: string, message?: string }
  if (cause.name === 'TimeoutError' || cause.name === 'AbortError') return `no answer within ${timeoutMs} ms`
  if (cause.code === 'ECONNREFUSED') return 'connection refused'
  if (cause instanceof SyntaxError) return 'the answer is not that of a daemon'
  if (error instanceof TRPCClientError && error.data) return `the daemon failed: ${error.message}`
  return cause.message || String(cause.code ?? error)
}

export type AdminAnswer<T> = { address: string, answer: T } | { address: string, failure: string }

export const callAdmin = async <T>(address: string, call: AdminCall<T>, timeoutMs: number): Promise<AdminAnswer<T>> => {
  try {
    return { address, answer: await call(createClient(address), AbortSignal.timeout(timeoutMs)) }
  } catch (error) {
    return { address, failure: describeFailure(error, timeoutMs) }
  }
}
