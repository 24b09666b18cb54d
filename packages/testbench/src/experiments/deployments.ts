/**
 * Sizes of the two deployments and the mix of requests for the simulation. The
 * service times are assumptions, because no deployment specifies them.
 */
export type SimulatedKind = {
  name: string
  share: number
  idempotent: boolean
  weight: number
  deadlineMs: number
  /** Latency objective, for placement by load probes. */
  objectiveMs?: number
  /** Used by the simulation of zones only. */
  requestBytes?: number
  responseBytes?: number
}

export type SimulatedService = { name: string, targets: number, slots: number, connections: number }

export type Deployment = {
  zones: string[]
  nodes: number
  entryVmCountMax: number
  crossZoneOneWayMs: number
  callerOneWayMs: number
  services: SimulatedService[]
}

export const SAME_ZONE_ONE_WAY_MS = 0.1

export const deployments: Record<'okonkwo' | 'authority', Deployment> = {
  okonkwo: {
    zones: ['lagos-a', 'lagos-b', 'ibadan-c'],
    nodes: 20,
    entryVmCountMax: 24,
    crossZoneOneWayMs: 0.5,
    callerOneWayMs: 3,
    services: [
      { name: 'stockview', targets: 16, slots: 4, connections: 300 },
      { name: 'orderdesk', targets: 8, slots: 4, connections: 300 },
      { name: 'mediahall', targets: 6, slots: 4, connections: 300 }
    ]
  },
  authority: {
    zones: ['kgn-a', 'kgn-b', 'kgn-c'],
    nodes: 20,
    entryVmCountMax: 24,
    crossZoneOneWayMs: 1,
    callerOneWayMs: 8,
    services: [
      { name: 'registry', targets: 17, slots: 6, connections: 320 },
      { name: 'offers', targets: 9, slots: 6, connections: 320 },
      { name: 'auditions', targets: 6, slots: 6, connections: 320 }
    ]
  }
}

/** Deadlines and weights as in the questionnaire answers in examples/; shares as in the load generator. */
export const kinds: SimulatedKind[] = [
  { name: 'page', share: 0.4, idempotent: true, weight: 20, deadlineMs: 800 },
  { name: 'check', share: 0.4, idempotent: true, weight: 40, deadlineMs: 400 },
  { name: 'order', share: 0.1, idempotent: false, weight: 90, deadlineMs: 3000 },
  { name: 'pay', share: 0.1, idempotent: false, weight: 100, deadlineMs: 10_000 }
]

/** A page takes 10 to 50 ms. */
export const SERVICE_MEDIAN_MS = 20
/** Standard deviation of the logarithm of the service time. */
export const SERVICE_SIGMA = 0.3
export const meanServiceMs = SERVICE_MEDIAN_MS * Math.exp(SERVICE_SIGMA ** 2 / 2)
