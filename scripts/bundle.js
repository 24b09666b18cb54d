/**
 * Bundles the platform's entry program from the sources into target/, so that
 * a node loads one file at its start.
 */
import { build } from 'esbuild'

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/wisteriavalved.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  conditions: ['source'],
  minifySyntax: true,
  // CommonJS libraries inside an ES module call require for Node's own modules.
  banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" },
  logLevel: 'warning'
})
