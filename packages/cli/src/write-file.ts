/**
 * Writes single files so that a crash never leaves a part of one.
 */
import { link, rename, rm, writeFile } from 'node:fs/promises'
import type { Result } from '@wisteriavalve/common'
import { describeSystemError } from './system-error.js'
import type { ToolFailure } from './types.js'

const hint = (error: unknown): string => (error as { code?: string }).code === 'EEXIST' ? '; add --force to replace it' : ''

/** @param replace without it, a file that exists is left as it is and the call fails */
export const writeWhole = async (path: string, text: string, replace: boolean): Promise<Result<string, ToolFailure>> => {
  const temporary = `${path}.${process.pid}.tmp`
  try {
    await writeFile(temporary, text, { flag: 'wx' })
    // A hard link fails when the name is taken, which rename would not.
    if (replace) await rename(temporary, path)
    else await link(temporary, path)
    return { ok: true, value: path }
  } catch (error) {
    return { ok: false, error: { result: 'output-failed', message: `cannot write ${path}: ${describeSystemError(error)}${hint(error)}` } }
  } finally {
    await rm(temporary, { force: true }).catch(() => undefined)
  }
}

/** Writes beside files of the same name: FILE, FILE-2, FILE-3. */
export const writeBeside = async (path: string, text: string): Promise<Result<string, ToolFailure>> => {
  const NAMES_MAX = 100
  for (let number = 2; ; number++) {
    const name = number === 2 ? path : `${path}-${number - 1}`
    const written = await writeWhole(name, text, false)
    if (written.ok || number > NAMES_MAX || !written.error.message.includes('exists already')) return written
  }
}
