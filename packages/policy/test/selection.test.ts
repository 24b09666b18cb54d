/** Guards against requests sent to a draining, ejected or excluded target while another is usable, and against a policy that is missing or does not spread load. */
import test from 'ava'
import { createRandom } from '@wisteriavalve/common'
import { createTargetTable, policies, selectTarget, type PolicyName, type TargetTable } from '../src/index.js'

export const target = (index: number) =>
  ({ id: `t${index}`, host: '127.0.0.1', port: 9000 + index, zone: `z${index % 3}` })

const table = (count: number): TargetTable => {
  const created = createTargetTable({ service: 's', slotsPerTarget: 4, connectionShare: 12 })
  created.setTargets(Array.from({ length: count }, (_, index) => target(index)), 0)
  return created
}

const pick = (name: PolicyName, created: TargetTable, nowMs: number, seed: number, exclude: string[] = []) =>
  selectTarget(name, created, { zone: 'z0', exclude: new Set(exclude) }, nowMs, createRandom(seed))

for (const name of Object.keys(policies) as PolicyName[]) {
  test(`${name}: never selects a draining, ejected or excluded target`, t => {
    const created = table(7)
    created.noteDraining('t0', 'vm-list', 1)
    for (let attempt = 0; attempt < 5; attempt++) {
      created.noteStarted('t1', 1)
      created.noteFinished('t1', 'connect-failed', 0, 1)
    }
    for (let seed = 0; seed < 200; seed++) {
      const selection = pick(name, created, 2, seed, ['t2'])
      t.true(selection.ok)
      if (selection.ok) t.false(['t0', 't1', 't2'].includes(selection.targetId))
    }
  })

  test(`${name}: reports all-busy at the limits and no-target when all are draining`, t => {
    const created = table(2)
    for (const id of ['t0', 't1']) for (let count = 0; count < 4; count++) created.noteStarted(id, 0)
    t.deepEqual(pick(name, created, 0, 1), { ok: false, error: 'all-busy' })
    for (const id of ['t0', 't1']) created.noteDraining(id, 'response', 0)
    t.deepEqual(pick(name, created, 0, 1), { ok: false, error: 'no-target' })
  })

  test(`${name}: spreads requests over all targets`, t => {
    const created = table(6)
    const used = new Set<string>()
    for (let seed = 0; seed < 24; seed++) {
      const selection = pick(name, created, 0, seed)
      if (!selection.ok) continue
      used.add(selection.targetId)
      created.noteStarted(selection.targetId, 0)
    }
    t.is(used.size, 6)
  })
}
