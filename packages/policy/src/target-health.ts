/**
 * Lifecycle of a target as observed by this node. The state machine runs only on
 * events; per request the table reads the last state that it returned.
 */
import { assign, initialTransition, setup, transition, type SnapshotFrom } from 'xstate'
import { EJECTION_BASE_MS, EJECTION_RESET_MS, EJECTION_MAX_MS, SLOW_START_MS } from './constants.js'
import type { DrainSource, TargetHealth } from './types.js'

export type HealthEvent =
  | { type: 'DRAIN', source: DrainSource, nowMs: number }
  | { type: 'EJECT', reason: string, nowMs: number }
  | { type: 'TIME_OVER', nowMs: number }
  | { type: 'PASSED', nowMs: number }
  | { type: 'RESTARTED', reason: string, nowMs: number }
  | { type: 'LEFT', reason: string, nowMs: number }

export type HealthInput = { initial: 'cold' | 'ready', reason: string, nowMs: number }

type HealthContext = {
  initial: 'cold' | 'ready'
  reason: string
  sinceMs: number
  /** Time of the next timed transition; Infinity when there is none. */
  untilMs: number
  ejections: number
  lastEjectionEndMs: number
}

export type HealthSnapshot = SnapshotFrom<typeof targetHealthMachine>

const DRAIN_REASONS: Record<DrainSource, string> = {
  response: 'a response reported that the target is draining',
  'health-endpoint': 'the health endpoint reports draining',
  'vm-list': 'the VM list shows the VM as leaving',
  peer: 'a peer saw the target draining',
  'other-server': 'another server answers at the address'
}

/** @param ejections number of previous ejections of the target */
export const ejectionTimeMs = (ejections: number): number =>
  Math.min(EJECTION_MAX_MS, EJECTION_BASE_MS * 2 ** Math.min(ejections, 16))

const enter = (context: HealthContext, nowMs: number, reason: string, untilMs = Infinity): HealthContext =>
  ({ ...context, reason, sinceMs: nowMs, untilMs })

const eject = (context: HealthContext, reason: string, nowMs: number): HealthContext => {
  const ejections = nowMs - context.lastEjectionEndMs > EJECTION_RESET_MS ? 0 : context.ejections
  const endMs = nowMs + ejectionTimeMs(ejections)
  return {
    ...enter(context, nowMs, `${reason}; ejected for ${Math.round(endMs - nowMs)} ms`, endMs),
    ejections: ejections + 1,
    lastEjectionEndMs: endMs
  }
}

const initialContext = ({ initial, reason, nowMs }: HealthInput): HealthContext => ({
  initial,
  reason,
  sinceMs: nowMs,
  untilMs: initial === 'cold' ? nowMs + SLOW_START_MS : Infinity,
  ejections: 0,
  lastEjectionEndMs: -Infinity
})

export const targetHealthMachine = setup({
  types: { context: {} as HealthContext, events: {} as HealthEvent, input: {} as HealthInput }
}).createMachine({
  initial: 'new',
  context: ({ input }) => initialContext(input),
  on: {
    DRAIN: { target: '.draining', actions: assign(({ context, event }) => enter(context, event.nowMs, DRAIN_REASONS[event.source])) },
    LEFT: { target: '.gone', actions: assign(({ context, event }) => enter(context, event.nowMs, event.reason)) }
  },
  states: {
    new: { always: [{ guard: ({ context }) => context.initial === 'ready', target: 'ready' }, { target: 'cold' }] },
    cold: {
      on: {
        EJECT: { target: 'ejected', actions: assign(({ context, event }) => eject(context, event.reason, event.nowMs)) },
        TIME_OVER: { target: 'ready', actions: assign(({ context, event }) => enter(context, event.nowMs, 'slow start is over')) }
      }
    },
    ready: {
      on: {
        EJECT: { target: 'ejected', actions: assign(({ context, event }) => eject(context, event.reason, event.nowMs)) }
      }
    },
    ejected: {
      on: {
        TIME_OVER: { target: 'probation', actions: assign(({ context, event }) => enter(context, event.nowMs, 'ejection is over; single requests test the target')) }
      }
    },
    probation: {
      on: {
        EJECT: { target: 'ejected', actions: assign(({ context, event }) => eject(context, event.reason, event.nowMs)) },
        PASSED: { target: 'ready', actions: assign(({ context, event }) => enter(context, event.nowMs, 'answered every test request after its ejection')) }
      }
    },
    draining: {
      on: {
        DRAIN: {},
        RESTARTED: { target: 'cold', actions: assign(({ context, event }) => enter(context, event.nowMs, event.reason, event.nowMs + SLOW_START_MS)) }
      }
    },
    gone: { type: 'final' }
  }
})

export const startHealth = (input: HealthInput): HealthSnapshot => initialTransition(targetHealthMachine, input)[0]

export const nextHealth = (snapshot: HealthSnapshot, event: HealthEvent): HealthSnapshot =>
  transition(targetHealthMachine, snapshot, event)[0]

export const healthOf = (snapshot: HealthSnapshot): TargetHealth => snapshot.value as TargetHealth
