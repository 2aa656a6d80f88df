#!/bin/sh
# Runs every fuzz test of the workspace. The first argument is the time per test,
# for example 20s.
set -eu
cd "$(dirname "$0")/.."
for dir in $(grep -rl --include='*_test.go' '^func Fuzz' . | xargs -r -n1 dirname | sort -u); do
	for name in $(grep -h -o '^func Fuzz[A-Za-z0-9_]*' "$dir"/*_test.go | cut -d' ' -f2); do
		echo "$dir $name"
		(cd "$dir" && go test -run '^$' -fuzz "^$name\$" -fuzztime "$1" .)
	done
done
