/**
 * Client for the admin procedures of one daemon.
 */
import { createTRPCClient, httpLink, TRPCClientError } from '@trpc/client'
import type { AdminRouter } from '@wisteriavalve/daemon/admin-api'

const createClient = (address: string) =>
  createTRPCClient<AdminRouter>({ links: [httpLink({ url: `http://${address}` })] })

export type AdminClient = ReturnType<typeof createClient>

export type AdminCall<T> = (client: AdminClient, signal: AbortSignal) => Promise<T>

const rootCauseOf = (error: unknown): unknown => {
  const cause = error instanceof Error ? error.cause : undefined
  return cause === undefined ? error : rootCauseOf(cause)
}

/** Readable reason of a failed call; fetch wraps the actual error in nested causes. */
const describeFailure = (error: unknown, timeoutMs: number): string => {
  const cause = rootCauseOf(error) as { code?: string, name?: string, message?: string }
  if (cause.name === 'TimeoutError' || cause.name === 'AbortError') return `no response within ${timeoutMs} ms`
  if (cause.code === 'ECONNREFUSED') return 'connection refused'
  if (cause instanceof SyntaxError) return 'the response is not from a wisteriavalve daemon'
  if (error instanceof TRPCClientError && error.data) return `the daemon failed: ${error.message}`
  return cause.message || String(cause.code ?? error)
}

export type AdminResponse<T> = { address: string, response: T } | { address: string, failure: string }

export const callAdmin = async <T>(address: string, call: AdminCall<T>, timeoutMs: number): Promise<AdminResponse<T>> => {
  try {
    return { address, response: await call(createClient(address), AbortSignal.timeout(timeoutMs)) }
  } catch (error) {
    return { address, failure: describeFailure(error, timeoutMs) }
  }
}
