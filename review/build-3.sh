#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start, as a test
# binary. It needs no network: the build of deploy/system.toml has fetched all modules.
set -e
cd "$(dirname "$0")/rig-3"
GOFLAGS=-buildvcs=false GOPROXY=off go test -c -o bin/rig .
