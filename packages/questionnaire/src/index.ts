/**
 * Questions, checks of answers, generation of the configuration, and diff.
 */
export * from './types.js'
export * from './constants.js'
export * from './answer-types.js'
export * from './questions.js'
export * from './paths.js'
export * from './resolve.js'
export * from './generate.js'
export * from './check.js'
export * from './diff.js'
export * from './render-answers.js'
export * from './questions-page.js'
