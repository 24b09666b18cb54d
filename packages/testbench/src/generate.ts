/**
 * Generates a configuration from answers with the real command-line tool.
 */
import { execFile } from 'node:child_process'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import { readEntries, type ConfigurationEntry } from './platform/configuration-service.js'

const REPOSITORY_ROOT = fileURLToPath(new URL('../../../../', import.meta.url))
const CLI_PATH = path.join(REPOSITORY_ROOT, 'packages/cli/bin/wisteriavalve.js')

export const DEPLOYMENTS = ['okonkwo', 'authority'] as const
export type DeploymentName = typeof DEPLOYMENTS[number]

/** @throws Error with the output of the tool when its exit code is not 0 */
export const runCli = async (args: readonly string[]): Promise<string> =>
  (await promisify(execFile)(process.execPath, [CLI_PATH, ...args])).stdout

/** Configuration entries that the tool generates from an answers file. */
export const generateFrom = async (answersFile: string): Promise<ConfigurationEntry[]> => {
  const directory = await mkdtemp(path.join(tmpdir(), 'wisteriavalve-'))
  try {
    await runCli(['generate', answersFile, '--out', directory])
    return await readEntries(directory)
  } finally {
    await rm(directory, { recursive: true })
  }
}

export const generateExample = (name: DeploymentName): Promise<ConfigurationEntry[]> =>
  generateFrom(path.join(REPOSITORY_ROOT, 'examples', `${name}.yaml`))
