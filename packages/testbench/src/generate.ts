/**
 * Runs the real command-line tool to generate a configuration from answers.
 */
import { execFile } from 'node:child_process'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import { readEntries, type ConfigurationEntry } from './platform/configuration-service.js'

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url))
const TOOL = path.join(ROOT, 'packages/cli/bin/wisteriavalve.js')

export const DEPLOYMENTS = ['okonkwo', 'authority'] as const
export type DeploymentName = typeof DEPLOYMENTS[number]

/** @throws Error with the tool's output when it does not exit with 0 */
export const runTool = async (args: readonly string[]): Promise<string> =>
  (await promisify(execFile)(process.execPath, [TOOL, ...args])).stdout

/** Entries that the tool generates from an answers file. */
export const generateFrom = async (answersFile: string): Promise<ConfigurationEntry[]> => {
  const directory = await mkdtemp(path.join(tmpdir(), 'wisteriavalve-'))
  try {
    await runTool(['generate', answersFile, '--out', directory])
    return await readEntries(directory)
  } finally {
    await rm(directory, { recursive: true })
  }
}

export const generateExample = (name: DeploymentName): Promise<ConfigurationEntry[]> =>
  generateFrom(path.join(ROOT, 'examples', `${name}.yaml`))
