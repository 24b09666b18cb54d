/** Test helpers used by the tests and benches of other packages. */
export * from './sample-configuration.js'
export * from './simulated-fleet.js'
