#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, as a test binary.
# It needs no network: they use the standard library only. The schedulers come from
# the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/rig-2"
GOFLAGS=-buildvcs=false GOPROXY=off go test -c -o bin/rig .
