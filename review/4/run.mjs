/** One bit of the status code is wrong: 000 in place of 200. */
import { runCase } from '../lib.mjs'
import { playSpoiledAnswers } from '../unanswered.mjs'

await runCase('record.txt', playSpoiledAnswers('HTTP/1.1 000 OK'))
