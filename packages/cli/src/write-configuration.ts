/**
 * Writes a configuration to a folder, one file for each key. The files are
 * written to a temporary folder next to the final one, which is then replaced
 * by rename. A crash leaves the old or the new configuration, or none if it
 * happens between the two renames, but never a partial one.
 */
import { mkdir, readdir, rename, rm, writeFile } from 'node:fs/promises'
import { dirname, join } from 'node:path'
import type { Result } from '@wisteriavalve/common'
import type { ConfigurationValue } from '@wisteriavalve/questionnaire'
import { describeSystemError } from './system-error.js'
import type { ToolFailure } from './types.js'

const GENERATED_NAMES = new Set(['head', 'value'])

/** Entries of a folder that generate did not write; empty when the folder does not exist. */
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

/** @returns the path of the file of each key, in the order of the values */
export const writeConfiguration = async (
  values: readonly ConfigurationValue[], fleet: string, outDir: string
): Promise<Result<string[], ToolFailure>> => {
  const prefix = `wisteriavalve/${fleet}/`
  const folder = join(outDir, 'wisteriavalve', fleet)
  const temporaryFolder = join(outDir, 'wisteriavalve', `.${fleet}.${process.pid}.tmp`)
  try {
    const foreignEntries = await findForeignEntries(folder)
    if (foreignEntries.length > 0) {
      return { ok: false, error: { result: 'output-failed', message: `${folder} contains ${foreignEntries[0]}, which generate did not write; choose another folder` } }
    }
    await mkdir(dirname(temporaryFolder), { recursive: true })
    await writeValues(values, prefix, temporaryFolder)
    await replaceFolder(temporaryFolder, folder)
    return { ok: true, value: values.map(({ key }) => join(outDir, key)) }
  } catch (error) {
    await rm(temporaryFolder, { recursive: true, force: true }).catch(() => undefined)
    return { ok: false, error: { result: 'output-failed', message: `cannot write to ${outDir}: ${describeSystemError(error)}` } }
  }
}
