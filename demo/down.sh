#!/bin/sh
# Stops what up.sh started.
set -eu
cd "$(dirname "$0")/.."
DIR=$BUILD/demo
[ -s "$DIR/pids" ] || { echo "not running"; exit 0; }
for kind in entry worker app engine service list store; do
	for pid in $(grep " $kind" "$DIR/pids" | cut -d' ' -f1); do
		kill -TERM "$pid" 2>/dev/null || true
	done
	for pid in $(grep " $kind" "$DIR/pids" | cut -d' ' -f1); do
		while kill -0 "$pid" 2>/dev/null; do sleep 0.1; done
	done
done
rm -f "$DIR/pids"
