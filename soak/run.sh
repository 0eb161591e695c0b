#!/bin/sh
# Runs seeds of the soak test in parallel: run.sh kept (those in seeds.txt), or
# run.sh FIRST COUNT, where FIRST may be "random". Prints the output of jhsoak
# without the totals per seed, and one total. A seed in seeds.txt may be followed
# by options; SOAK_OPTIONS are those of all other seeds.
set -u
build=${BUILD:-build}
jobs=${JOBS:-4}
options=${SOAK_OPTIONS:-}
case $1 in
kept)
	seeds=$(sed -n 's/^seed: *\([0-9].*\)/\1/p' soak/seeds.txt)
	options=
	;;
random)
	first=$(od -An -N3 -tu4 /dev/urandom | tr -d ' ')
	seeds=$(seq "$first" $((first + $2 - 1)))
	;;
*)
	seeds=$(seq "$1" $(($1 + $2 - 1)))
	;;
esac
out=$(mktemp)
trap 'rm -f "$out"' EXIT
echo "$seeds" | xargs -P "$jobs" -L 1 \
	"$build/jhsoak" --program "$build/jhplatform" $options --seed >"$out"
grep -v '^[01] passed' "$out"
passed=$(grep -c '^1 passed' "$out")
failed=$(($(echo "$seeds" | wc -l) - passed))
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
