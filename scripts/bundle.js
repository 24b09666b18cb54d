/**
 * Bundles the platform's entry program from the sources into target/, with the
 * compiled code of V8 beside it. After a loss of power the whole fleet starts
 * at the same moment on small VMs, and each ms of a start is a ms of outage.
 */
import { mkdirSync, readFileSync, writeFileSync, copyFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { fileURLToPath } from 'node:url'
import { Script } from 'node:vm'
import { build } from 'esbuild'

const OUT = 'target/wisteriavalved.cjs'
const slim = name => fileURLToPath(new URL(`slim/${name}`, import.meta.url))

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: OUT,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  conditions: ['source'],
  minifySyntax: true,
  minifyWhitespace: true,
  alias: { undici: slim('undici.cjs'), 'prom-client': slim('prom-client.cjs'), 'node:http2': slim('http2.cjs') },
  // The parts of a package are reached under its own name.
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
const script = new Script(`(function (require, module, exports) {${readFileSync(OUT, 'utf8')}\n})`, { filename: OUT })
writeFileSync(`${OUT}.cache`, script.createCachedData())
copyFileSync('scripts/start.cjs', 'target/start.cjs')
