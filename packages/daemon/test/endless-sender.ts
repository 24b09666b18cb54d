/**
 * Backend server in a process of its own that sends bytes without end, so that
 * the processor time of the reading process is that of its reads.
 */
import { startEndlessBackend, type EndlessBytes } from './support.js'

process.once('message', (bytes: EndlessBytes) => {
  startEndlessBackend(bytes).then(port => process.send?.(port), error => { throw error })
})
process.once('disconnect', () => process.exit())
