/**
 * `wisteriavalve status`: the state of all nodes and targets.
 */
import { isNodeStatus } from '@wisteriavalve/schema'
import { addAdminOptions, gatherWithOptions, outcomeForData, type AdminOptions } from '../admin/options.js'
import { printJson, printLines } from '../output.js'
import { describeStatus } from '../status/status-text.js'
import type { CommandModule, Io, Outcome } from '../types.js'

type Options = AdminOptions & { all?: boolean }

const run = async (options: Options, io: Io): Promise<Outcome> => {
  const data = await gatherWithOptions(options, io, (client, signal) => client.fleetStatus.query(undefined, { signal }), isNodeStatus)
  if (!data.ok) return { failure: data.error }
  if (options.json) printJson(io, { complete: data.value.missing.length === 0, ...data.value })
  else printLines(io, describeStatus(data.value, options.all ?? false))
  return outcomeForData(data.value)
}

export const statusCommand: CommandModule = {
  name: 'status',
  register: (program, io, finish) => {
    addAdminOptions(program.command('status')
      .summary('show the state of the fleet')
      .description(`Shows each node with its phase and the configuration in force (restore
count/revision, state and reason), the members, and the targets that some node
does not see as ready, with the reasons. One admin address is enough: its
daemon collects the state of all nodes that it can reach.`)
      .option('--all', 'show all targets'))
      .action(async (options: Options) => finish(await run(options, io), options))
  }
}
