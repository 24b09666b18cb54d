/**
 * `wisteriavalve preview`: where a request would go now, and why, without sending it.
 */
import type { PreviewQuery, RequestPreview } from '@wisteriavalve/daemon/admin-api'
import { addAdminOptions, gatherWithOptions, describeMissing, outcomeForData, type AdminOptions } from '../admin/options.js'
import { printJson, printLines } from '../output.js'
import { describePreview } from '../preview-text.js'
import type { CommandModule, Io, Outcome } from '../types.js'

type Options = AdminOptions & { method: string, host?: string, bodyBytes: string }

const METHOD = /^[A-Z]+$/

const isRequestPreview = (entry: unknown): boolean => {
  const { nodeId, services } = (entry ?? {}) as Partial<RequestPreview>
  return typeof nodeId === 'string' && Array.isArray(services)
}

const toQuery = (path: string, { method, host, bodyBytes }: Options): PreviewQuery | undefined => {
  const sizeBytes = Number(bodyBytes)
  if (!path.startsWith('/') || !METHOD.test(method) || !Number.isSafeInteger(sizeBytes) || sizeBytes < 0) return undefined
  return { method, path, ...(host !== undefined && { host }), bodyBytes: sizeBytes }
}

const run = async (path: string, options: Options, io: Io): Promise<Outcome> => {
  const query = toQuery(path, options)
  if (!query) return { failure: { result: 'usage', message: 'the path must start with /, the method be in capitals and the size of the body a whole number of at least 0' } }
  const data = await gatherWithOptions<RequestPreview>(
    options, io, async (client, signal) => ({ nodes: [await client.preview.query(query, { signal })], missing: [] }), isRequestPreview
  )
  if (!data.ok) return { failure: data.error }
  const { nodes, missing } = data.value
  if (options.json) printJson(io, { complete: missing.length === 0, query, nodes, missing })
  else printLines(io, [...describeMissing(data.value), ...nodes.flatMap(describePreview)])
  return outcomeForData(data.value)
}

export const previewCommand: CommandModule = {
  name: 'preview',
  register: (program, io, finish) => {
    addAdminOptions(program.command('preview')
      .argument('<path>', 'path of the request, with its query')
      .summary('show where a request would go now')
      .description(`Shows for each given daemon where a request would go now, and why. The request is
not sent; no target is asked, and no permit or allowance is used.`)
      .option('--method <method>', 'method of the request', 'GET')
      .option('--host <name>', 'host that the request names')
      .option('--body-bytes <bytes>', 'size of the body', '0'))
      .action(async (path: string, options: Options) => finish(await run(path, options, io), options))
  }
}
