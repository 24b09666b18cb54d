/**
 * Lifecycle of a head until its adoption. Values are collected in two rounds,
 * because the hashes of the services are listed in the shards.
 */
import { assign, createActor, setup } from 'xstate'
import type { ConfigurationFault } from './types.js'

type AdoptionEvent =
  | { type: 'roots-complete' }
  | { type: 'services-complete' }
  | { type: 'fault', fault: ConfigurationFault }
  | { type: 'superseded' }

export const adoptionMachine = setup({
  types: { context: {} as { fault?: ConfigurationFault }, events: {} as AdoptionEvent },
  actions: { storeFault: assign({ fault: ({ event }) => event.type === 'fault' ? event.fault : undefined }) }
}).createMachine({
  id: 'adoption',
  context: {},
  initial: 'collecting-roots',
  on: { superseded: '.replaced' },
  states: {
    'collecting-roots': {
      on: { 'roots-complete': 'collecting-services', fault: { target: 'rejected', actions: 'storeFault' } }
    },
    'collecting-services': {
      on: { 'services-complete': 'in-force', fault: { target: 'rejected', actions: 'storeFault' } }
    },
    'in-force': {},
    replaced: { type: 'final' },
    rejected: { type: 'final' }
  }
})

export const createAdoption = () => createActor(adoptionMachine).start()

export type Adoption = ReturnType<typeof createAdoption>
