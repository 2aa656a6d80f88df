#!/bin/sh
# Runs every fuzz test of the workspace for the time given as first argument.
set -eu
cd "$(dirname "$0")/.."
for dir in $(grep -rl --include='*_test.go' '^func Fuzz' . | xargs -r -n1 dirname | sort -u); do
	for name in $(grep -h -o '^func Fuzz[A-Za-z0-9_]*' "$dir"/*_test.go | cut -d' ' -f2); do
		echo "$dir $name"
		(cd "$dir" && go test -run '^$' -fuzz "^$name\$" -fuzztime "$1" .)
	done
done
