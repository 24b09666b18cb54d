/**
 * Output of tests in which a request reached a backend server too long after it
 * began to drain.
 */
import type { ExecutionContext } from 'ava'
import type { CallOutcome, Scenario } from '../src/index.js'

const STATE_CHANGE = /event=(target_state|connections_retired|process_paused)/

/** Logs which requests reached the draining server, and when each node learned that it drains. */
export const logDrain = (t: ExecutionContext, { record, fleet }: Scenario, outcomes: readonly CallOutcome[]): void => {
  for (const event of record.events()) {
    if (event.type !== 'arrived-after-drain') continue
    t.log(JSON.stringify({ ...event, outcome: outcomes.find(({ requestId }) => requestId === event.requestId) }))
  }
  for (const node of fleet.nodes) {
    for (const line of node.process.logLines().filter(each => STATE_CHANGE.test(each))) t.log(line)
  }
}
