/**
 * `npm run bench -- NAME...`: runs benches of the register and prints their
 * results as key=value rows that carry the commit.
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
  if (!Number.isInteger(value) || value < 0) throw new InvalidArgumentError('must be an integer from 0 on')
  return value
}

/** Commit of the working tree; a plus sign says that files have changed since. */
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
        const whole = { bench: name, commit, deployment: options.deployment, ...row }
        rows.push(whole)
        console.log(formatRow(whole))
      }
    })
  }
  if (options.json) await writeFile(options.json, JSON.stringify({ commit, node: process.version, rows }, null, 2) + '\n')
}

await new Command('bench')
  .addArgument(new Argument('<name...>', 'benches to run').choices(Object.keys(BENCHES)))
  .option('--seed <number>', 'first seed', toInteger, 1)
  .option('--seeds <number>', 'number of seeds', toInteger, SEED_COUNT)
  .option('--json <file>', 'writes all rows to a file')
  .addOption(new Option('--deployment <name>', 'example to run').choices(DEPLOYMENTS).default('okonkwo'))
  .action(runBenches)
  .parseAsync()
