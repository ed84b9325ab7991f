#!/bin/sh
# Exits with 1 if DRAIN was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0
# it does the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/nutmegnode ] && [ -x target/review2 ] || { echo "run the build of the deploy file and review/build-2.sh first"; exit 2; }
if [ "${TROUBLE:-1}" = 0 ]; then
	exec target/review2 departed "$folder" calm
fi
exec target/review2 departed "$folder" trouble
