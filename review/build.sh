#!/bin/sh
# The stand-ins are plain modules for Node.js and need no build; this checks that they can be read.
set -eu
cd "$(dirname "$0")"
for file in lib.mjs unanswered.mjs [1-5]/*.mjs; do node --check "$file"; done
