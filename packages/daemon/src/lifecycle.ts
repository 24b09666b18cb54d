/**
 * Phases of the process. The state machine only defines their order; the
 * actions of each phase are in daemon.ts.
 */
import { createActor, setup, type Actor } from 'xstate'

export type Phase = 'starting' | 'serving' | 'leaving' | 'stopped'

const machine = setup({
  types: { events: {} as { type: 'configured' } | { type: 'stop-requested' } | { type: 'finished' } }
}).createMachine({
  id: 'daemon',
  initial: 'starting',
  states: {
    starting: { on: { configured: 'serving', 'stop-requested': 'leaving' } },
    serving: { on: { 'stop-requested': 'leaving' } },
    leaving: { on: { finished: 'stopped' } },
    stopped: { type: 'final' }
  }
})

export type Lifecycle = {
  phase: () => Phase
  send: (event: 'configured' | 'stop-requested' | 'finished') => void
}

/** @param onPhase called on each change of phase */
export const createLifecycle = (onPhase: (phase: Phase) => void): Lifecycle => {
  const actor: Actor<typeof machine> = createActor(machine)
  let current: Phase = 'starting'
  actor.subscribe(snapshot => {
    const next = snapshot.value as Phase
    if (next === current) return
    current = next
    onPhase(next)
  })
  actor.start()
  return { phase: () => current, send: type => actor.send({ type }) }
}
