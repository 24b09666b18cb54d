/**
 * Guards against a request that crashes target after target, and against a ban
 * of a request that was merely at targets that ended.
 */
import test from 'ava'
import { createSuspectRequests, type CrashReport } from '../src/index.js'

const HOUR_MS = 3_600_000
const BAN_MS = 600_000

const groupOf = (identity: string): string => identity.slice(0, 1)

const crash = (targetId: string, crashedMs: number, identity = 'deadly'): CrashReport => ({ identity, service: 's', targetId, crashedMs })

const createBanned = (lastCrashMs = 2_000) => {
  const suspects = createSuspectRequests(groupOf)
  for (const [index, id] of ['a', 'b', 'c'].entries()) suspects.recordCrash(crash(id, lastCrashMs - 1_000 * (2 - index)), lastCrashMs)
  return suspects
}

test('a request is banned after the third target that ended under it, and not sent twice after the second', t => {
  const suspects = createSuspectRequests(groupOf)
  const seen = ['a', 'b', 'c'].map(id => {
    suspects.recordCrash(crash(id, 0), 0)
    return [suspects.mayRepeat('deadly', 0), suspects.isBanned('deadly', 0)]
  })
  t.deepEqual(seen, [[true, false], [false, false], [false, true]])
  t.false(suspects.isBanned('harmless', 0))
})

test('one crash that several nodes report counts once, and a second crash of a restarted target counts again', t => {
  const suspects = createSuspectRequests(groupOf)
  t.true(suspects.recordCrash(crash('a', 1_000), 1_000))
  t.false(suspects.recordCrash(crash('a', 1_400), 1_400))
  t.true(suspects.recordCrash(crash('a', 4_000), 4_000))
  t.is(suspects.crashCount('deadly', 4_000), 2)
})

test('an answer clears a request', t => {
  const suspects = createSuspectRequests(groupOf)
  suspects.recordCrash(crash('a', 0), 0)
  suspects.recordCrash(crash('b', 0), 0)
  suspects.recordAnswered('deadly', 5)
  suspects.recordCrash(crash('c', 10), 10)
  t.is(suspects.crashCount('deadly', 10), 1)
})

test('crashes far apart are added up, and forgotten when there is no further one', t => {
  const suspects = createSuspectRequests(groupOf)
  suspects.recordCrash(crash('a', 0), 0)
  suspects.recordCrash(crash('b', 500_000), 500_000)
  suspects.recordCrash(crash('c', 1_000_000), 1_000_000)
  t.true(suspects.isBanned('deadly', 1_000_000))
  t.is(suspects.crashCount('deadly', 1_000_000 + 3 * HOUR_MS), 0)
  t.is(suspects.count(), 0)
})

test('a ban ends, and one further crash renews it for twice as long', t => {
  const suspects = createBanned()
  t.true(suspects.isBanned('deadly', 2_000 + BAN_MS - 1))
  t.false(suspects.isBanned('deadly', 2_000 + BAN_MS))
  t.false(suspects.mayRepeat('deadly', 2_000 + BAN_MS))
  const againMs = 2_000 + BAN_MS + 5_000
  suspects.recordCrash(crash('d', againMs), againMs)
  t.true(suspects.isBanned('deadly', againMs + 2 * BAN_MS - 1))
  t.false(suspects.isBanned('deadly', againMs + 2 * BAN_MS))
})

test('what is kept is bounded, and a flood of single crashes ends no ban', t => {
  const suspects = createBanned()
  for (let index = 0; index < 5_000; index++) suspects.recordCrash(crash('a', 3_000 + index, `request-${index}`), 3_000 + index)
  t.true(suspects.count() <= 1_024)
  t.true(suspects.isBanned('deadly', 9_000))
  t.is(suspects.crashCount('request-4999', 9_000), 1)
  for (let index = 0; index < 100; index++) suspects.recordCrash(crash(`t-${index}`, 20_000, 'request-4999'), 20_000)
  t.is(suspects.crashCount('request-4999', 20_000), 16)
})

test('a starting node that gets the reports of a peer bans the same requests', t => {
  const suspects = createBanned()
  const started = createSuspectRequests(groupOf)
  for (const report of suspects.reports(3_000)) started.recordCrash(report, 3_000)
  t.true(started.isBanned('deadly', 3_000))
})

test('a starting node is told of bans first, and of a bounded number of crashes', t => {
  const suspects = createBanned()
  for (let index = 0; index < 1_000; index++) suspects.recordCrash(crash('a', 3_000 + index, `request-${index}`), 3_000 + index)
  const reports = suspects.reports(5_000)
  t.deepEqual(reports.slice(0, 4).map(({ identity }) => identity), ['deadly', 'deadly', 'deadly', 'request-999'])
  t.is(reports.length, 256)
})

test('a group is known while a suspect of it is', t => {
  const suspects = createSuspectRequests(groupOf)
  suspects.recordCrash(crash('a', 0, 'x-1'), 0)
  suspects.recordCrash(crash('b', 0, 'x-1'), 0)
  suspects.recordCrash(crash('a', 0, 'x-2'), 0)
  suspects.recordAnswered('x-1', 1)
  t.deepEqual([suspects.hasGroup('x'), suspects.hasGroup('y')], [true, false])
  suspects.recordAnswered('x-2', 1)
  t.false(suspects.hasGroup('x'))
})

test('an answer voids the crashes before it, also those that are reported later, and no later ones', t => {
  const suspects = createSuspectRequests(groupOf)
  suspects.recordCrash(crash('a', 1_000), 1_000)
  suspects.recordCrash(crash('b', 3_000), 3_000)
  suspects.recordAnswered('deadly', 2_000)
  t.is(suspects.crashCount('deadly', 3_000), 1)
  t.false(suspects.recordCrash(crash('c', 1_500), 3_000))
  t.true(suspects.recordCrash(crash('c', 4_500), 4_500))
  t.is(suspects.crashCount('deadly', 4_500), 2)
})
