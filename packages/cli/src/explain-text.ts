/**
 * Events of all nodes in chronological order. Several nodes often record the
 * same event within seconds; such events are merged into one.
 */
import type { EventEntry } from '@wisteriavalve/schema'
import { formatCount } from './output.js'
import { TERMINAL_COLUMNS, wrapText } from './text.js'
import { formatTimeOfDay, isValidTime } from './time.js'

export type NodeEvents = { nodeId: string, events: EventEntry[] }

export type MergedEvent = Omit<EventEntry, 'atMs'> & { nodeIds: string[], count: number }

/** Equal events within this time after the first one are merged into it. */
const DUPLICATE_WINDOW_MS = 10_000

export const mergeEvents = (nodes: readonly NodeEvents[]): MergedEvent[] => {
  const all = nodes
    .flatMap(({ nodeId, events }) => events.map(({ atMs, ...event }) => ({ ...event, nodeIds: [nodeId], count: 1 })))
    .filter(({ wallMs }) => isValidTime(wallMs))
    .sort((a, b) => a.wallMs - b.wallMs)
  const latestByKey = new Map<string, MergedEvent>()
  const merged: MergedEvent[] = []
  for (const event of all) {
    const key = [event.event, event.requestId, event.text].join('\u0000')
    const earlier = latestByKey.get(key)
    if (earlier && event.wallMs - earlier.wallMs <= DUPLICATE_WINDOW_MS) {
      earlier.count++
      earlier.nodeIds = [...new Set([...earlier.nodeIds, ...event.nodeIds])].sort()
    } else {
      latestByKey.set(key, event)
      merged.push(event)
    }
  }
  return merged
}

const describeNodes = ({ nodeIds, count }: MergedEvent): string => {
  const nodes = nodeIds.length === 1 ? nodeIds[0] : formatCount(nodeIds.length, 'node')
  return count > nodeIds.length ? `${nodes}, ${count} times` : `${nodes}`
}

/** Prints a line with the date before the first event of each day; times are UTC. */
export const describeEvents = (events: readonly MergedEvent[]): string[] => {
  let currentDate = ''
  return events.flatMap(event => {
    const date = new Date(event.wallMs).toISOString().slice(0, 10)
    const heading = date === currentDate ? [] : [`${date} UTC`]
    currentDate = date
    const code = event.resultCode === undefined ? '' : ` ${event.resultCode}`
    return [...heading, ...wrapText(`  ${formatTimeOfDay(event.wallMs)} ${describeNodes(event)}:${code} ${event.text}`, TERMINAL_COLUMNS, '           ')]
  })
}
