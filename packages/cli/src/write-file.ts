/**
 * Writes single files atomically: a crash never leaves a partial file.
 */
import { link, rename, rm, writeFile } from 'node:fs/promises'
import type { Result } from '@wisteriavalve/common'
import { describeSystemError } from './system-error.js'
import type { ToolFailure } from './types.js'

const overwriteHint = (error: unknown): string => (error as { code?: string }).code === 'EEXIST' ? '; add --force to replace it' : ''

/** @param shouldReplace when false, an existing file is left unchanged and the call fails */
export const writeFileAtomically = async (path: string, text: string, shouldReplace: boolean): Promise<Result<string, ToolFailure>> => {
  const temporaryPath = `${path}.${process.pid}.tmp`
  try {
    await writeFile(temporaryPath, text, { flag: 'wx' })
    // link() fails when the name is taken; rename() would replace the file.
    if (shouldReplace) await rename(temporaryPath, path)
    else await link(temporaryPath, path)
    return { ok: true, value: path }
  } catch (error) {
    return { ok: false, error: { result: 'output-failed', message: `cannot write ${path}: ${describeSystemError(error)}${overwriteHint(error)}` } }
  } finally {
    await rm(temporaryPath, { force: true }).catch(() => undefined)
  }
}

/** Writes under the first unused name of FILE, FILE-2, FILE-3 and so on. */
export const writeToUnusedName = async (path: string, text: string): Promise<Result<string, ToolFailure>> => {
  const NAMES_MAX = 100
  for (let number = 2; ; number++) {
    const name = number === 2 ? path : `${path}-${number - 1}`
    const written = await writeFileAtomically(name, text, false)
    if (written.ok || number > NAMES_MAX || !written.error.message.includes('exists already')) return written
  }
}
