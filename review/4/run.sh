#!/usr/bin/env bash
# Runs the case. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 leaves out the disruption.
export TROUBLE="${TROUBLE:-1}"
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/nutmegnode ] && [ -x target/review/case4 ] || exit 2
exec target/review/case4 "$folder"
