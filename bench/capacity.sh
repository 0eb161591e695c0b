#!/bin/sh
# Measures what docs/CAPACITY.md stands on: the parts (jhbench), one idle entry
# daemon and one idle agent beside growing instance lists, and both under
# growing load, then herds of entry daemons. CPU time, so that other work on the machine matters less.
set -eu
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
. bench/capacity_lib.sh
. bench/capacity_herd.sh
DIR=$(mktemp -d)
PIDS=
trap 'down; rm -rf "$DIR"' EXIT

head_row() {
	printf '%-26s %10s %10s %10s %10s\n' "$1" entry-cpu% agent-cpu% \
	    entry-MB agent-MB
}

# load RATE TOKENS
load() {
	"$BUILD/jhload" --target $ENTRY --rate "$1" --tokens "$2" \
	    --background 0 --only-org 0 --records 1 \
	    --record-kb "${RECORD_KB:-32}" --seconds "$WINDOW"
}

# loaded RATE TOKENS
loaded() {
	reading "$1 requests/s x $2 tokens" load "$1" "$2"
	awk '/^urgent/ {printf "%26s %s sent, %s whole\n", "", $2, $3}' \
	    "$DIR/reading"
}

parts() {
	"$BUILD/jhbench" --seed 1 cost spread
}

idle() {
	head_row "idle, rows of the list"
	for n in 50 700 6740; do
		up $n
		for try in 1 2 3; do
			reading "$n rows" sleep "$WINDOW"
		done
		down
	done
}

traffic() {
	head_row "load, list of 50 rows"
	up 50
	reading "none" sleep "$WINDOW"
	for rate in 10 20 40; do
		loaded $rate 1
	done
	for tokens in 65 130 263; do
		loaded 19 $tokens
	done
	for RECORD_KB in 4 40 400; do
		loaded 10 1
	done
	down
}

# Memory while N streams run at once; each lasts about 8 s.
streams() {
	head_row "streams at once"
	up 50
	reading "0" sleep 1
	for n in 50 100 200; do
		"$BUILD/jhload" --target $ENTRY --concurrency $n --tokens 4000 \
		    --background 0 --only-org 0 --records 1 --record-kb 32 \
		    --seconds 1 --max-requests $n >"$DIR/streams" 2>&1 &
		load_pid=$!
		sleep 5
		reading "$n" sleep 1
		wait $load_pid || true
		awk '/^urgent/ {printf "%26s %s sent, %s whole\n", "", $2, $3}' \
		    "$DIR/streams"
	done
	down
}

for part in ${*:-parts idle traffic streams herds}; do
	"$part"
done
