/** Guards against requests sent to a draining, ejected or excluded target while another is usable, and against a policy that is missing or does not spread load. */
import test from 'ava'
import { createRandom } from '@wisteriavalve/common'
import { createTargetTable, policies, selectTarget, type PolicyName, type TargetTable } from '../src/index.js'

export const target = (index: number) =>
  ({ id: `t${index}`, host: '127.0.0.1', port: 9000 + index, zone: `z${index % 3}` })

const table = (count: number): TargetTable => {
  const targetTable = createTargetTable({ service: 's', slotsPerTarget: 4, connectionShare: 12 })
  targetTable.setTargets(Array.from({ length: count }, (_, index) => target(index)), 0)
  return targetTable
}

const pick = (name: PolicyName, targetTable: TargetTable, nowMs: number, seed: number, exclude: string[] = []) =>
  selectTarget(name, targetTable, { zone: 'z0', exclude: new Set(exclude) }, nowMs, createRandom(seed))

for (const name of Object.keys(policies) as PolicyName[]) {
  test(`${name}: never selects a draining, ejected or excluded target`, t => {
    const targetTable = table(7)
    targetTable.recordDraining('t0', 'vm-list', 1)
    for (let attempt = 0; attempt < 5; attempt++) {
      targetTable.recordStart('t1', 1)
      targetTable.recordOutcome('t1', 'connect-failed', 0, 1)
    }
    for (let seed = 0; seed < 200; seed++) {
      const selection = pick(name, targetTable, 2, seed, ['t2'])
      t.true(selection.ok)
      if (selection.ok) t.false(['t0', 't1', 't2'].includes(selection.targetId))
    }
  })

  test(`${name}: reports all-busy at the limits and no-target when all are draining`, t => {
    const targetTable = table(2)
    for (const id of ['t0', 't1']) for (let count = 0; count < 4; count++) targetTable.recordStart(id, 0)
    t.deepEqual(pick(name, targetTable, 0, 1), { ok: false, error: 'all-busy' })
    for (const id of ['t0', 't1']) targetTable.recordDraining(id, 'response', 0)
    t.deepEqual(pick(name, targetTable, 0, 1), { ok: false, error: 'no-target' })
  })

  test(`${name}: spreads requests over all targets`, t => {
    const targetTable = table(6)
    const used = new Set<string>()
    for (let seed = 0; seed < 24; seed++) {
      const selection = pick(name, targetTable, 0, seed)
      if (!selection.ok) continue
      used.add(selection.targetId)
      targetTable.recordStart(selection.targetId, 0)
    }
    t.is(used.size, 6)
  })
}
