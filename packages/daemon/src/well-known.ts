/**
 * Paths on the callers' address that the node serves itself.
 */
import type { EntryAnswer } from '@wisteriavalve/schema'
import { sendFailureResponse, sendJsonResponse, type Call } from './adapters/caller-http.js'

const PREFIX = '/.well-known/wisteriavalve/'
const ZONE_LENGTH_MAX = 128

export type WellKnownSource = {
  isServing: () => boolean
  entryAnswer: (caller: { zone?: string }) => EntryAnswer
}

const zoneOf = (url: string): string | undefined => {
  const zone = new URLSearchParams(url.split('?', 2)[1] ?? '').get('zone')
  return zone === null || zone === '' || zone.length > ZONE_LENGTH_MAX ? undefined : zone
}

/** @returns false when the request is for a backend server */
export const serveWellKnown = (call: Call, source: WellKnownSource): boolean => {
  const { url = '', method } = call.req
  if (!url.startsWith(PREFIX)) return false
  const name = url.slice(PREFIX.length).split('?', 1)[0]
  if (method !== 'GET' && method !== 'HEAD') sendFailureResponse(call, 'request-malformed', { detail: 'this path only answers GET' })
  else if (name === 'ready' && source.isServing()) sendJsonResponse(call, 200, { ready: true })
  else if (name === 'entry' && source.isServing()) sendJsonResponse(call, 200, source.entryAnswer({ zone: zoneOf(url) }))
  else sendFailureResponse(call, name === 'ready' || name === 'entry' ? 'node-not-ready' : 'service-unknown', {})
  return true
}
