#!/usr/bin/env bash
# Builds the stand-ins and cases of the review into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/ ./review/case*
