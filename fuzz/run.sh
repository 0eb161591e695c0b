#!/bin/sh
# Usage: run.sh corpus RUNS SEED NAME... or run.sh search SECONDS SEED NAME...
# Runs the fuzz targets; prints one line for each, and a total.
set -u
mode=$1 amount=$2 seed=$3
shift 3
dir=${BUILD:-build}/fuzz
passed=0
failed=0

# The corpus must pass unchanged before new inputs are derived from it.
corpus() {
	"$dir/fuzz_$1" -runs=0 "fuzz/corpus/$1" &&
	    "$dir/fuzz_$1" -runs="$amount" -seed="$seed" -timeout=10 \
	    -artifact_prefix="$dir/$1-" "$dir/scratch/$1" "fuzz/corpus/$1"
}

search() {
	mkdir -p "$dir/found/$1" &&
	    "$dir/fuzz_$1" -max_total_time="$amount" -seed="$seed" \
	    -timeout=10 -artifact_prefix="$dir/$1-" "$dir/found/$1" \
	    "fuzz/corpus/$1"
}

rm -rf "$dir/scratch"
for name in "$@"; do
	mkdir -p "$dir/scratch/$name"
	if "$mode" "$name" >"$dir/$name.log" 2>&1; then
		passed=$((passed + 1))
		echo "ok   fuzz_$name $(grep -h '^Done' "$dir/$name.log" |
		    tail -n 1)"
	else
		failed=$((failed + 1))
		echo "FAIL fuzz_$name"
		tail -n 60 "$dir/$name.log"
	fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
