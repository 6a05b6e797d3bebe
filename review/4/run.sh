#!/bin/sh
# TROUBLE=0 does the same without the disruption. Exit codes: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
exec node play.mjs
