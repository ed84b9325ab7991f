#!/bin/sh
# Builds the stand-ins of the cases 6 to 9 into target/. It needs no network.
set -e
cd "$(dirname "$0")/stand-ins-2"
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review2 .
