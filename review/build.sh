#!/bin/sh
# Builds the review's stand-ins, which need nothing but Go's standard library, into review/bin.
set -eu
cd "$(dirname "$0")/rig"
GOFLAGS= GOWORK=off GOTOOLCHAIN=local go build -o ../bin/rig .
