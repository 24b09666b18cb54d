/**
 * Command-line tool `wisteriavalve`.
 */
export * from './program.js'
export * from './types.js'
export * from './exit-codes.js'
export * from './command-line-page.js'
export { COMMANDS } from './commands.js'
