/**
 * Gossip datagrams as landed releases send them, recorded with their codec. The bytes
 * of 9e3b14f and bccc98f are the same.
 */
import type { GossipMessage } from '@wisteriavalve/schema'

export type RecordedDatagram = { kind: string, base64: string, message: GossipMessage }

/** Fleet, key and sender of the recorded datagrams. */
export const RECORDED_FLEET = { fleet: 'recorded', fleetKey: 'a-key-of-sixteen-characters', nodeId: 'entry-1', bootId: 1_700_000_000 }

export const RECORDED_DATAGRAMS: readonly RecordedDatagram[] = [
  {
    kind: 'ping',
    base64: 'lqhyZWNvcmRlZKdlbnRyeS0xzmVT8QABxCiXAAfAmadlbnRyeS0xAwChYakxMjcuMC4wLjHNH5DNH5HNH5IMkJDAxCBOfcLmNeKSRiHmqmDlMoHDuhJhi9Fxre0Vtgt4RoS1UQ==',
    message: {
      type: 'ping',
      nonce: 7,
      sender: { nodeId: 'entry-1', incarnation: 3, state: 'alive', zone: 'a', host: '127.0.0.1', callerPort: 8080, gossipPort: 8081, peerPort: 8082, loadPercent: 12 },
      updates: [],
      notes: []
    }
  },
  {
    kind: 'ping-request',
    base64: 'lqhyZWNvcmRlZKdlbnRyeS0xzmVT8QACxJSXAginZW50cnktM5mnZW50cnktMQMAoWGpMTI3LjAuMC4xzR+QzR+RzR+SwJOZp2VudHJ5LTIDAqFhqTEyNy4wLjAuMc0fkM0fkc0fksCZp2VudHJ5LTMDA6FhqTEyNy4wLjAuMc0fkM0fkc0fksCZp2VudHJ5LTQDAaFhqTEyNy4wLjAuMc0fkM0fkc0fks0D6JDAxCAjIvTjodSwP6gQPuSxlVPuFa1ynb9VupEh/EK32igMww==',
    message: {
      type: 'ping-request',
      nonce: 8,
      subject: 'entry-3',
      sender: { nodeId: 'entry-1', incarnation: 3, state: 'alive', zone: 'a', host: '127.0.0.1', callerPort: 8080, gossipPort: 8081, peerPort: 8082 },
      updates: [
        { nodeId: 'entry-2', incarnation: 3, state: 'suspect', zone: 'a', host: '127.0.0.1', callerPort: 8080, gossipPort: 8081, peerPort: 8082 },
        { nodeId: 'entry-3', incarnation: 3, state: 'dead', zone: 'a', host: '127.0.0.1', callerPort: 8080, gossipPort: 8081, peerPort: 8082 },
        { nodeId: 'entry-4', incarnation: 3, state: 'leaving', zone: 'a', host: '127.0.0.1', callerPort: 8080, gossipPort: 8081, peerPort: 8082, loadPercent: 1000 }
      ],
      notes: []
    }
  },
  {
    kind: 'ack',
    base64: 'lqhyZWNvcmRlZKdlbnRyeS0xzmVT8QADxOOXAQnAmadlbnRyeS0xAwGhYakxMjcuMC4wLjHNH5DNH5HNH5IAkZmnZW50cnktMgMAoWGpMTI3LjAuMC4xzR+QzR+RzR+SN5aZpHNob3CidDEAFMDAwMDDlqRzaG9wonQxARTAwJakc2hvcKJ0MQIUA8OZpHNob3CidDECFMDAy0AEAAAAAAAAwMCZpHNob3CidDECFMDAwM0BkMCapHNob3CidDEBFMDAwMDAxBAAESIzRFVmd4iZqrvM3e7/kwEqxCCrq6urq6urq6urq6urq6urq6urq6urq6urq6urq6urq8Qgo5AP7QGGfVsoosSxSlzf22f0WzKyvO0xDx7QhY1IS9U=',
    message: {
      type: 'ack',
      nonce: 9,
      sender: { nodeId: 'entry-1', incarnation: 3, state: 'leaving', zone: 'a', host: '127.0.0.1', callerPort: 8080, gossipPort: 8081, peerPort: 8082, loadPercent: 0 },
      updates: [
        { nodeId: 'entry-2', incarnation: 3, state: 'alive', zone: 'a', host: '127.0.0.1', callerPort: 8080, gossipPort: 8081, peerPort: 8082, loadPercent: 55 }
      ],
      notes: [
        { service: 'shop', targetId: 't1', observation: 'draining', ageMs: 20, isStated: true },
        { service: 'shop', targetId: 't1', observation: 'dead', ageMs: 20 },
        { service: 'shop', targetId: 't1', observation: 'answering', ageMs: 20, inFlight: 3, byProbe: true },
        { service: 'shop', targetId: 't1', observation: 'answering', ageMs: 20, limitPerS: 2.5 },
        { service: 'shop', targetId: 't1', observation: 'answering', ageMs: 20, pauseMs: 400 },
        { service: 'shop', targetId: 't1', observation: 'dead', ageMs: 20, crashedRequest: '00112233445566778899aabbccddeeff' }
      ],
      configuration: { restoreCount: 1, revision: 42, headHash: 'abababababababababababababababababababababababababababababababab' }
    }
  }
]
