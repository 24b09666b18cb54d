/**
 * Child processes of the overhead bench, and the processor time of a process.
 */
import { fork } from 'node:child_process'
import { readFile } from 'node:fs/promises'
import { fileURLToPath } from 'node:url'

export type Child = { pid: number, ports: number[], close: () => void }

/** @param name module in this directory */
export const startChild = (name: string, args: readonly string[]): Promise<Child> => new Promise((resolve, reject) => {
  const child = fork(fileURLToPath(new URL(`./${name}.js`, import.meta.url)), args)
  child.once('message', (message: { ports: number[] }) => resolve({
    pid: child.pid ?? 0, ports: message.ports, close: () => { if (child.connected) child.disconnect() }
  }))
  child.once('exit', code => reject(new Error(`${name} exited with code ${code}`)))
})

/** Duration of a Linux clock tick, the unit of processor time in proc(5). */
const MS_PER_TICK = 10
const USER_TIME_FIELD = 11

/** User and system processor time that a process has used so far. */
export const processorTimeMs = async (pid: number): Promise<number> => {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8')
  // The process name in parentheses can contain spaces, so fields are counted after it.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[USER_TIME_FIELD]) + Number(fields[USER_TIME_FIELD + 1])) * MS_PER_TICK
}
