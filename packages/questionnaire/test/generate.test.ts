/**
 * Guards against values that differ between runs or that a node would reject,
 * and against a small change of the answers that changes unrelated values.
 */
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import test from 'ava'
import { parse } from 'yaml'
import { isAnswers, isFleetSettings, isHead, isServiceConfiguration, isShard, type Answers, type Head } from '@wisteriavalve/schema'
import { sha256Hex, headKey, shardIdOf, valueKey } from '@wisteriavalve/common'
import { generateConfiguration, VALUE_BYTES_WARNING } from '../src/index.js'

const readExample = (name: string): Answers => {
  const answers: unknown = parse(readFileSync(fileURLToPath(new URL(`../../../../examples/${name}.yaml`, import.meta.url)), 'utf8'))
  if (!isAnswers(answers)) throw new Error(JSON.stringify(isAnswers.errors))
  return answers
}

const manyServices = (count: number): Answers => {
  const answers = readExample('okonkwo')
  const [first] = answers.services
  const targets = Array.from({ length: 7 }, (_, index) => ({ id: `t-${index}`, host: `10.0.0.${index + 1}`, port: 9000, zone: 'lagos-a' }))
  answers.services = Array.from({ length: count }, (_, index) => ({ ...structuredClone(first), name: `service-${index}`, targets })) as Answers['services']
  return answers
}

const newKeys = (before: Answers, after: Answers): string[] => {
  const knownValues = new Set(generateConfiguration(before).map(({ key, bytes }) => `${key} ${sha256Hex(bytes)}`))
  return generateConfiguration(after).filter(({ key, bytes }) => !knownValues.has(`${key} ${sha256Hex(bytes)}`)).map(({ key }) => key)
}

for (const name of ['okonkwo', 'authority']) {
  test(`${name}: every value hashes to its key, passes its validator and is referenced; the head is last`, t => {
    const values = generateConfiguration(readExample(name))
    t.deepEqual(values, generateConfiguration(readExample(name)))
    const byKey = new Map(values.map(({ key, bytes }) => [key, bytes]))
    const read = (hash: string): unknown => JSON.parse(String(byKey.get(valueKey(name, hash))))
    for (const { key, bytes } of values.slice(0, -1)) t.is(key, valueKey(name, sha256Hex(bytes)))
    t.is(values.at(-1)?.key, headKey(name))
    const head: unknown = JSON.parse(String(values.at(-1)?.bytes))
    t.true(isHead(head))
    const { settingsHash, shards } = head as Head
    t.true(isFleetSettings(read(settingsHash)))
    let referencedCount = 2
    for (const [id, hash] of Object.entries(shards)) {
      const shard = read(hash)
      if (!isShard(shard)) return t.fail(`shard ${id}`)
      referencedCount++
      for (const [service, serviceHash] of Object.entries(shard.services)) {
        t.is(shardIdOf(service), id)
        t.true(isServiceConfiguration(read(serviceHash)))
        referencedCount++
      }
    }
    t.is(values.length, referencedCount)
  })
}

test('at 2,200 services a change of one service changes one service value, one shard and the head, and all values stay small', t => {
  const before = manyServices(2200)
  const after = structuredClone(before)
  after.services[777]!.slotsPerTarget = 5
  t.is(newKeys(before, after).length, 3)
  const sizes = generateConfiguration(before).map(({ bytes }) => bytes.length)
  t.true(Math.max(...sizes) < VALUE_BYTES_WARNING)
  t.log(`values=${sizes.length} bytes_max=${Math.max(...sizes)} bytes_total=${sizes.reduce((sum, size) => sum + size, 0)} head_bytes=${sizes.at(-1)}`)
})

test('the order of kinds in the file matters, the order of services and targets does not', t => {
  const answers = manyServices(3)
  const reordered = structuredClone(answers)
  reordered.services.reverse()
  reordered.services.forEach(service => service.targets?.reverse())
  t.deepEqual(newKeys(answers, reordered), [])
  reordered.services[0].kinds.reverse()
  t.is(newKeys(answers, reordered).length, 3)
})

test('a changed fleet setting changes the settings value and the head, a changed restore count only the head', t => {
  const answers = manyServices(3)
  const withOtherProbeRate = structuredClone(answers)
  withOtherProbeRate.measuring.probesPerTargetPerS = 2
  t.is(newKeys(answers, withOtherProbeRate).length, 2)
  t.deepEqual(newKeys(answers, { ...answers, configurationServiceRestoreCount: 1 }), [headKey('okonkwo')])
})
