#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3. It needs no network.
cd "$(dirname "$0")/stand-ins-3" || exit 2
GOFLAGS=-mod=mod GOTOOLCHAIN=local GOWORK=off exec go build -o ../../target/review-3 .
