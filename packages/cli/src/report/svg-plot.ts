/**
 * Line plot as inline SVG: in-time share by the minute.
 */
import { formatMinute } from '../time.js'
import { MINUTE_MS } from './constants.js'
import type { Interval, MinutePoint } from './types.js'

const WIDTH = 720
const HEIGHT = 140
const LEFT = 60
const BOTTOM = 24
const TOP = 10
const PERCENT = 100

export type PlotLine = { percent: number, label: string }

const round = (value: number): string => value.toFixed(1)

const shareOf = ({ counts }: MinutePoint): number => counts.inTime / counts.requests * PERCENT

/** Minutes without requests break the line; they are not drawn as 0 or 100%. */
const splitRuns = (points: readonly MinutePoint[]): MinutePoint[][] => {
  const runs: MinutePoint[][] = []
  for (const point of points.filter(({ counts }) => counts.requests > 0)) {
    const last = runs.at(-1)
    if (last && point.minuteMs - (last.at(-1)?.minuteMs ?? 0) <= MINUTE_MS) last.push(point)
    else runs.push([point])
  }
  return runs
}

/** Lower end of the axis: below the lowest share, with some room. */
const axisMin = (points: readonly MinutePoint[], objectives: readonly PlotLine[]): number => {
  const shares = [...points.filter(({ counts }) => counts.requests > 0).map(shareOf), ...objectives.map(({ percent }) => percent)]
  const lowest = Math.min(PERCENT, ...shares)
  return Math.max(0, lowest - Math.max(0.05, (PERCENT - lowest) * 0.1))
}

export const plotInTime = (points: readonly MinutePoint[], span: Interval, objectives: readonly PlotLine[]): string => {
  const min = axisMin(points, objectives)
  const x = (atMs: number): number => LEFT + (atMs - span.fromMs) / Math.max(1, span.toMs - span.fromMs) * (WIDTH - LEFT - 10)
  // A point stands in the middle of its minute; data can begin or end within a minute.
  const xOfMinute = (minuteMs: number): number => x(Math.min(span.toMs, Math.max(span.fromMs, minuteMs + MINUTE_MS / 2)))
  const y = (percent: number): number => TOP + (PERCENT - percent) / (PERCENT - min) * (HEIGHT - TOP - BOTTOM)
  const line = (percent: number, kind: string): string =>
    `<line class="${kind}" x1="${LEFT}" x2="${WIDTH - 10}" y1="${round(y(percent))}" y2="${round(y(percent))}"/>`
  const label = (percent: number): string => `<text class="axis" x="${LEFT - 6}" y="${round(y(percent) + 4)}" text-anchor="end">${percent.toFixed(2)}%</text>`
  const time = (atMs: number, anchor: string): string =>
    `<text class="axis" x="${round(x(atMs))}" y="${HEIGHT - 6}" text-anchor="${anchor}">${formatMinute(atMs)}</text>`
  const paths = splitRuns(points).map(run => run.length === 1
    ? `<circle class="share" cx="${round(xOfMinute(run[0]?.minuteMs ?? 0))}" cy="${round(y(shareOf(run[0] as MinutePoint)))}" r="2"/>`
    : `<polyline class="share" points="${run.map(point => `${round(xOfMinute(point.minuteMs))},${round(y(shareOf(point)))}`).join(' ')}"/>`)
  return [
    `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" aria-label="share of requests in time, by the minute">`,
    line(PERCENT, 'grid'), line(min, 'grid'), label(PERCENT), label(min),
    ...objectives.map(({ percent, label: title }) => `<g>${line(percent, 'objective')}<title>${title}</title></g>`),
    ...paths, time(span.fromMs, 'start'), time(span.toMs, 'end'), '</svg>'
  ].join('')
}
