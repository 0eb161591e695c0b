# Part 2: deployments of the present sizes with each placement policy. Sourced
# by run.sh.

POLICIES=${POLICIES:-round_robin least_load rendezvous affinity}
CASES='steady background_flood urgent_flood hot_org shift crash herd'

# Prints the arrivals a second at 0.8 of capacity. Capacity is the rate above
# which urgent requests take over 1 s to the first token with the policy
# affinity; see docs/measurements.md.
steady_rate() {
	case $1 in
	lavoir) echo "${RATE:-80}" ;;
	mwakilema) echo "${RATE:-60}" ;;
	esac
}

multiply() {
	awk -v a="$1" -v b="$2" 'BEGIN { print a * b }'
}

# run_load FILE OPTIONS...: runs jhload against both entry daemons.
run_load() {
	out=$1
	shift
	"$BUILD/jhload" --shape "$SHAPE" --target "$ENTRY1" --target "$ENTRY2" \
	    --timeout-ms 30000 "$@" >"$out" 2>&1
}

base_load() {
	run_load "$DIR/out" --rate "$R" --seconds 12 --seed "$SEED" "$@"
}

# flood OPTIONS...: adds load from 1 s on, for 10 s, with a report of its own.
flood() {
	sleep 1
	run_load "$DIR/flood" --seconds 10 --seed $((SEED + 1)) \
	    --max-requests 50000 "$@"
}

case_steady() {
	base_load --payments 0.02 --service "$SERVICE"
}

# 0.3 of the base load is background; four times that is added.
case_background_flood() {
	flood --rate "$(multiply "$R" 1.2)" --background 1 &
	load_pid=$!
	base_load
	wait $load_pid
}

case_urgent_flood() {
	flood --rate "$(multiply "$R" 2.8)" --background 0 &
	load_pid=$!
	base_load
	wait $load_pid
}

# Organisation 1 has 6 of 21 parts of the base load; nine times that is added.
case_hot_org() {
	flood --rate "$(multiply "$R" 2.57)" --only-org 1 &
	load_pid=$!
	base_load
	wait $load_pid
}

case_shift() {
	base_load --shift-at 5 --mark-at 5
}

crash_engine() {
	sleep 5
	curl -s -o /dev/null -m 2 -d '{"action":"crash"}' \
	    "http://127.0.0.1:$((BASE + 102))/control" || true
}

case_crash() {
	crash_engine &
	crash_pid=$!
	base_load --mark-at 5 &
	load_pid=$!
	wait $crash_pid
	remove_pid engine-0
	sleep 2
	start_engine 0
	wait $load_pid
}

case_herd() {
	base_load --mark-at 5 &
	load_pid=$!
	sleep 5
	for n in 0 1; do
		kill -KILL "$(pid_of entry-$n)"
		remove_pid entry-$n
		start_entry $n
	done
	wait $load_pid
}

print_header() {
	printf '%-16s %-12s %5s %5s | %7s %7s %7s %7s %7s %6s | %7s %7s %7s %6s | %8s %s\n' \
	    case policy hit hit5s u-p50 u-p95 u-p99 u-p99.9 u-good/s u-lost \
	    b-p50 b-p99 b-good/s b-lost small-p99 other-outcomes
}

print_row() {
	f=$DIR/out
	hit=$(awk '$1 == "urgent" || $1 == "background" { n += $3; s += $3 * $4 }
	    END { if (n) printf "%.3f", s / n; else print "-" }' "$f")
	ul=$(($(field "$f" urgent 2) - $(field "$f" urgent 3)))
	bl=$(($(field "$f" background 2) - $(field "$f" background 3)))
	printf '%-16s %-12s %5s %5s | %7s %7s %7s %7s %7s %6s | %7s %7s %7s %6s | %8s %s\n' \
	    "$1" "$POLICY" "$hit" "$(field "$f" marked-5s 4)" \
	    "$(field "$f" urgent 5)" "$(field "$f" urgent 6)" \
	    "$(field "$f" urgent 7)" "$(field "$f" urgent 8)" \
	    "$(field "$f" urgent 13)" $ul \
	    "$(field "$f" background 5)" "$(field "$f" background 7)" \
	    "$(field "$f" background 13)" $bl \
	    "$(field "$f" small-org 7)" \
	    "u:$(field "$f" urgent 15) b:$(field "$f" background 15)$(payments "$f")"
	[ ! -s "$DIR/flood" ] || grep -E '^(urgent|background)' "$DIR/flood" |
	    awk '{ printf "    flood %s: %s sent, %s whole, hit %s, ttft p50 %s p99 %s, good/s %s, %s\n",
		$1, $2, $3, $4, $5, $7, $13, $15 }'
	rm -f "$DIR/flood"
}

payments() {
	[ "$(field "$1" payment 2)" = - ] ||
	    echo " payments:$(field "$1" payment 3)/$(field "$1" payment 2)"
}

# part2_deployment DEPLOYMENT CASE...: runs the cases in turn with each policy;
# each policy gets newly started daemons.
part2_deployment() {
	use_deployment "$1"
	shift
	R=$(steady_rate "$SHAPE")
	SEED=${SEED:-1}
	echo "== part 2: $SHAPE, $ENGINES workers, 2 entry daemons, $R requests/s, seed $SEED; load of the machine: $(cut -d' ' -f1-3 /proc/loadavg) on $(nproc) cores"
	print_header
	for POLICY in $POLICIES; do
		start_all || return 1
		run_load "$DIR/warm" --rate "$R" --seconds 8 --seed 1000
		for c in "$@"; do
			"case_$c"
			print_row "$c"
		done
		stop_all || echo "a daemon did not stop cleanly"
		: >"$DIR/pids"
	done
}

part2() {
	[ $# -gt 0 ] || set -- $CASES
	ENGINE_OPTIONS='--prefill-rate 40000 --step-usec 15000 --per-seq-usec 300 --max-batch 16 --capacity 96'
	AGENT_EXTRA=''
	ENTRIES=2
	for d in ${DEPLOYMENTS:-lavoir mwakilema}; do
		part2_deployment "$d" "$@" || return 1
	done
}
