#!/bin/sh
# Prints the names of the tests that KNOWN-RED.txt lists with a line "skipped:",
# one per line. Fails unless each name is that of exactly one test, since go test
# skips a name in all packages.
set -eu
cd "$(dirname "$0")/.."
sed -n 's/^  skipped: //p' KNOWN-RED.txt | while read -r name; do
	n=$(grep -rhE --include='*_test.go' "^func $name\(t \*testing\.T\)" . | wc -l)
	if [ "$n" -ne 1 ]; then
		echo "KNOWN-RED.txt: $n tests are named $name, must be 1" >&2
		exit 1
	fi
	echo "$name"
done
