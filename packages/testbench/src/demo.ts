/**
 * `npm run demo`: generates a configuration with the command-line tool, starts
 * test doubles and daemons, and runs a mixed load. Meanwhile one backend server
 * drains, one is killed, and one daemon is killed. The last line summarizes the
 * run as callers and backend servers observed it. The exit code is 0 only when
 * there were no problems and no requests were repeated, foreign, truncated or
 * sent too late to the draining server.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { Command, Option } from 'commander'
import { checkRun, type Verdict } from './checker.js'
import { findFleetSettings, findServices } from './configuration.js'
import { startDeployment, type Deployment } from './deployment.js'
import { DEPLOYMENTS, generateExample, type DeploymentName } from './generate.js'
import { formatRow } from './format-row.js'
import { startLoad } from './load/generator.js'
import { toKindLoads } from './load/kinds.js'
import type { KindLoad } from './load/types.js'
import { summarizeByKind } from './load/latency.js'

/** Backend servers of each service, from docs/design.md section 2.5. */
const TARGET_COUNTS: Record<DeploymentName, Record<string, number>> = {
  okonkwo: { stockview: 16, orderdesk: 8, mediahall: 6 },
  authority: { registry: 17, offers: 9, auditions: 6 }
}
const NODE_COUNT = 4
const RATE_PER_S = 250
const DURATION_MS = 15_000
const REQUESTS_MAX = 10_000
const CALLER_COUNT = 60
const DRAIN_AT_MS = 3000
const KILL_BACKEND_AT_MS = 6000
const KILL_DAEMON_AT_MS = 9000
/** The draining server accepts requests for this time, so requests that arrive too late are detected. */
const DRAIN_GRACE_MS = 8000
/** Delay with which the VM list reflects that a VM drains or has ended. */
const VM_LIST_DELAY_MS = 2000

type Faults = { done: Promise<void>, problems: string[] }

/** The service that receives long uploads. */
const findUploadService = (kinds: readonly KindLoad[]): string =>
  (kinds.find(kind => kind.uploadMs > 0) ?? kinds.at(-1))?.service ?? ''

const findLargestService = (name: DeploymentName): string =>
  Object.entries(TARGET_COUNTS[name]).sort(([, a], [, b]) => b - a)[0]?.[0] ?? ''

const injectFaults = (deployment: Deployment, drainedId: string, killedId: string): Faults => {
  const problems: string[] = []
  const drain = async (): Promise<void> => {
    await sleep(DRAIN_AT_MS)
    console.log(`event=drain backend=${drainedId}`)
    const stopped = deployment.backend(drainedId).stop(DRAIN_GRACE_MS)
    await sleep(VM_LIST_DELAY_MS)
    deployment.vmList.setState(drainedId, 'leaving')
    await stopped
    deployment.vmList.remove(drainedId)
    if (!deployment.record.events().some(event => event.type === 'drain-began')) problems.push('no backend server drained')
  }
  const killBackend = async (): Promise<void> => {
    await sleep(KILL_BACKEND_AT_MS)
    console.log(`event=kill backend=${killedId}`)
    await deployment.backend(killedId).kill()
    await sleep(VM_LIST_DELAY_MS)
    deployment.vmList.remove(killedId)
  }
  const killDaemon = async (): Promise<void> => {
    await sleep(KILL_DAEMON_AT_MS)
    const node = deployment.fleet.nodes[0]
    if (!node) throw new Error('no daemon is running')
    console.log(`event=kill daemon=${node.nodeId}`)
    if (!node.process.isRunning()) problems.push(`${node.nodeId} exited before it was killed`)
    await node.kill()
    await sleep(VM_LIST_DELAY_MS)
    deployment.vmList.remove(node.nodeId)
  }
  return { done: Promise.all([drain(), killBackend(), killDaemon()]).then(() => {}), problems }
}

const findProblems = (verdict: Verdict, deployment: Deployment): string[] => [
  ...verdict.requests === 0 ? ['no requests ran'] : [],
  ...verdict.requests > 0 && verdict.inTime === 0 ? ['no request was answered in time'] : [],
  ...deployment.fleet.nodes.slice(1).filter(node => !node.process.isRunning()).map(node => `${node.nodeId} exited unexpectedly`)
]

const runDemo = async (name: DeploymentName, seed: number): Promise<boolean> => {
  const entries = await generateExample(name)
  const services = findServices(entries)
  const kinds = toKindLoads(services)
  const deployment = await startDeployment({
    settings: findFleetSettings(entries),
    configurationEntries: entries,
    services: services.map(service => ({
      name: service.name, targetCount: TARGET_COUNTS[name][service.name] ?? 4, slots: service.slotsPerTarget, backend: { serviceTimeMs: 20 }
    })),
    nodeCount: NODE_COUNT,
    seed,
    isSeparateProcess: vmId => vmId.endsWith('-1') || vmId.endsWith('-2')
  })
  try {
    console.log(`event=ready deployment=${name} daemons=${NODE_COUNT} backends=${deployment.backends().length} seed=${seed}`)
    const faults = injectFaults(deployment, `${findUploadService(kinds)}-1`, `${findLargestService(name)}-2`)
    const load = startLoad({
      kinds,
      ratePerS: RATE_PER_S,
      durationMs: DURATION_MS,
      requestsMax: REQUESTS_MAX,
      seed,
      callerCount: CALLER_COUNT,
      entryAddresses: deployment.entryAddresses(),
      zones: findFleetSettings(entries).zones
    })
    const [outcomes] = await Promise.all([load.done, faults.done])
    for (const [kind, summary] of summarizeByKind(outcomes)) console.log(formatRow({ kind, ...summary }))
    const verdict = checkRun(outcomes, deployment.record)
    const problems = [...faults.problems, ...findProblems(verdict, deployment)]
    for (const problem of problems) console.log(`problem="${problem}"`)
    console.log(formatRow({
      requests: verdict.requests,
      in_time: verdict.inTime,
      not_run: verdict.notRun,
      outcome_unknown: verdict.outcomeUnknown,
      repeated: verdict.repeated,
      foreign: verdict.foreign,
      truncated: verdict.truncated,
      late_after_drain: verdict.lateAfterDrain
    }))
    return problems.length === 0 && verdict.repeated + verdict.foreign + verdict.truncated + verdict.lateAfterDrain === 0
  } finally {
    await deployment.close()
  }
}

const options = new Command('demo')
  .addOption(new Option('--deployment <name>', 'example deployment to run').choices(DEPLOYMENTS).default('okonkwo'))
  .addOption(new Option('--seed <number>', 'seed of the load and the service times').argParser(Number).default(1))
  .parse()
  .opts<{ deployment: DeploymentName, seed: number }>()

process.exitCode = await runDemo(options.deployment, options.seed) ? 0 : 1
