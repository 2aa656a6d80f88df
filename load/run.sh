#!/bin/sh
# Starts the stand-in and seven entry processes on loopback and sends load with a
# swing. During the load it shuts down, kills, pauses and restarts entry processes
# by their process ids. Prints a table of the results from the view of the
# callers. Exits with 1 if an answer was wrong or duplicated. Ends all processes
# that it started.
#
# LOAD_PORT is the first port used. LOAD_RATE is the rate outside the swing, in
# requests per second.
set -eu
cd "$(dirname "$0")/.."
port=${LOAD_PORT:-17000}
rate=${LOAD_RATE:-300}
dir=$(mktemp -d)
children=

finish() {
	code=$?
	trap - EXIT INT TERM
	for pid in $children; do
		kill -CONT "$pid" 2>/dev/null || true
		kill -KILL "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	if [ "$code" -ne 0 ]; then
		for log in "$dir"/*.log; do
			echo "last lines of $(basename "$log"):"
			tail -n 3 "$log"
		done
	fi
	rm -rf "$dir"
	exit "$code"
}
trap finish EXIT
trap 'exit 130' INT TERM

# start_entry N starts entry process N and sets pid_N.
start_entry() {
	# shellcheck disable=SC2086
	MIMOSA_DRAIN_FOR=5s MIMOSA_BALANCER_WAIT=1s bin/entry \
		--listen "127.0.0.1:$((port + 100 + $1))" --operator "127.0.0.1:$((port + 200 + $1))" \
		--peer-listen "127.0.0.1:$((port + 300 + $1))" $peers --host-list "127.0.0.1:$((port + 1))" \
		--data-centre kelso --journal "127.0.0.1:$port" --log-level warn >>"$dir/entry$1.log" 2>&1 &
	eval "pid_$1=$!"
	children="$children $!"
}

# signal NAME N sends a signal to entry process N.
signal() {
	eval "pid=\$pid_$2"
	echo "$(($(date +%s) - began)) s: $1 to entry process $2"
	kill "-$1" "$pid"
}

restart() {
	echo "$(($(date +%s) - began)) s: restart of entry process $1"
	start_entry "$1"
}

bin/standin --journal "127.0.0.1:$port" --hosts "127.0.0.1:$((port + 1))" --operator "127.0.0.1:$((port + 2))" \
	--upstreams 16 --slots 8 >"$dir/standin.log" 2>&1 &
children="$children $!"
bin/load configure --journal "127.0.0.1:$port" --hosts "127.0.0.1:$((port + 1))"
targets=
peers=
for n in 1 2 3 4 5 6 7; do
	peers="$peers --peers 127.0.0.1:$((port + 300 + n))"
done
for n in 1 2 3 4 5 6 7; do
	start_entry "$n"
	targets="$targets --target 127.0.0.1:$((port + 100 + n))"
done

# No entry process may grant slots before one of them has claimed the data
# centre.
sleep 12
began=$(date +%s)
# shellcheck disable=SC2086
bin/load send $targets --ready 20s --rate "$rate" --factor 5 --swing-from 6s --swing-to 9s \
	--duration 20s --total 60000 \
	--service lookup:0.9:20 --service weigh:0.06:20 --service growth:0.04:200 >"$dir/table" &
load=$!
children="$children $load"
sleep 3
signal TERM 1
sleep 4
signal KILL 2
restart 1
sleep 2
restart 2
signal STOP 3
sleep 3
signal CONT 3
sleep 1
signal TERM 4
signal KILL 5
sleep 3
restart 5
code=0
wait "$load" || code=$?
cat "$dir/table"
exit "$code"
