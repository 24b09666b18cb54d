/**
 * Formats result rows as key=value pairs.
 */

export type Row = Record<string, string | number | boolean | undefined>

const toText = (value: string | number | boolean): string =>
  typeof value === 'number' && !Number.isInteger(value) ? String(Number(value.toPrecision(4))) : String(value)

export const formatRow = (row: Row): string =>
  Object.entries(row)
    .filter((pair): pair is [string, string | number | boolean] => pair[1] !== undefined)
    .map(([key, value]) => `${key}=${toText(value)}`)
    .join(' ')
