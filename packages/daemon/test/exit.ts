/**
 * Exits the process of a test file after its tests, since open daemons and
 * servers would keep it running.
 */
import { registerCompletionHandler } from 'ava'

registerCompletionHandler(() => process.exit())
