#!/bin/sh
# Exits with 1 if EXPOSURE was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/nutmegnode ] && [ -x target/review2 ] || { echo "run the build of the deploy file and review/build-2.sh first"; exit 2; }
exec target/review2 stuck "$folder"
