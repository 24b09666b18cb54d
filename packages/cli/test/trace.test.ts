/**
 * Guards against a trace that states the wrong cause, mixes up requests or
 * nodes, or does not report that the logs are incomplete.
 */
import test from 'ava'
import { parseLogLine, type LogLine } from '../src/trace/log-line.js'
import { traceRequest } from '../src/trace/request-trace.js'

const AT = '2026-10-22T11:04:'
const lines = (...texts: string[]): LogLine[] => texts.map(text => parseLogLine(text)).filter(line => line !== undefined)

const NODE = lines(
  `level=info time=${AT}00.000Z node=n1 event=daemon_started zone=a`,
  `level=info time=${AT}01.000Z node=n1 event=configuration_adopted revision=4 source=store`,
  `level=info time=${AT}02.000Z node=n1 event=target_state service=s target=t1 state=ready reason="listed when this node started"`,
  `level=info time=${AT}02.000Z node=n2 event=target_state service=s target=t1 state=ejected reason="5 failures in a row"`
)

test('a line is parsed after the prefix of a log collector, and other lines are ignored', t => {
  const line = parseLogLine(`  32.0413 front-1 level=info time=${AT}00.000Z node=n1 event=request_failed message="a b=c"`)
  t.like(line, { event: 'request_failed', node: 'n1' })
  t.is(line?.fields.message, 'a b=c')
  for (const text of ['', 'Error: x', 'level=info time=never event=x', `level=info time=${AT}00.000Z`]) t.is(parseLogLine(text), undefined)
})

test('a refused request is reported as not run, with the retry delay sent to its caller', t => {
  const path = traceRequest([...NODE, ...lines(
    `level=info time=${AT}05.000Z node=n1 event=request_failed request_id=r1 service=s target="" result_code=WV-1006 result_class=not-run duration_ms=3 retry_after_ms=120 message="too busy"`,
    `level=info time=${AT}05.000Z node=n1 event=request_failed request_id=r2 service=s target="" result_code=WV-1008 result_class=not-run duration_ms=3 message="other"`
  )], 'r1')
  t.is(path.own.length, 1)
  t.regex(path.cause, /refused after 3 ms and did not run \(WV-1006\): too busy; .*120 ms/)
  t.deepEqual(path.missing, [])
})

test('an interrupted request is reported as possibly run, with the latest target state on its own node', t => {
  const path = traceRequest([...NODE, ...lines(
    `level=info time=${AT}06.000Z node=n1 event=request_failed request_id=r1 service=s target=t1 result_code=WV-2002 result_class=outcome-unknown duration_ms=210 message="lost"`,
    `level=info time=${AT}07.000Z node=n1 event=target_state service=s target=t1 state=draining reason="later"`
  )], 'r1')
  t.regex(path.cause, /may have run on t1 .* 210 ms .*WV-2002.* as ready/)
  t.deepEqual(path.context.map(({ event }) => event), ['daemon_started', 'configuration_adopted', 'target_state'])
})

test('a request that was refused because it crashes its targets leads to the targets that ended, on all nodes', t => {
  const identity = '0123456789abcdef'.repeat(2)
  const crash = (node: string, second: string, target: string, of = identity): string =>
    `level=warn time=${AT}${second}.000Z node=${node} event=request_suspect request_id=other identity=${of} caller=10.0.0.9 service=s target=${target} crashes=1`
  const path = traceRequest([...NODE, ...lines(
    crash('n1', '03', 't1'), crash('n2', '03', 't2'), crash('n2', '04', 't3'), crash('n2', '04', 't9', 'f'.repeat(32)), crash('n2', '08', 't8'),
    `level=info time=${AT}05.000Z node=n1 event=request_failed request_id=r1 service=s target="" result_code=WV-1022 result_class=not-run duration_ms=1 message="refused (identity ${identity}, 3 targets ended under it)."`
  )], 'r1')
  t.deepEqual(path.context.filter(({ event }) => event === 'request_suspect').map(({ fields }) => fields.target), ['t1', 't2', 't3'])
  t.regex(path.cause, /WV-1022.*it was running when t1, t2, t3 ended/)
})

test('a restore of the store is among the earlier events of a node', t => {
  const restored = lines(`level=warn time=${AT}03.000Z node=n1 event=store_restored revision=36 restore_count=2 previous_revision=37 previous_restore_count=1 source=store`)
  t.true(traceRequest([...NODE, ...restored, ...lines(answered('duration_ms=100 sent_after_ms=1 configuration=4'))], 'r1').context.some(({ event }) => event === 'store_restored'))
})

const answered = (fields: string): string =>
  `level=info time=${AT}09.000Z node=n1 event=request_answered request_id=r1 service=s target=t1 status=200 objective_ms=400 reason=r ${fields}`

test('for a late answer the trace states the wait in the node or the work of the target, whichever was longer', t => {
  t.regex(traceRequest([...NODE, ...lines(answered('duration_ms=900 sent_after_ms=10 configuration=4'))], 'r1').cause, /t1 worked on it for 890 ms/)
  t.regex(traceRequest([...NODE, ...lines(answered('duration_ms=900 sent_after_ms=700 configuration=4'))], 'r1').cause, /it waited 700 ms/)
})

test('an answer under an older configuration than that of another node is reported as such', t => {
  const newer = lines(`level=info time=${AT}03.000Z node=n2 event=configuration_adopted revision=7 source=store`)
  t.regex(traceRequest([...NODE, ...newer, ...lines(answered('duration_ms=100 sent_after_ms=1 configuration=4'))], 'r1').cause, /under configuration 4 while another node already had 7/)
  t.regex(traceRequest([...NODE, ...newer, ...lines(answered('duration_ms=100 sent_after_ms=1 configuration=7'))], 'r1').cause, /within its objective/)
})

test('a request without lines and a node without its start are reported as missing', t => {
  t.like(traceRequest(NODE, 'none'), { cause: 'The logs have no line about this request.', missing: ['only a sample of the requests that were answered in time is logged'] })
  t.is(traceRequest(lines(answered('duration_ms=900 sent_after_ms=10 configuration=4')), 'r1').missing.length, 2)
})
