/**
 * Runs the real binary, or the tool in this process with its own streams.
 */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PassThrough } from 'node:stream'
import { text } from 'node:stream/consumers'
import { fileURLToPath } from 'node:url'
import { parse, stringify } from 'yaml'
import { exitCode, runTool } from '../src/index.js'

export const ROOT = fileURLToPath(new URL('../../../../', import.meta.url))
export const EXAMPLE = join(ROOT, 'examples/okonkwo.yaml')
const BINARY = join(ROOT, 'packages/cli/bin/wisteriavalve.js')

const folders: string[] = []
process.on('exit', () => folders.forEach(folder => rmSync(folder, { recursive: true, force: true })))

export const createFolder = (): string => {
  const folder = mkdtempSync(join(tmpdir(), 'wisteriavalve-'))
  folders.push(folder)
  return folder
}

export type Run = { code: number | null, stdout: string, stderr: string }

export const startBinary = (args: readonly string[], env: Record<string, string> = {}) =>
  spawn(process.execPath, [BINARY, ...args], { env: { PATH: process.env.PATH, ...env }, stdio: ['ignore', 'pipe', 'pipe'] })

export const runBinary = async (args: readonly string[], env: Record<string, string> = {}): Promise<Run> => {
  const child = startBinary(args, env)
  const closed = new Promise<number | null>(resolve => child.once('close', resolve))
  const [stdout, stderr, code] = await Promise.all([text(child.stdout), text(child.stderr), closed])
  return { code, stdout, stderr }
}

/** Writes the example answers with a change to a file in a new folder. */
export const writeAnswers = (change: (answers: any) => void): string => {
  const answers = parse(readFileSync(EXAMPLE, 'utf8'))
  change(answers)
  const file = join(createFolder(), 'answers.yaml')
  writeFileSync(file, stringify(answers))
  return file
}

// eslint-disable-next-line no-control-regex
const CONTROL_SEQUENCE = /\u001b\[[0-9;?]*[A-Za-z]/g

/** Text to type when a question is shown. Each reply is used once; for other questions Enter is pressed. */
export type Replies = readonly { question: string, type: string }[]

/** Runs the tool in this process and types each reply when its question is shown. */
export const runInteractive = async (args: readonly string[], replies: Replies): Promise<Run> => {
  const stdin = new PassThrough()
  const stdout = new PassThrough()
  const stderr = new PassThrough()
  const waiting = [...replies]
  let shown = ''
  let isReplied = false
  let position = 0
  stdout.on('data', (chunk: Buffer) => {
    shown += chunk.toString().replaceAll(CONTROL_SEQUENCE, '')
    const done = shown.slice(position).search(/✔|> must/)
    if (isReplied && done >= 0) {
      isReplied = false
      position += done
      if (shown[position] === '✔') position += shown.slice(position).search(/\n|$/)
    }
    const prompt = /([?] [A-Z]|> must).*/s.exec(shown.slice(position))?.[0]
    if (isReplied || prompt === undefined) return
    isReplied = true
    const reply = waiting.find(({ question }) => prompt.includes(question))
    if (reply) waiting.splice(waiting.indexOf(reply), 1)
    setImmediate(() => stdin.write(reply?.type ?? '\r'))
  })
  const errors = text(stderr)
  const exit = await runTool(args, { stdin, stdout, stderr, env: {}, nowWallMs: Date.now })
  stderr.end()
  return { code: exitCode(exit), stdout: shown, stderr: await errors }
}
