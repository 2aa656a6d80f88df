#!/bin/sh
# Fails if a name of the platform's wire protocol is used outside platform/ and
# outside the stand-ins, which implement that protocol. Tests are not checked.
set -eu
cd "$(dirname "$0")/.."
names='run-start|run-stop|/-/hold|/-/pace|/-/log-|fencing_token|X-Mimosadock-|max_hold_ms|path_prefix'
found=$(git ls-files '*.go' | grep -v -e '^platform/' -e '^standin/' -e '_test\.go$' | xargs grep -nE "$names" || true)
if [ -n "$found" ]; then
	echo "names of the platform's wire outside platform/:"
	echo "$found"
	exit 1
fi
