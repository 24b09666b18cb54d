/** One bit of the status code is wrong: 000 in place of 200. */
import { runCase } from '../lib.mjs'
import { playSpoiledAnswers } from '../unanswered.mjs'

const hasTrouble = process.env.TROUBLE !== '0'

await runCase('record.txt', hasTrouble, playSpoiledAnswers('HTTP/1.1 000 OK'))
