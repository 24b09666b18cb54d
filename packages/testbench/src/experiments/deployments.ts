/**
 * Sizes of the two deployments, and the mix of requests that the experiment
 * sends. Service times are assumptions of the experiment; no deployment states
 * them.
 */
export type SimulatedKind = {
  name: string
  share: number
  idempotent: boolean
  weight: number
  deadlineMs: number
  serviceMs: number
}

export type SimulatedService = { name: string, targets: number, slots: number, connections: number }

export type Deployment = {
  zones: string[]
  nodes: number
  entryVmCountMax: number
  betweenZonesMs: number
  callersMs: number
  services: SimulatedService[]
}

export const WITHIN_ZONE_MS = 0.1

export const deployments: Record<'okonkwo' | 'authority', Deployment> = {
  okonkwo: {
    zones: ['lagos-a', 'lagos-b', 'ibadan-c'],
    nodes: 20,
    entryVmCountMax: 24,
    betweenZonesMs: 0.5,
    callersMs: 3,
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
    betweenZonesMs: 1,
    callersMs: 8,
    services: [
      { name: 'registry', targets: 17, slots: 6, connections: 320 },
      { name: 'offers', targets: 9, slots: 6, connections: 320 },
      { name: 'auditions', targets: 6, slots: 6, connections: 320 }
    ]
  }
}

export const kinds: SimulatedKind[] = [
  { name: 'read', share: 0.8, idempotent: true, weight: 2, deadlineMs: 250, serviceMs: 6 },
  { name: 'order', share: 0.1, idempotent: false, weight: 8, deadlineMs: 1000, serviceMs: 8 },
  { name: 'report', share: 0.08, idempotent: true, weight: 1, deadlineMs: 500, serviceMs: 8 },
  { name: 'upload', share: 0.02, idempotent: false, weight: 2, deadlineMs: 2000, serviceMs: 30 }
]

export const meanServiceMs = kinds.reduce((sum, kind) => sum + kind.share * kind.serviceMs, 0)
