#!/bin/sh
# Measures the figures of docs/CAPACITY.md: the modules (jhbench), one idle
# entry daemon and one idle agent with growing instance lists, both under
# growing load, and entry daemons that start at once. It reads CPU time, on
# which other processes of the machine have less influence.
#   bench/capacity.sh [parts] [idle] [traffic] [streams] [herds]
set -eu
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
. bench/capacity_lib.sh
. bench/capacity_herd.sh
DIR=$(mktemp -d)
PIDS=
trap 'stop_daemons; rm -rf "$DIR"' EXIT

print_header() {
	printf '%-26s %10s %10s %10s %10s\n' "$1" entry-cpu% agent-cpu% \
	    entry-MB agent-MB
}

# load RATE TOKENS: sends requests with so many output tokens.
load() {
	"$BUILD/jhload" --target $ENTRY --rate "$1" --tokens "$2" \
	    --background 0 --only-org 0 --records 1 \
	    --record-kb "${RECORD_KB:-32}" --seconds "$WINDOW"
}

# measure_load RATE TOKENS: measures the daemons under a load.
measure_load() {
	measure "$1 requests/s x $2 tokens" load "$1" "$2"
	awk '/^urgent/ {printf "%26s %s sent, %s whole\n", "", $2, $3}' \
	    "$DIR/output"
}

parts() {
	"$BUILD/jhbench" --seed 1 cost spread
}

idle() {
	print_header "idle, rows of the list"
	for n in 50 700 6740; do
		start_daemons $n
		for try in 1 2 3; do
			measure "$n rows" sleep "$WINDOW"
		done
		stop_daemons
	done
}

traffic() {
	print_header "load, list of 50 rows"
	start_daemons 50
	measure "none" sleep "$WINDOW"
	for rate in 10 20 40; do
		measure_load $rate 1
	done
	for tokens in 65 130 263; do
		measure_load 19 $tokens
	done
	for RECORD_KB in 4 40 400; do
		measure_load 10 1
	done
	stop_daemons
}

# Measures memory while N streams run at once; each lasts about 8 s.
streams() {
	print_header "streams at once"
	start_daemons 50
	measure "0" sleep 1
	for n in 50 100 200; do
		"$BUILD/jhload" --target $ENTRY --concurrency $n --tokens 4000 \
		    --background 0 --only-org 0 --records 1 --record-kb 32 \
		    --seconds 1 --max-requests $n >"$DIR/streams" 2>&1 &
		load_pid=$!
		sleep 5
		measure "$n" sleep 1
		wait $load_pid || true
		awk '/^urgent/ {printf "%26s %s sent, %s whole\n", "", $2, $3}' \
		    "$DIR/streams"
	done
	stop_daemons
}

for part in ${*:-parts idle traffic streams herds}; do
	"$part"
done
