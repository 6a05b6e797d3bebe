#!/bin/sh
# Builds the stand-ins of the cases. They are plain JavaScript, so it only checks that they can be read.
cd "$(dirname "$0")" || exit 2
for file in lib/*.mjs */play.mjs; do
  node --check "$file" || exit 1
done
