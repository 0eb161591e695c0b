# Starts daemons for the benchmarks. Replaces the functions of demo/lib.sh for
# engines, entry daemons and the catalogue. Sourced by run.sh after demo/lib.sh.

# Options of the fake engines, and settings of the agents that match them.
# SHARED_SIZES: sizes in KB of the manuals that part 1 uses one at a time.
ENGINE_OPTIONS='--prefill-rate 40000 --step-usec 15000 --per-seq-usec 300 --max-batch 16 --capacity 96'
AGENT_EXTRA=''
ENTRY_EXTRA=''
POLICY=affinity
ENTRIES=2
SHAPE=lavoir
SHARED_SIZES=''
CHAT_TTFT=5000
DRAFT_TTFT=20000

start_entry() {
	spawn "entry-$1" "$BUILD/jhentry" --settings "$DIR/entry-$1.yaml"
}

start_entries() {
	n=0
	while [ $n -lt "$ENTRIES" ]; do
		place $((n * 2))
		port=$((BASE + 10 + 2 * n))
		{
			common "entry-$n" $port "$ZONE" "$REGION"
			echo "policy: $POLICY"
			[ -z "$ENTRY_EXTRA" ] || echo "$ENTRY_EXTRA"
		} >"$DIR/entry-$n.yaml"
		add_row "entry-$n" entry $port "$ZONE" "$REGION" '' ''
		start_entry $n
		n=$((n + 1))
	done
}

start_engine() {
	# shellcheck disable=SC2086
	spawn "engine-$1" "$BUILD/fake-engine" \
	    --listen 127.0.0.1:$((BASE + 102 + 4 * $1)) --model small \
	    --seed "$1" $ENGINE_OPTIONS
}

start_engines() {
	n=0
	while [ $n -lt "$ENGINES" ]; do
		place $n
		port=$((BASE + 100 + 4 * n))
		start_engine $n
		{
			common "worker-$n" $port "$ZONE" "$REGION"
			echo "backend: 127.0.0.1:$((port + 2))"
			echo "kind: engine"
			[ -z "$AGENT_EXTRA" ] || echo "$AGENT_EXTRA"
		} >"$DIR/worker-$n.yaml"
		add_row "worker-$n" agent $port "$ZONE" "$REGION" '"small"' ''
		spawn "worker-$n" "$BUILD/jhagent" \
		    --settings "$DIR/worker-$n.yaml"
		n=$((n + 1))
	done
}

# bench_rule ORG CLASS KIND RANK MODEL IDEMPOTENT TTFT_MS HASHES: writes a
# class to the catalogue. Its limits are far above what the benchmarks send,
# because they do not measure quotas.
bench_rule() {
	put "catalog/$1/$2" "{\"owner\":\"$1\",\"class\":\"$2\",\"kind\":\"$3\",\"rank\":\"$4\",\"rank_ceiling\":\"$4\",\"models\":[\"$5\"],\"cost_tokens_per_second\":1000000000,\"concurrent_requests\":100000,\"idempotent\":$6,\"ttft_target_ms\":$7,\"shared_prompts\":[$8]}"
}

# Prints hashes of the shared manuals: all of the shape, or one of each size.
shared_hashes() {
	[ -n "$SHARED_SIZES" ] ||
	    "$BUILD/jhload" --print-shared --shape "$SHAPE"
	for kb in $SHARED_SIZES; do
		"$BUILD/jhload" --print-shared --records 1 --record-kb "$kb"
	done
}

fill_catalogue() {
	shared=$(shared_hashes | sed 's/.*/"&"/' | paste -sd,)
	put models/small '{"name":"small","weights":"v1"}'
	for o in $ORGS; do
		org "$o"
		bench_rule "$o" chat chat urgent small true "$CHAT_TTFT" "$shared"
		bench_rule "$o" draft chat background small true "$DRAFT_TTFT" "$shared"
		bench_rule "$o" "$SERVICE" service urgent "$SERVICE" false 10000 ''
	done
}

# use_deployment NAME: sets sizes and addresses; the ports are not the demo's.
use_deployment() {
	deployment "$1"
	BASE=$((BASE + 4000))
	SHAPE=$1
	ORGS='org-0 org-1 org-2 org-3 org-4 org-5 org-6 org-7' ORG1=org-0
	STORE=127.0.0.1:$BASE
	LIST=127.0.0.1:$((BASE + 1))
	ENTRY1=127.0.0.1:$((BASE + 10))
	ENTRY2=127.0.0.1:$((BASE + 12))
}

pid_of() {
	awk -v name="$1" '$2 == name { pid = $1 } END { print pid }' "$DIR/pids"
}

# remove_pid NAME: removes a process from those that stop_all stops.
remove_pid() {
	grep -v " $1\$" "$DIR/pids" >"$DIR/pids.new"
	mv "$DIR/pids.new" "$DIR/pids"
}

# field FILE GROUP COLUMN: prints a field of a jhload table, or "-".
field() {
	awk -v g="$2" -v c="$3" '$1 == g { v = $c } END { print v == "" ? "-" : v }' "$1"
}

# cpu_ms PID: prints the CPU time used so far, in milliseconds (10 ms steps).
cpu_ms() {
	awk '{ print ($14 + $15) * 10 }' "/proc/$1/stat"
}

# mem_kb PID FIELD: prints VmRSS or VmHWM in KB.
mem_kb() {
	awk -v f="$2:" '$1 == f { print $2 }' "/proc/$1/status"
}

ratio() {
	awk -v a="$1" -v b="$2" 'BEGIN { if (b > 0) printf "%.3f", a / b; else printf "-" }'
}

# check_bound VALUE BOUND: prints "met" if the value is at most the bound.
check_bound() {
	awk -v a="$1" -v b="$2" 'BEGIN { print a != "-" && a + 0 <= b + 0 ? "met" : "not met" }'
}

median() {
	sort -n | awk '{ v[NR] = $1 } END { print NR % 2 ? v[(NR + 1) / 2] : (v[NR / 2] + v[NR / 2 + 1]) / 2 }'
}
