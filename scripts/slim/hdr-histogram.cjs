/**
 * The histogram that the daemon uses. The package's index also loads its
 * compressed encodings and a WebAssembly version.
 */
const { default: Int32Histogram } = require('hdr-histogram-js/dist/Int32Histogram.js')

const build = ({ lowestDiscernibleValue, highestTrackableValue, numberOfSignificantValueDigits, autoResize }) => {
  const histogram = new Int32Histogram(lowestDiscernibleValue, highestTrackableValue, numberOfSignificantValueDigits)
  histogram.autoResize = autoResize
  return histogram
}

module.exports = { build }
