/**
 * Bundles the platform's entry program from the sources into target/, or the
 * folder that is given, together with V8's compiled code of the bundle. After a power failure the whole fleet
 * starts at the same time on small VMs, and each ms of a start is a ms of outage.
 */
import { mkdirSync, readFileSync, writeFileSync, copyFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Script } from 'node:vm'
import { build } from 'esbuild'

const directory = process.argv[2] ?? 'target'
const bundlePath = join(directory, 'wisteriavalved.cjs')
const slimPath = name => fileURLToPath(new URL(`slim/${name}`, import.meta.url))

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: bundlePath,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  conditions: ['source'],
  minifySyntax: true,
  minifyWhitespace: true,
  alias: { undici: slimPath('undici.cjs'), 'prom-client': slimPath('prom-client.cjs'), 'node:http2': slimPath('http2.cjs'), 'node:assert': slimPath('assert.cjs'), assert: slimPath('assert.cjs') },
  // Imports of files inside these packages are resolved to the packages and not to the aliases.
  plugins: [{
    name: 'parts',
    setup: ({ onResolve }) => {
      const require = createRequire(import.meta.url)
      onResolve({ filter: /^(undici|prom-client)\// }, ({ path }) => ({ path: require.resolve(path) }))
    }
  }],
  logLevel: 'warning'
})

mkdirSync(directory, { recursive: true })
const script = new Script(`(function (require, module, exports) {${readFileSync(bundlePath, 'utf8')}\n})`, { filename: bundlePath })
writeFileSync(`${bundlePath}.cache`, script.createCachedData())
copyFileSync('scripts/start.cjs', join(directory, 'start.cjs'))
