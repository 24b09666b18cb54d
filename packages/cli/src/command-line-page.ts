/**
 * Generated sections of docs/command-line.md: the help text of each command and
 * the table of exit codes, between markers such as <!-- help check --> and
 * <!-- end -->.
 */
import { PassThrough } from 'node:stream'
import { text } from 'node:stream/consumers'
import { EXIT_CODES } from './exit-codes.js'
import { runTool } from './program.js'

const renderHelp = async (command: string): Promise<string> => {
  const stdout = new PassThrough()
  const shown = text(stdout)
  await runTool(command === 'all' ? ['--help'] : [command, '--help'], {
    stdin: new PassThrough(), stdout, stderr: new PassThrough(), env: {}, nowWallMs: () => 0
  })
  stdout.end()
  return `\`\`\`\n${(await shown).split('\n\nExit codes:')[0]?.trimEnd()}\n\`\`\``
}

const renderExitCodes = (): string => [
  '| Code | Name | Meaning |', '| --- | --- | --- |', ...EXIT_CODES.map(({ code, name, meaning }) => `| ${code} | ${name} | ${meaning} |`)
].join('\n')

const GENERATED_SECTION = /(<!-- (?:help (\w+)|exit-codes) -->\n)[\s\S]*?(<!-- end -->)/g

/** Returns the page with its generated sections updated. */
export const updateCommandLinePage = async (page: string): Promise<string> => {
  const commands = new Set([...page.matchAll(GENERATED_SECTION)].flatMap(([, , command]) => command ?? []))
  const helpTexts = new Map<string, string>()
  for (const command of commands) helpTexts.set(command, await renderHelp(command))
  return page.replaceAll(GENERATED_SECTION, (_all, begin: string, command: string | undefined, end: string) =>
    `${begin}${command === undefined ? renderExitCodes() : helpTexts.get(command)}\n${end}`)
}
