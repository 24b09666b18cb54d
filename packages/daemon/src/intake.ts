/**
 * First steps of a request: reads its control headers, finds its service and
 * kind, and refuses what must not run. Nothing of a refused body is read.
 */
import { classifyRequest, type ServiceIndex } from '@wisteriavalve/policy'
import type { Kind, ResultName, ServiceConfiguration } from '@wisteriavalve/schema'
import { isTooDeep, parseControlHeaders, type ControlHeaders } from './headers.js'
import type { Call } from './adapters/caller-http.js'
import type { Wire } from './wire.js'

export type Examined =
  | { ok: true, service: ServiceConfiguration, kind: Kind, path: string, control: ControlHeaders }
  | { ok: false, result: ResultName, detail?: string }

/** Path of an origin-form or absolute-form request target; undefined for other forms. */
const pathOf = (target: string): { path: string, host?: string } | undefined => {
  if (target.startsWith('/')) return { path: target }
  const match = /^https?:\/\/([^/?#]+)(\/.*)?$/i.exec(target)
  return match ? { path: match[2] ?? '/', host: match[1] } : undefined
}

const isHostRepeated = (raw: readonly string[]): boolean => {
  let count = 0
  for (let index = 0; index < raw.length; index += 2) {
    const name = raw[index] as string
    if (name.length === 4 && name.toLowerCase() === 'host') count++
  }
  return count > 1
}

/** Only chunked can be passed on, because the body is framed anew. */
const hasOtherEncoding = (encoding: string | undefined): boolean => encoding !== undefined && encoding.toLowerCase() !== 'chunked'

const refuse = (result: ResultName, detail?: string): Examined => ({ ok: false, result, detail })

/** @param index undefined before the first configuration */
export const examineCall = ({ req }: Call, index: ServiceIndex | undefined, wire: Wire): Examined => {
  if (!index) return refuse('node-not-ready')
  const { headers, method = 'GET', url = '/' } = req
  const target = pathOf(url)
  if (!target) return refuse('request-malformed', 'the form of the request target is not supported')
  if (isHostRepeated(req.rawHeaders)) return refuse('request-malformed', 'repeated host')
  if (hasOtherEncoding(headers['transfer-encoding'])) return refuse('request-malformed', 'the transfer-encoding is not supported')
  const control = parseControlHeaders(headers, wire)
  if ('invalid' in control) return refuse('request-malformed', `invalid ${control.invalid}`)
  if (isTooDeep(control.depth)) return refuse('call-too-deep')
  const classified = classifyRequest(index, { method, path: target.path, host: target.host ?? headers.host })
  if (!classified.ok) return refuse('service-unknown')
  const { service, kind } = classified
  if (Number(headers['content-length'] ?? 0) > kind.bodyBytesMax) return refuse('body-too-large')
  return { ok: true, service, kind, path: target.path, control }
}
