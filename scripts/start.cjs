/**
 * Loads the bundle with its compiled code. Code of another version of V8 is
 * rejected by V8 itself, and the bundle is compiled anew.
 *
 * V8's flags are set here and not on the command line: there they would make
 * V8 reject the compiled code of Node's own modules, which costs half of a
 * start. For the same reason those modules are loaded first.
 */

// A request to reload may come before the program can take it, and would end the process.
process.on('SIGHUP', () => {})

const { readFileSync } = require('node:fs')
const { join } = require('node:path')
const { setFlagsFromString } = require('node:v8')
const { Script } = require('node:vm')

const NODE_MODULES = ['assert', 'crypto', 'dgram', 'http', 'https', 'net', 'os', 'perf_hooks', 'stream', 'tls', 'url', 'util', 'worker_threads', 'zlib']

const V8_FLAGS = [
  // The HTTP parser is WebAssembly; optimizing it doubles the memory of a start and brings little.
  '--liftoff-only',
  '--no-wasm-dynamic-tiering',
  '--wasm-lazy-compilation',
  // The young generation stays small, since memory is scarcer than processor time on an entry VM.
  '--semi-space-growth-factor=1'
]

for (const name of NODE_MODULES) require(`node:${name}`)

const path = join(__dirname, 'wisteriavalved.cjs')
const source = `(function (require, module, exports) {${readFileSync(path, 'utf8')}\n})`
const script = new Script(source, { filename: path, cachedData: readFileSync(`${path}.cache`) })
for (const flag of V8_FLAGS) setFlagsFromString(flag)
script.runInThisContext()(require, module, exports)
