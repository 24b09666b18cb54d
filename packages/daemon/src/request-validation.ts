/**
 * Validates a request before anything else: parses its control headers, finds
 * its service and kind, and refuses invalid requests without reading the body.
 */
import { classifyRequest, type ServiceIndex } from '@wisteriavalve/policy'
import type { Kind, ResultName, ServiceConfiguration } from '@wisteriavalve/schema'
import { isTooDeep, parseControlHeaders, type ControlHeaders } from './headers.js'
import type { Call } from './adapters/caller-http.js'
import type { HttpDialect } from './http-dialect.js'

export type CallValidation =
  | { ok: true, service: ServiceConfiguration, kind: Kind, path: string, control: ControlHeaders, allowedZones?: ReadonlySet<string> }
  | { ok: false, result: ResultName, detail?: string }

/** Path and host of a request target in origin-form or absolute-form; undefined for other forms. */
const pathOf = (target: string): { path: string, host?: string } | undefined => {
  if (target.startsWith('/')) return { path: target }
  const match = /^https?:\/\/([^/?#]+)(\/.*)?$/i.exec(target)
  return match ? { path: match[2] ?? '/', host: match[1] } : undefined
}

const hasRepeatedHost = (raw: readonly string[]): boolean => {
  let count = 0
  for (let index = 0; index < raw.length; index += 2) {
    const name = raw[index] as string
    if (name.length === 4 && name.toLowerCase() === 'host') count++
  }
  return count > 1
}

/** Only chunked is supported, because the body is framed again for the backend server. */
const hasOtherEncoding = (encoding: string | undefined): boolean => encoding !== undefined && encoding.toLowerCase() !== 'chunked'

const refuse = (result: ResultName, detail?: string): CallValidation => ({ ok: false, result, detail })

/** @param index undefined before the first configuration */
export const validateCall = ({ req }: Call, index: ServiceIndex | undefined, dialect: HttpDialect): CallValidation => {
  if (!index) return refuse('node-not-ready')
  const { headers, method = 'GET', url = '/' } = req
  const target = pathOf(url)
  if (!target) return refuse('request-malformed', 'the form of the request target is not supported')
  if (hasRepeatedHost(req.rawHeaders)) return refuse('request-malformed', 'repeated host')
  if (hasOtherEncoding(headers['transfer-encoding'])) return refuse('request-malformed', 'the transfer-encoding is not supported')
  const control = parseControlHeaders(headers, dialect)
  if ('invalid' in control) return refuse('request-malformed', `invalid ${control.invalid}`)
  if (isTooDeep(control.callDepth)) return refuse('call-too-deep')
  const classified = classifyRequest(index, { method, path: target.path, host: target.host ?? headers.host })
  if (!classified.ok) return refuse('service-unknown')
  const { service, kind, allowedZones } = classified
  if (Number(headers['content-length'] ?? 0) > kind.bodyBytesMax) return refuse('body-too-large')
  return { ok: true, service, kind, path: target.path, control, ...(allowedZones && { allowedZones }) }
}
