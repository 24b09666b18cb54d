/**
 * Line plot as inline SVG: share of requests in time for each minute.
 */
import { formatDateTime } from '../time.js'
import { MINUTE_MS } from './constants.js'
import type { Interval, MinutePoint } from './types.js'

const WIDTH = 720
const HEIGHT = 140
const LEFT = 60
const BOTTOM = 24
const TOP = 10
const PERCENT = 100

export type ObjectiveLine = { percent: number, label: string }

const formatCoordinate = (value: number): string => value.toFixed(1)

const inTimePercentOf = ({ counts }: MinutePoint): number => counts.inTime / counts.requests * PERCENT

/** Splits the line at minutes without requests, which are drawn neither as 0% nor as 100%. */
const splitAtGaps = (points: readonly MinutePoint[]): MinutePoint[][] => {
  const segments: MinutePoint[][] = []
  for (const point of points.filter(({ counts }) => counts.requests > 0)) {
    const last = segments.at(-1)
    if (last && point.minuteMs - (last.at(-1)?.minuteMs ?? 0) <= MINUTE_MS) last.push(point)
    else segments.push([point])
  }
  return segments
}

/** Lower end of the axis: slightly below the lowest share. */
const axisMinPercent = (points: readonly MinutePoint[], objectives: readonly ObjectiveLine[]): number => {
  const shares = [...points.filter(({ counts }) => counts.requests > 0).map(inTimePercentOf), ...objectives.map(({ percent }) => percent)]
  const lowest = Math.min(PERCENT, ...shares)
  return Math.max(0, lowest - Math.max(0.05, (PERCENT - lowest) * 0.1))
}

export const plotInTime = (points: readonly MinutePoint[], span: Interval, objectives: readonly ObjectiveLine[]): string => {
  const minPercent = axisMinPercent(points, objectives)
  const x = (atMs: number): number => LEFT + (atMs - span.fromMs) / Math.max(1, span.toMs - span.fromMs) * (WIDTH - LEFT - 10)
  // A point is drawn in the middle of its minute, but within the span: data can begin or end within a minute.
  const xOfMinute = (minuteMs: number): number => x(Math.min(span.toMs, Math.max(span.fromMs, minuteMs + MINUTE_MS / 2)))
  const y = (percent: number): number => TOP + (PERCENT - percent) / (PERCENT - minPercent) * (HEIGHT - TOP - BOTTOM)
  const line = (percent: number, className: string): string =>
    `<line class="${className}" x1="${LEFT}" x2="${WIDTH - 10}" y1="${formatCoordinate(y(percent))}" y2="${formatCoordinate(y(percent))}"/>`
  const label = (percent: number): string => `<text class="axis" x="${LEFT - 6}" y="${formatCoordinate(y(percent) + 4)}" text-anchor="end">${percent.toFixed(2)}%</text>`
  const time = (atMs: number, anchor: string): string =>
    `<text class="axis" x="${formatCoordinate(x(atMs))}" y="${HEIGHT - 6}" text-anchor="${anchor}">${formatDateTime(atMs)}</text>`
  const paths = splitAtGaps(points).map(segment => segment.length === 1
    ? `<circle class="share" cx="${formatCoordinate(xOfMinute(segment[0]?.minuteMs ?? 0))}" cy="${formatCoordinate(y(inTimePercentOf(segment[0] as MinutePoint)))}" r="2"/>`
    : `<polyline class="share" points="${segment.map(point => `${formatCoordinate(xOfMinute(point.minuteMs))},${formatCoordinate(y(inTimePercentOf(point)))}`).join(' ')}"/>`)
  return [
    `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" aria-label="share of requests in time, by the minute">`,
    line(PERCENT, 'grid'), line(minPercent, 'grid'), label(PERCENT), label(minPercent),
    ...objectives.map(({ percent, label: title }) => `<g>${line(percent, 'objective')}<title>${title}</title></g>`),
    ...paths, time(span.fromMs, 'start'), time(span.toMs, 'end'), '</svg>'
  ].join('')
}
