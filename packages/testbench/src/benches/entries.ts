/**
 * Bench of entry answers: how evenly callers that cache their entry answer are
 * spread over 20 daemons, and how many have no live address when half of the
 * nodes are killed.
 */
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { createRandom, shuffle, type Random } from '@wisteriavalve/common'
import type { EntryAddress, EntryAnswer } from '@wisteriavalve/schema'
import type { FleetNode } from '../fleet-harness.js'
import { startFleetRun, measureTimeUntil, type FleetRun } from './fleet-run.js'
import type { BenchOptions } from './types.js'

export const description = 'entry answers: spread of callers over the nodes, and callers without a live address when half of the nodes are killed'

const NODE_COUNT = 20
const CALLER_COUNT = 2000
const FETCH_CONCURRENCY = 20
const CONNECT_TIMEOUT_MS = 500
const TIMEOUT_MS = 60_000
const SETTLE_MS = 5000

type Caller = { zone: string, answer: EntryAnswer }

const fetchEntryAnswer = async ({ host, callerPort }: Pick<FleetNode, 'host' | 'callerPort'>, zone: string): Promise<EntryAnswer> =>
  (await fetch(`http://${host}:${callerPort}/.well-known/wisteriavalve/entry?zone=${zone}`)).json() as Promise<EntryAnswer>

/** Each caller fetches its entry answer from a random node of the given ones. */
const createCallers = async (run: FleetRun, nodes: readonly FleetNode[], random: Random): Promise<Caller[]> => {
  const callers: Caller[] = []
  const createSome = async (): Promise<void> => {
    while (callers.length < CALLER_COUNT) {
      const zone = run.settings.zones[random.int(run.settings.zones.length)] as string
      callers.push({ zone, answer: await fetchEntryAnswer(nodes[random.int(nodes.length)] as FleetNode, zone) })
    }
  }
  await Promise.all(Array.from({ length: FETCH_CONCURRENCY }, createSome))
  return callers.slice(0, CALLER_COUNT)
}

const canConnect = ({ host, port }: EntryAddress): Promise<boolean> => new Promise(resolve => {
  const socket = connect({ host, port, timeout: CONNECT_TIMEOUT_MS })
  const finish = (opened: boolean): void => { socket.destroy(); resolve(opened) }
  socket.on('connect', () => finish(true)).on('error', () => finish(false)).on('timeout', () => finish(false))
})

const addressKey = ({ host, port }: EntryAddress): string => `${host}:${port}`

const measureSpread = (callers: readonly Caller[], nodeCount: number): { mostLoaded: number, leastLoaded: number, ownZoneShare: number } => {
  const counts = new Map<string, number>()
  for (const { answer } of callers) {
    const [first] = answer.addresses
    if (first) counts.set(addressKey(first), (counts.get(addressKey(first)) ?? 0) + 1)
  }
  const mean = callers.length / nodeCount
  const values = [...counts.values()]
  return {
    mostLoaded: Math.max(...values) / mean,
    leastLoaded: counts.size < nodeCount ? 0 : Math.min(...values) / mean,
    ownZoneShare: callers.filter(({ zone, answer }) => answer.addresses[0]?.zone === zone).length / callers.length
  }
}

const runOnce = async (seed: number, options: BenchOptions): Promise<void> => {
  const run = await startFleetRun({ deployment: options.deployment, count: NODE_COUNT, seed })
  try {
    const random = createRandom(seed)
    await sleep(SETTLE_MS)
    const callers = await createCallers(run, run.fleet.nodes, random)
    const spread = measureSpread(callers, NODE_COUNT)
    const killedNodes = shuffle(run.fleet.nodes, random).slice(0, NODE_COUNT / 2)
    const survivors = run.fleet.nodes.filter(node => !killedNodes.includes(node))
    await Promise.all(killedNodes.map(node => node.kill()))
    const isOpen = new Map<string, boolean>()
    for (const node of run.fleet.nodes) isOpen.set(`${node.host}:${node.callerPort}`, await canConnect({ host: node.host, port: node.callerPort, zone: node.zone }))
    const isStuck = ({ answer }: Caller): boolean => !answer.addresses.some(address => isOpen.get(addressKey(address)))
    const callersWithDeadFirstAddress = callers.filter(({ answer }) => isOpen.get(addressKey(answer.addresses[0] as EntryAddress)) === false)
    const withoutDeadMs = await measureTimeUntil(TIMEOUT_MS, async () => {
      const answers = (await Promise.all(survivors.map(node => Promise.all(run.settings.zones.map(zone => fetchEntryAnswer(node, zone)))))).flat()
      return answers.every(({ addresses }) => addresses.every(address => isOpen.get(addressKey(address))))
    })
    const newCallers = await createCallers(run, survivors, random)
    options.report({
      seed,
      nodes: NODE_COUNT,
      callers: CALLER_COUNT,
      busiest_over_mean: spread.mostLoaded,
      idlest_over_mean: spread.leastLoaded,
      own_zone_share: spread.ownZoneShare,
      first_address_dead_share: callersWithDeadFirstAddress.length / CALLER_COUNT,
      stuck_share_kept_answers: callers.filter(isStuck).length / CALLER_COUNT,
      answers_without_dead_ms: withoutDeadMs === undefined ? 'never' : withoutDeadMs,
      stuck_share_new_answers: newCallers.filter(isStuck).length / CALLER_COUNT,
      busiest_over_mean_after: measureSpread(newCallers, survivors.length).mostLoaded
    })
  } finally {
    await run.close()
  }
}

export const run = async (options: BenchOptions): Promise<void> => {
  for (const seed of options.seeds) await runOnce(seed, options)
}
