/**
 * Loads the bundle with its compiled code. V8 rejects compiled code of another
 * V8 version, and the bundle is then compiled again.
 *
 * V8's flags are set here and not on the command line. On the command line they
 * would make V8 reject the compiled code of Node's own modules, which costs half
 * of the start-up time. For the same reason these modules are loaded first.
 */

// A SIGHUP for a reload would end the process when it arrives before the program has its own handler.
process.on('SIGHUP', () => {})

const { readFileSync } = require('node:fs')
const { join } = require('node:path')
const { setFlagsFromString } = require('node:v8')
const { Script } = require('node:vm')

const NODE_MODULES = ['assert', 'crypto', 'dgram', 'http', 'https', 'net', 'os', 'perf_hooks', 'stream', 'tls', 'url', 'util', 'worker_threads', 'zlib']

const V8_FLAGS = [
  // The HTTP parser is WebAssembly. Optimizing it doubles the memory that a start needs and gains little speed.
  '--liftoff-only',
  '--no-wasm-dynamic-tiering',
  '--wasm-lazy-compilation',
  // Keeps the young generation small, because memory is scarcer than CPU time on an entry VM.
  '--semi-space-growth-factor=1'
]

for (const name of NODE_MODULES) require(`node:${name}`)

const path = join(__dirname, 'wisteriavalved.cjs')
const source = `(function (require, module, exports) {${readFileSync(path, 'utf8')}\n})`
const script = new Script(source, { filename: path, cachedData: readFileSync(`${path}.cache`) })
for (const flag of V8_FLAGS) setFlagsFromString(flag)
script.runInThisContext()(require, module, exports)
