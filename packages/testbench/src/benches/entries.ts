/**
 * Bench of entry answers: how evenly callers that keep their answers are
 * spread over 20 daemons, and how many are stuck when half of the nodes die.
 */
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { createRandom, shuffle, type Random } from '@wisteriavalve/common'
import type { EntryAddress, EntryAnswer } from '@wisteriavalve/schema'
import type { FleetNode } from '../fleet-harness.js'
import { startFleetRun, timeUntil, type FleetRun } from './fleet-run.js'
import type { BenchOptions } from './types.js'

export const description = 'entry answers: spread over the nodes, and callers stuck when half of the nodes die'

const NODE_COUNT = 20
const CALLERS = 2000
const ASK_CONCURRENCY = 20
const CONNECT_TIMEOUT_MS = 500
const BOUND_MS = 60_000
const SETTLE_MS = 5000

type Caller = { zone: string, answer: EntryAnswer }

const ask = async ({ host, callerPort }: Pick<FleetNode, 'host' | 'callerPort'>, zone: string): Promise<EntryAnswer> =>
  (await fetch(`http://${host}:${callerPort}/.well-known/wisteriavalve/entry?zone=${zone}`)).json() as Promise<EntryAnswer>

/** Each caller asks any node that is up. */
const askAll = async (run: FleetRun, nodes: readonly FleetNode[], random: Random): Promise<Caller[]> => {
  const callers: Caller[] = []
  const askSome = async (): Promise<void> => {
    while (callers.length < CALLERS) {
      const zone = run.settings.zones[random.int(run.settings.zones.length)] as string
      callers.push({ zone, answer: await ask(nodes[random.int(nodes.length)] as FleetNode, zone) })
    }
  }
  await Promise.all(Array.from({ length: ASK_CONCURRENCY }, askSome))
  return callers.slice(0, CALLERS)
}

const opens = ({ host, port }: EntryAddress): Promise<boolean> => new Promise(resolve => {
  const socket = connect({ host, port, timeout: CONNECT_TIMEOUT_MS })
  const finish = (opened: boolean): void => { socket.destroy(); resolve(opened) }
  socket.on('connect', () => finish(true)).on('error', () => finish(false)).on('timeout', () => finish(false))
})

const addressKey = ({ host, port }: EntryAddress): string => `${host}:${port}`

const spreadOf = (callers: readonly Caller[], nodeCount: number): { busiest: number, idlest: number, nearShare: number } => {
  const counts = new Map<string, number>()
  for (const { answer } of callers) {
    const [first] = answer.addresses
    if (first) counts.set(addressKey(first), (counts.get(addressKey(first)) ?? 0) + 1)
  }
  const mean = callers.length / nodeCount
  const values = [...counts.values()]
  return {
    busiest: Math.max(...values) / mean,
    idlest: counts.size < nodeCount ? 0 : Math.min(...values) / mean,
    nearShare: callers.filter(({ zone, answer }) => answer.addresses[0]?.zone === zone).length / callers.length
  }
}

const runOnce = async (seed: number, options: BenchOptions): Promise<void> => {
  const run = await startFleetRun({ deployment: options.deployment, count: NODE_COUNT, seed })
  try {
    const random = createRandom(seed)
    await sleep(SETTLE_MS)
    const callers = await askAll(run, run.fleet.nodes, random)
    const spread = spreadOf(callers, NODE_COUNT)
    const dead = shuffle(run.fleet.nodes, random).slice(0, NODE_COUNT / 2)
    const up = run.fleet.nodes.filter(node => !dead.includes(node))
    await Promise.all(dead.map(node => node.kill()))
    const isOpen = new Map<string, boolean>()
    for (const node of run.fleet.nodes) isOpen.set(`${node.host}:${node.callerPort}`, await opens({ host: node.host, port: node.callerPort, zone: node.zone }))
    const isStuck = ({ answer }: Caller): boolean => !answer.addresses.some(address => isOpen.get(addressKey(address)))
    const failsOver = callers.filter(({ answer }) => isOpen.get(addressKey(answer.addresses[0] as EntryAddress)) === false)
    const cleanMs = await timeUntil(BOUND_MS, async () => {
      const answers = (await Promise.all(up.map(node => Promise.all(run.settings.zones.map(zone => ask(node, zone)))))).flat()
      return answers.every(({ addresses }) => addresses.every(address => isOpen.get(addressKey(address))))
    })
    const again = await askAll(run, up, random)
    options.report({
      seed,
      nodes: NODE_COUNT,
      callers: CALLERS,
      busiest_over_mean: spread.busiest,
      idlest_over_mean: spread.idlest,
      own_zone_share: spread.nearShare,
      first_address_dead_share: failsOver.length / CALLERS,
      stuck_share_kept_answers: callers.filter(isStuck).length / CALLERS,
      answers_without_dead_ms: cleanMs === undefined ? 'never' : cleanMs,
      stuck_share_new_answers: again.filter(isStuck).length / CALLERS,
      busiest_over_mean_after: spreadOf(again, up.length).busiest
    })
  } finally {
    await run.close()
  }
}

export const run = async (options: BenchOptions): Promise<void> => {
  for (const seed of options.seeds) await runOnce(seed, options)
}
