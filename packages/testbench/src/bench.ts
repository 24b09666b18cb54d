/**
 * `npm run bench -- NAME...`: runs the named benches and prints their results as
 * key=value rows, each with the commit.
 */
import { execFileSync } from 'node:child_process'
import { writeFile } from 'node:fs/promises'
import { Argument, Command, InvalidArgumentError, Option } from 'commander'
import { BENCHES } from './benches/index.js'
import { formatRow, type Row } from './format-row.js'
import { DEPLOYMENTS, type DeploymentName } from './generate.js'

type Options = { seed: number, seeds: number, deployment: DeploymentName, json?: string }

const SEED_COUNT = 3

const toInteger = (text: string): number => {
  const value = Number(text)
  if (!Number.isInteger(value) || value < 0) throw new InvalidArgumentError('must be a non-negative integer')
  return value
}

/** Commit of the working tree, with a plus sign when tracked files have changed since. */
const readCommit = (): string => {
  const git = (...args: string[]): string => execFileSync('git', args, { encoding: 'utf8' }).trim()
  try {
    return git('rev-parse', '--short', 'HEAD') + (git('status', '--porcelain', '--untracked-files=no') === '' ? '' : '+')
  } catch {
    return 'unknown'
  }
}

const runBenches = async (names: readonly string[], options: Options): Promise<void> => {
  const commit = readCommit()
  const rows: Row[] = []
  for (const name of names) {
    await BENCHES[name]?.run({
      seeds: Array.from({ length: options.seeds }, (_, index) => options.seed + index),
      deployment: options.deployment,
      report: row => {
        const fullRow = { bench: name, commit, deployment: options.deployment, ...row }
        rows.push(fullRow)
        console.log(formatRow(fullRow))
      }
    })
  }
  if (options.json) await writeFile(options.json, JSON.stringify({ commit, node: process.version, rows }, null, 2) + '\n')
}

await new Command('bench')
  .addArgument(new Argument('<name...>', 'benches to run').choices(Object.keys(BENCHES)))
  .option('--seed <number>', 'first seed', toInteger, 1)
  .option('--seeds <number>', 'number of seeds', toInteger, SEED_COUNT)
  .option('--json <file>', 'also write all rows to this file as JSON')
  .addOption(new Option('--deployment <name>', 'example deployment to run').choices(DEPLOYMENTS).default('okonkwo'))
  .action(runBenches)
  .parseAsync()
