#!/bin/sh
# Runs benchmarks of the daemons on loopback.
#   bench/run.sh                  both parts
#   bench/run.sh part1 [GROUP...] router overhead: latency saturate per_token memory
#   bench/run.sh part2 [CASE...]  placement policies at the present sizes
# Environment: BUILD, ROUNDS (part 1), POLICIES, DEPLOYMENTS, RATE, SEED (part 2).
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
. demo/lib.sh
. bench/lib.sh
. bench/part1.sh
. bench/part2.sh
DIR=$(mktemp -d "$BUILD/bench.XXXXXX")
trap 'stop_all >/dev/null 2>&1; rm -rf "$DIR"' EXIT
trap 'exit 1' INT TERM

case ${1:-all} in
all) (part1) && part2 ;;
part1)
	shift
	part1 "$@"
	;;
part2)
	shift
	part2 "$@"
	;;
*)
	echo "usage: bench/run.sh [part1 [GROUP...] | part2 [CASE...]]" >&2
	exit 2
	;;
esac
