/** Parts of the tests that tests and benches of other packages use. */
export * from './sample-configuration.js'
export * from './simulated-fleet.js'
