/**
 * Bundles the platform's entry program from the sources into target/, together
 * with V8's compiled code of the bundle. After a power failure the whole fleet
 * starts at the same time on small VMs, and each ms of a start is a ms of outage.
 */
import { mkdirSync, readFileSync, writeFileSync, copyFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { fileURLToPath } from 'node:url'
import { Script } from 'node:vm'
import { build } from 'esbuild'

const BUNDLE_PATH = 'target/wisteriavalved.cjs'
const slimPath = name => fileURLToPath(new URL(`slim/${name}`, import.meta.url))

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: BUNDLE_PATH,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  conditions: ['source'],
  minifySyntax: true,
  minifyWhitespace: true,
  alias: { undici: slimPath('undici.cjs'), 'prom-client': slimPath('prom-client.cjs'), 'node:http2': slimPath('http2.cjs') },
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

mkdirSync('target', { recursive: true })
const script = new Script(`(function (require, module, exports) {${readFileSync(BUNDLE_PATH, 'utf8')}\n})`, { filename: BUNDLE_PATH })
writeFileSync(`${BUNDLE_PATH}.cache`, script.createCachedData())
copyFileSync('scripts/start.cjs', 'target/start.cjs')
