/**
 * Register of the commands, in the order of the help text.
 */
import { generateCommand } from './commands/generate.js'
import type { CommandModule } from './types.js'

export const COMMANDS: readonly CommandModule[] = [generateCommand]
