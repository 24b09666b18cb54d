/**
 * Ends the process of a test file after its tests; daemons and servers in it
 * would keep it running.
 */
import { registerCompletionHandler } from 'ava'

registerCompletionHandler(() => process.exit())
