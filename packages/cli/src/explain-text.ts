/**
 * Events of all nodes in the order of time. Nodes often see the same thing
 * within moments, which is shown once.
 */
import type { EventEntry } from '@wisteriavalve/schema'
import { countOf } from './output.js'
import { COLUMNS, wrapText } from './text.js'
import { formatTimeOfDay, isDate } from './time.js'

export type NodeEvents = { nodeId: string, events: EventEntry[] }

export type MergedEvent = Omit<EventEntry, 'atMs'> & { nodeIds: string[], count: number }

/** Equal events of different nodes within this time are shown as one. */
const SAME_EVENT_MS = 10_000

export const mergeEvents = (nodes: readonly NodeEvents[]): MergedEvent[] => {
  const all = nodes
    .flatMap(({ nodeId, events }) => events.map(({ atMs, ...event }) => ({ ...event, nodeIds: [nodeId], count: 1 })))
    .filter(({ wallMs }) => isDate(wallMs))
    .sort((a, b) => a.wallMs - b.wallMs)
  const latest = new Map<string, MergedEvent>()
  const merged: MergedEvent[] = []
  for (const event of all) {
    const key = [event.event, event.requestId, event.text].join('\u0000')
    const earlier = latest.get(key)
    if (earlier && event.wallMs - earlier.wallMs <= SAME_EVENT_MS) {
      earlier.count++
      earlier.nodeIds = [...new Set([...earlier.nodeIds, ...event.nodeIds])].sort()
    } else {
      latest.set(key, event)
      merged.push(event)
    }
  }
  return merged
}

const describeNodes = ({ nodeIds, count }: MergedEvent): string => {
  const nodes = nodeIds.length === 1 ? nodeIds[0] : countOf(nodeIds.length, 'node')
  return count > nodeIds.length ? `${nodes}, ${count} times` : `${nodes}`
}

/** A line with the day before the first event of each day; times are UTC. */
export const describeEvents = (events: readonly MergedEvent[]): string[] => {
  let day = ''
  return events.flatMap(event => {
    const date = new Date(event.wallMs).toISOString().slice(0, 10)
    const heading = date === day ? [] : [`${date} UTC`]
    day = date
    const code = event.resultCode === undefined ? '' : ` ${event.resultCode}`
    return [...heading, ...wrapText(`  ${formatTimeOfDay(event.wallMs)} ${describeNodes(event)}:${code} ${event.text}`, COLUMNS, '           ')]
  })
}
