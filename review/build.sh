#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, as a test binary. Needs
# no network once the build of the deploy file has run.
set -eu
cd "$(dirname "$0")"
GOFLAGS="${GOFLAGS:-} -mod=readonly" go test -c -o bin/rig ./rig
