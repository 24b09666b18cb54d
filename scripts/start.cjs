/**
 * Loads the bundle with its compiled code. Code of another version of V8 is
 * rejected by V8 itself, and the bundle is compiled anew.
 */
const { readFileSync } = require('node:fs')
const { join } = require('node:path')
const { Script } = require('node:vm')

const path = join(__dirname, 'wisteriavalved.cjs')
const source = `(function (require, module, exports) {${readFileSync(path, 'utf8')}\n})`
const script = new Script(source, { filename: path, cachedData: readFileSync(`${path}.cache`) })
script.runInThisContext()(require, module, exports)
