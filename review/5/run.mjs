/** One bit of the reason phrase is wrong: the byte CB in place of the letter K. */
import { runCase } from '../lib.mjs'
import { playSpoiledAnswers } from '../unanswered.mjs'

const hasTrouble = process.env.TROUBLE !== '0'

await runCase('record.txt', hasTrouble, playSpoiledAnswers('HTTP/1.1 200 O\u00cb'))
