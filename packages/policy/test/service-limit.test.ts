/** Guards against nodes that together keep targets congested, and against a limit that stays low after the congestion ends. */
import test from 'ava'
import { createTargetTable, type TargetTable } from '../src/index.js'

const createTable = (): TargetTable => {
  const table = createTargetTable({ service: 's', slotsPerTarget: 4, connectionShare: 12 })
  table.setTargets(Array.from({ length: 16 }, (_, index) => ({ id: `t${index}`, host: '127.0.0.1', port: 9000 + index, zone: 'z' })), 0)
  return table
}

/** Runs rounds of as many requests as the capacity allows. `inFlight` is the load that targets report; without it they send no reports. */
const runRounds = (table: TargetTable, rounds: number, startMs: number, outcome: { inFlight?: number, refused?: boolean }): void => {
  for (let round = 0; round < rounds; round++) {
    const nowMs = startMs + 20 * round
    const count = Math.min(48, table.capacity(nowMs))
    for (let index = 0; index < count; index++) table.recordStart(`t${index % 16}`, nowMs)
    for (let index = 0; index < count; index++) {
      const id = `t${index % 16}`
      if (outcome.inFlight !== undefined) table.recordLoadReport(id, { inFlight: outcome.inFlight, slots: 4 }, nowMs + 20)
      if (!outcome.refused) table.recordFirstByte(id, 20, nowMs + 20)
      table.recordOutcome(id, outcome.refused ? 'refused' : 'ok', 20, nowMs + 20)
    }
  }
}

test('congested reports lower the capacity of a node to one request, and idle reports raise it again', t => {
  const table = createTable()
  runRounds(table, 200, 0, { inFlight: 16 })
  t.is(table.capacity(4000), 1)
  runRounds(table, 400, 4000, { inFlight: 2 })
  t.true(table.capacity(12_000) >= 20, String(table.capacity(12_000)))
})

test('a node that just started reaches its share within a few rounds', t => {
  const table = createTable()
  runRounds(table, 4, 0, { inFlight: 3 })
  t.true(table.capacity(80) >= 48, String(table.capacity(80)))
})

test('the limit recovers from refusals when targets send no reports', t => {
  const table = createTable()
  runRounds(table, 100, 0, { refused: true })
  t.is(table.capacity(2000), 1)
  runRounds(table, 400, 2000, {})
  t.true(table.capacity(10_000) >= 20, String(table.capacity(10_000)))
})
