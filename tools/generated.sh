#!/bin/sh
# Fails if `go generate` would change a generated file. The check compares the
# contents of the files before and after, so it also works on a tree with
# uncommitted changes.
set -eu
cd "$(dirname "$0")/.."
sums() { find . -name '*_string.go' -not -path './.git/*' -exec sha256sum {} + | sort -k2; }
before=$(sums)
make -s generate
after=$(sums)
if [ "$before" != "$after" ]; then
	echo "generated files were stale; commit the result of 'make generate':"
	printf '%s\n%s\n' "$before" "$after" | sort | uniq -u
	exit 1
fi
