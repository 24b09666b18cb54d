#!/bin/sh
# Builds what the scripts of the second review start. Their stand-ins are plain JavaScript without
# dependencies, so this only checks that they can be loaded. The nodes are built by the deploy file.
cd "$(dirname "$0")" || exit 1
for file in lib-2.mjs 6/run.mjs 7/run.mjs 8/run.mjs 9/run.mjs 10/run.mjs; do
  [ ! -e "$file" ] || node --check "$file" || exit 1
done
