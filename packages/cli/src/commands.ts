/**
 * All commands, in the order of the help text.
 */
import { checkCommand } from './commands/check.js'
import { diffCommand } from './commands/diff.js'
import { generateCommand } from './commands/generate.js'
import { explainCommand } from './commands/explain.js'
import { initCommand } from './commands/init.js'
import { previewCommand } from './commands/preview.js'
import { reportCommand } from './commands/report.js'
import { statusCommand } from './commands/status.js'
import { traceCommand } from './commands/trace.js'
import type { CommandModule } from './types.js'

export const COMMANDS: readonly CommandModule[] = [initCommand, checkCommand, generateCommand, diffCommand, statusCommand, explainCommand, previewCommand, traceCommand, reportCommand]
