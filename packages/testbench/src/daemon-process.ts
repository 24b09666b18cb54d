/**
 * One real daemon as a child process, with its log lines.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

export type DaemonProcess = {
  pid: number
  logs: () => readonly string[]
  /** Resolves with the first line, also a past one, that matches. @throws Error after timeoutMs */
  waitForLog: (matches: (line: string) => boolean, timeoutMs?: number) => Promise<string>
  /** Resolves with the exit code, or -1 after a signal. */
  exited: Promise<number>
  running: () => boolean
  signal: (signal: NodeJS.Signals) => void
}

const BIN = fileURLToPath(new URL('../../../daemon/bin/wisteriavalved.js', import.meta.url))
const LOG_LINES_MAX = 20_000
export const WAIT_TIMEOUT_MS = 20_000

const running = new Set<ChildProcess>()

/** The end of this process, also by a signal, ends its daemons. */
const endWithThisProcess = (child: ChildProcess): void => {
  if (running.size === 0 && process.listenerCount('SIGTERM') === 0) {
    process.once('exit', () => running.forEach(each => each.kill('SIGKILL')))
    process.once('SIGTERM', () => process.exit(143))
    process.once('SIGINT', () => process.exit(130))
  }
  running.add(child)
  child.once('exit', () => running.delete(child))
}

/** @param settings environment variables without their prefix, as docs/settings.md lists them */
export const startDaemonProcess = (settings: Record<string, string>): DaemonProcess => {
  const environment = Object.fromEntries(Object.entries(settings).map(([name, value]) => [`WISTERIAVALVE_${name}`, value]))
  const child = spawn(process.execPath, [BIN], { env: { PATH: process.env.PATH, ...environment }, stdio: ['ignore', 'pipe', 'pipe'] })
  endWithThisProcess(child)
  const lines: string[] = []
  const listeners = new Set<(line: string) => void>()
  for (const stream of [child.stdout, child.stderr]) {
    createInterface({ input: stream }).on('line', line => {
      if (lines.length < LOG_LINES_MAX) lines.push(line)
      for (const listener of [...listeners]) listener(line)
    })
  }
  const exited = once(child, 'exit').then(([code]) => typeof code === 'number' ? code : -1)

  const waitForLog = (matches: (line: string) => boolean, timeoutMs = WAIT_TIMEOUT_MS): Promise<string> =>
    new Promise((resolve, reject) => {
      const past = lines.find(matches)
      if (past !== undefined) {
        resolve(past)
        return
      }
      const finish = (): void => {
        clearTimeout(timer)
        listeners.delete(listener)
      }
      const listener = (line: string): void => {
        if (!matches(line)) return
        finish()
        resolve(line)
      }
      const timer = setTimeout(() => {
        finish()
        reject(new Error(`no such log line within ${timeoutMs} ms; last lines:\n${lines.slice(-10).join('\n')}`))
      }, timeoutMs)
      listeners.add(listener)
    })

  return {
    pid: child.pid ?? 0,
    logs: () => lines,
    waitForLog,
    exited,
    running: () => child.exitCode === null && child.signalCode === null,
    signal: signal => { child.kill(signal) }
  }
}
