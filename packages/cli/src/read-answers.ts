/**
 * Reads an answers file.
 */
import { readFile } from 'node:fs/promises'
import type { Result } from '@wisteriavalve/common'
import { describeSystemError } from './system-error.js'
import type { ToolFailure } from './types.js'

export const readText = async (path: string): Promise<Result<string, ToolFailure>> => {
  try {
    return { ok: true, value: await readFile(path, 'utf8') }
  } catch (error) {
    return { ok: false, error: { result: 'answers-unreadable', message: `${path}: ${describeSystemError(error)}` } }
  }
}
