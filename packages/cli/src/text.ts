/**
 * Text layout for terminals of 80 columns.
 */
export const TERMINAL_COLUMNS = 80

/** Breaks lines at spaces; words longer than a line are not split. The first line keeps its indent. */
export const wrapText = (text: string, width: number, indent: string): string[] => {
  const firstIndent = /^ */.exec(text)?.[0] ?? ''
  const lines: string[] = []
  let line = ''
  for (const word of text.trim().split(/ +/)) {
    const prefix = lines.length === 0 ? firstIndent : indent
    if (line !== '' && prefix.length + line.length + 1 + word.length > width) {
      lines.push(prefix + line)
      line = word
    } else {
      line = line === '' ? word : `${line} ${word}`
    }
  }
  lines.push((lines.length === 0 ? firstIndent : indent) + line)
  return lines
}

/** Truncates text that does not fit and marks the cut with three dots. */
export const truncateText = (text: string, width: number): string =>
  text.length <= width ? text : `${text.slice(0, Math.max(0, width - 3))}...`.slice(0, width)

type Column = { title: string, align?: 'right' }

/** Table with two spaces between columns; lines longer than the width are truncated. */
export const formatTable = (columns: readonly Column[], rows: readonly (readonly string[])[], width = TERMINAL_COLUMNS): string[] => {
  const widths = columns.map(({ title }, index) => Math.max(title.length, ...rows.map(row => row[index]?.length ?? 0)))
  const formatRow = (cells: readonly string[]): string => truncateText(columns
    .map(({ align }, index) => {
      const cell = cells[index] ?? ''
      return align === 'right' ? cell.padStart(widths[index] ?? 0) : index === columns.length - 1 ? cell : cell.padEnd(widths[index] ?? 0)
    }).join('  ').trimEnd(), width)
  return [columns.map(({ title }) => title), ...rows].map(formatRow)
}
