/**
 * Guards against compiling schemas at the start of a process, which took a
 * quarter of the processor time of a start, and against generated validators
 * whose results differ from those of their schemas.
 */
import { readdirSync, readFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { explainErrors, isGossipMessage, isVmList } from '@wisteriavalve/schema'
import { Ajv } from 'ajv'
import test from 'ava'

const SCHEMA_BUILD = dirname(fileURLToPath(import.meta.resolve('@wisteriavalve/schema')))
const SCHEMAS = ['configuration', 'messages', 'admin', 'answers'].map(name =>
  JSON.parse(readFileSync(join(SCHEMA_BUILD, '../../schemas', `${name}.schema.json`), 'utf8')) as object)

const MEMBER = {
  nodeId: 'a-1', incarnation: 1, state: 'alive', zone: 'a', host: '10.0.0.1', callerPort: 1, gossipPort: 2, peerPort: 3, loadPercent: 4
}
const MESSAGE = { type: 'ping', nonce: 7, sender: MEMBER, updates: [MEMBER], notes: [] }

/** Returns the document and its variants with one field missing or of another type. */
const createVariants = (document: object): unknown[] => [
  document,
  ...Object.keys(document).flatMap(name => [{ ...document, [name]: undefined }, { ...document, [name]: { of: 'another type' } }])
].map(value => JSON.parse(JSON.stringify(value)))

test('no schema is compiled at run time', t => {
  const files = readdirSync(SCHEMA_BUILD, { recursive: true, encoding: 'utf8' }).filter(name => name.endsWith('.js'))
  const imports = files.flatMap(name => [...readFileSync(join(SCHEMA_BUILD, name), 'utf8').matchAll(/from '(ajv[^']*)'/g)].map(match => match[1] ?? ''))
  t.deepEqual(imports.filter(path => !path.startsWith('ajv/dist/runtime/')), [])
})

test('generated validators accept the same documents as their schemas', t => {
  const ajv = new Ajv({ allErrors: true, strict: false })
  ajv.addSchema(SCHEMAS)
  const isMessage = ajv.compile({ $ref: 'messages#/definitions/GossipMessage' })
  t.true(isGossipMessage(MESSAGE))
  for (const variant of [...createVariants(MESSAGE), ...createVariants(MEMBER).map(sender => ({ ...MESSAGE, sender }))]) {
    t.is(isGossipMessage(variant), isMessage(variant), JSON.stringify(variant))
  }
  t.false(isVmList({ vms: 3 }))
  t.true(explainErrors(isVmList).length > 0)
})
