#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/4 and later start. It needs no network: the module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/rig-2"
GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o bin/rig2 .
