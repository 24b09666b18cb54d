/**
 * The parts of prom-client that the daemon uses. The package's index also
 * loads its default metrics and a tracing interface.
 */
module.exports = {
  Counter: require('prom-client/lib/counter.js'),
  Gauge: require('prom-client/lib/gauge.js'),
  Histogram: require('prom-client/lib/histogram.js'),
  Registry: require('prom-client/lib/registry.js')
}
