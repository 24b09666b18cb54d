/**
 * Runs one real daemon as a child process and collects its log lines.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

export type DaemonProcess = {
  pid: number
  logLines: () => readonly string[]
  /** Resolves with the first log line that matches, including earlier lines. @throws Error after timeoutMs */
  waitForLog: (matches: (line: string) => boolean, timeoutMs?: number) => Promise<string>
  /** Resolves with the exit code, or -1 after a signal. */
  exited: Promise<number>
  isRunning: () => boolean
  signal: (signal: NodeJS.Signals) => void
}

const BIN = fileURLToPath(new URL('../../../daemon/bin/wisteriavalved.js', import.meta.url))
const LOG_LINES_MAX = 20_000
export const WAIT_TIMEOUT_MS = 20_000

const runningChildren = new Set<ChildProcess>()

/** Kills the daemons when this process exits or is terminated by a signal. */
const killOnProcessExit = (child: ChildProcess): void => {
  if (runningChildren.size === 0 && process.listenerCount('SIGTERM') === 0) {
    process.once('exit', () => runningChildren.forEach(each => each.kill('SIGKILL')))
    process.once('SIGTERM', () => process.exit(143))
    process.once('SIGINT', () => process.exit(130))
  }
  runningChildren.add(child)
  child.once('exit', () => runningChildren.delete(child))
}

/** @param settings environment variables without their prefix, as docs/settings.md lists them */
export const startDaemonProcess = (settings: Record<string, string>): DaemonProcess => {
  const environment = Object.fromEntries(Object.entries(settings).map(([name, value]) => [`WISTERIAVALVE_${name}`, value]))
  const child = spawn(process.execPath, [BIN], { env: { PATH: process.env.PATH, ...environment }, stdio: ['ignore', 'pipe', 'pipe'] })
  killOnProcessExit(child)
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
      const earlierLine = lines.find(matches)
      if (earlierLine !== undefined) {
        resolve(earlierLine)
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
        reject(new Error(`no matching log line within ${timeoutMs} ms; last lines:\n${lines.slice(-10).join('\n')}`))
      }, timeoutMs)
      listeners.add(listener)
    })

  return {
    pid: child.pid ?? 0,
    logLines: () => lines,
    waitForLog,
    exited,
    isRunning: () => child.exitCode === null && child.signalCode === null,
    signal: signal => { child.kill(signal) }
  }
}
