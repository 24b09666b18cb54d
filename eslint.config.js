/**
 * Standard style, and the allowed imports between the workspace packages: a
 * package imports only the packages listed for it.
 */
import neostandard from 'neostandard'

const ALLOWED_IMPORTS = {
  schema: [],
  common: ['schema'],
  policy: ['schema', 'common'],
  fleet: ['schema', 'common'],
  questionnaire: ['schema', 'common'],
  daemon: ['schema', 'common', 'policy', 'fleet'],
  cli: ['schema', 'common', 'questionnaire', 'daemon/admin-api']
}

const PURE_PACKAGES = ['policy', 'fleet']
const IO_MODULES = ['http', 'https', 'net', 'dgram', 'fs', 'tls', 'child_process', 'worker_threads', 'timers']

const importRules = Object.entries(ALLOWED_IMPORTS).map(([name, allowed]) => ({
  files: [`packages/${name}/src/**/*.ts`],
  rules: {
    'no-restricted-imports': ['error', {
      patterns: [
        {
          regex: `^@wisteriavalve/(?!(${allowed.join('|')})$)`,
          message: `packages/${name} must not import this layer`
        },
        ...(PURE_PACKAGES.includes(name)
          ? [{ group: [...IO_MODULES, ...IO_MODULES.map(module => `node:${module}`)], message: 'decision logic has no I/O' }]
          : [])
      ]
    }]
  }
}))

/** The product and its test bench are independent of any platform: only the platform's entry program and tests import its folder. */
const platformRule = {
  files: ['packages/*/test/**/*.ts', 'packages/testbench/**/*.ts'],
  rules: {
    'no-restricted-imports': ['error', {
      patterns: [{ group: ['@wisteriavalve/platform', '**/platform/src/**', '**/platform/dist/**'], message: 'only the entry program imports the platform folder' }]
    }]
  }
}

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', 'target/**', '**/src/generated/**'] }),
  ...importRules,
  platformRule,
  {
    files: ['**/*.ts'],
    rules: { 'max-lines': ['error', { max: 350, skipBlankLines: true, skipComments: true }] }
  }
]
