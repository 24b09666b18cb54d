/**
 * Guards against a deadly request that goes on ending targets because the notes
 * on its crashes are slow in a large fleet, or wait behind those on harmless
 * requests, and against notes that delay membership.
 */
import type { TargetNote } from '@wisteriavalve/schema'
import test from 'ava'
import { createSimulatedFleet, isConverged, type SimulatedNode } from './simulated-fleet.js'

/** Time after the third crash in which all nodes must know of it. */
const NOTICE_MS = 3_000
const DEADLY = 'd'.repeat(32)
const HARMLESS_NOTES = 60

const crashNote = (targetId: string, crashedRequest: string): TargetNote => ({ service: 's', targetId, observation: 'dead', ageMs: 0, crashedRequest })

const knowsDeadly = ({ notes }: SimulatedNode, ownCrashes: number): boolean =>
  notes.filter(({ crashedRequest }) => crashedRequest === DEADLY).length + ownCrashes >= 3

for (const [count, seeds] of [[24, [1, 2, 3]], [100, [1, 2]], [312, [1]]] as const) {
  for (const seed of seeds) {
    test(`${count} nodes know of the third crash of a request within 3 s, also in a flood of harmless notes (seed ${seed})`, t => {
      const fleet = createSimulatedFleet({ count, seed })
      t.not(fleet.runUntil(() => isConverged(fleet), 60_000), undefined)
      fleet.run(5_000)
      const nodeAt = (index: number): SimulatedNode => fleet.nodes[(index * 7) % count] as SimulatedNode
      for (let index = 0; index < HARMLESS_NOTES; index++) {
        nodeAt(index + 10).membership.queueNotes([crashNote(`t-${index % 8}`, index.toString(16).padStart(32, '0'))], fleet.clock.nowMs())
        if (index % 6 === 0) fleet.run(100)
      }
      const observers = [0, 1, 2].map(nodeAt)
      for (const [index, node] of observers.entries()) {
        node.membership.queueNotes([crashNote(`deadly-${index}`, DEADLY)], fleet.clock.nowMs())
        fleet.run(100)
      }
      const tookMs = fleet.runUntil(() => fleet.nodes.every(node => knowsDeadly(node, observers.includes(node) ? 1 : 0)), 60_000)
      t.log(`${tookMs} ms`)
      t.true(tookMs !== undefined && tookMs <= NOTICE_MS, `${tookMs} ms`)
      t.true(isConverged(fleet))
    })
  }
}
