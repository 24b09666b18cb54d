/** One bit of the reason phrase is wrong: the byte CB in place of the letter K. */
import { runCase } from '../lib.mjs'
import { playSpoiledAnswers } from '../unanswered.mjs'

await runCase('record.txt', playSpoiledAnswers('HTTP/1.1 200 O\u00cb'))
