/**
 * Writes a configuration to a folder, one file for each key. The files are
 * written to a temporary folder beside the final one, which then takes its
 * place by rename: a crash leaves the old configuration or the new one, or for
 * a moment none, but never a part of one.
 */
import { mkdir, readdir, rename, rm, writeFile } from 'node:fs/promises'
import { dirname, join } from 'node:path'
import type { Result } from '@wisteriavalve/common'
import type { ConfigurationValue } from '@wisteriavalve/questionnaire'
import { describeSystemError } from './system-error.js'
import type { ToolFailure } from './types.js'

const GENERATED_NAMES = new Set(['head', 'value'])

/** Entries of a folder that generate did not write; empty when there is no folder. */
const findForeignEntries = async (folder: string): Promise<string[]> => {
  try {
    return (await readdir(folder)).filter(name => !GENERATED_NAMES.has(name))
  } catch (error) {
    if ((error as { code?: string }).code === 'ENOENT') return []
    throw error
  }
}

const writeValues = async (values: readonly ConfigurationValue[], prefix: string, folder: string): Promise<void> => {
  await mkdir(join(folder, 'value'), { recursive: true })
  for (const { key, bytes } of values) await writeFile(join(folder, key.slice(prefix.length)), bytes)
}

const replaceFolder = async (replacement: string, folder: string): Promise<void> => {
  const previous = `${replacement}.old`
  try {
    await rename(folder, previous)
  } catch (error) {
    if ((error as { code?: string }).code !== 'ENOENT') throw error
  }
  await rename(replacement, folder)
  await rm(previous, { recursive: true, force: true })
}

/** @returns the file of each key, in the order of the values */
export const writeConfiguration = async (
  values: readonly ConfigurationValue[], fleet: string, outDir: string
): Promise<Result<string[], ToolFailure>> => {
  const prefix = `wisteriavalve/${fleet}/`
  const folder = join(outDir, 'wisteriavalve', fleet)
  const temporary = join(outDir, 'wisteriavalve', `.${fleet}.${process.pid}.tmp`)
  try {
    const foreign = await findForeignEntries(folder)
    if (foreign.length > 0) {
      return { ok: false, error: { result: 'output-failed', message: `${folder} holds ${foreign[0]}, which generate did not write; choose another folder` } }
    }
    await mkdir(dirname(temporary), { recursive: true })
    await writeValues(values, prefix, temporary)
    await replaceFolder(temporary, folder)
    return { ok: true, value: values.map(({ key }) => join(outDir, key)) }
  } catch (error) {
    await rm(temporary, { recursive: true, force: true }).catch(() => undefined)
    return { ok: false, error: { result: 'output-failed', message: `cannot write to ${outDir}: ${describeSystemError(error)}` } }
  }
}
