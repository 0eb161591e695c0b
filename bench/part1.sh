# Part 1: overhead of the router, as ratios within one run. Sourced by run.sh.

ROUNDS=${ROUNDS:-3}

# start_small [ENGINES]: starts engines, their agents, one entry daemon and a
# relay to the first engine.
start_small() {
	use_deployment lavoir
	ENGINES=${1:-1} ENTRIES=1
	ENTRY2=$ENTRY1
	start_services() { :; }
	start_all || return 1
	ENGINE=127.0.0.1:$((BASE + 102))
	RELAY=127.0.0.1:$((BASE + 50))
	spawn engine-relay "$BUILD/jhrelay" --listen "$RELAY" --engine "$ENGINE"
	sleep 0.2
}

stop_small() {
	stop_all || echo "a daemon did not stop cleanly"
	: >"$DIR/pids"
}

# load PATH OPTIONS...: runs jhload against the engine (direct), the relay or
# the entry daemon (router).
load() {
	path=$1
	shift
	case $path in
	direct) set -- --target "$ENGINE" --direct "$@" ;;
	relay) set -- --target "$RELAY" --direct "$@" ;;
	router) set -- --target "$ENTRY1" "$@" ;;
	esac
	"$BUILD/jhload" --records 1 --background 0 --timeout-ms 120000 "$@"
}

# latency RECORD_KB RATE: measures the time to the first token and between
# tokens at half load.
latency() {
	echo "half load: one engine, one manual of $1 KB, $2 requests/s, 48 tokens, $ROUNDS rounds of 10 s a path"
	for path in direct relay router; do
		: >"$DIR/ttft.$path"
		: >"$DIR/gap.$path"
		load $path --record-kb "$1" --rate 8 --seconds 4 --seed 99 \
		    >/dev/null
	done
	round=1
	while [ $round -le "$ROUNDS" ]; do
		for path in direct relay router; do
			load $path --record-kb "$1" --rate "$2" --seconds 10 \
			    --tokens 48 --seed $round >"$DIR/out"
			field "$DIR/out" urgent 5 >>"$DIR/ttft.$path"
			field "$DIR/out" urgent 9 >>"$DIR/gap.$path"
			field "$DIR/out" urgent 6 >>"$DIR/ttft95.$path"
			field "$DIR/out" urgent 10 >>"$DIR/gap95.$path"
		done
		round=$((round + 1))
	done
	printf '%-8s %10s %10s %10s %10s %12s %12s\n' path ttft-p50 ttft-p95 \
	    gap-p50 gap-p95 ttft-ratio gap-ratio
	dt=$(median <"$DIR/ttft.direct")
	dg=$(median <"$DIR/gap.direct")
	for path in direct relay router; do
		t=$(median <"$DIR/ttft.$path")
		g=$(median <"$DIR/gap.$path")
		printf '%-8s %10s %10s %10s %10s %12s %12s\n' $path "$t" \
		    "$(median <"$DIR/ttft95.$path")" "$g" \
		    "$(median <"$DIR/gap95.$path")" \
		    "$(ratio "$t" "$dt")" "$(ratio "$g" "$dg")"
	done
	rm -f "$DIR"/ttft* "$DIR"/gap*
	echo "first token at most 1.05 times direct: $(check_bound "$(ratio "$t" "$dt")" 1.05)"
	echo "between tokens at most 1.02 times direct: $(check_bound "$(ratio "$g" "$dg")" 1.02)"
}

# saturate RECORD_KB CONCURRENCY: measures the highest rate; the engine takes
# no time of its own.
saturate() {
	echo "saturation: manual of $1 KB, 8 tokens, closed loop of $2, 5 s a path"
	printf '%-8s %12s %10s %16s %16s %12s\n' path requests/s ratio \
	    entry-cpu-us/req agent-cpu-us/req outcomes
	for path in direct relay router; do
		e=$(cpu_ms "$(pid_of entry-0)") a=$(cpu_ms "$(pid_of worker-0)")
		load $path --record-kb "$1" --concurrency "$2" --seconds 5 \
		    --tokens 8 >"$DIR/out"
		n=$(field "$DIR/out" urgent 3)
		r=$(awk -v n="$n" 'BEGIN { print n / 5 }')
		[ $path = direct ] && direct=$r
		e=$(($(cpu_ms "$(pid_of entry-0)") - e))
		a=$(($(cpu_ms "$(pid_of worker-0)") - a))
		[ $path = router ] || e=0 a=0
		printf '%-8s %12s %10s %16s %16s %12s\n' $path "$r" \
		    "$(ratio "$r" "$direct")" "$(ratio $((e * 1000)) "$n")" \
		    "$(ratio $((a * 1000)) "$n")" "$(field "$DIR/out" urgent 15)"
	done
}

# per_token: measures the CPU time per streamed token at a steady rate.
per_token() {
	echo "processor time per token: 64 streams of 256 tokens, step 15 ms + 0.3 ms each, 10 s"
	e=$(cpu_ms "$(pid_of entry-0)") a=$(cpu_ms "$(pid_of worker-0)")
	load router --record-kb 4 --concurrency 64 --seconds 10 --tokens 256 \
	    >"$DIR/out"
	e=$(($(cpu_ms "$(pid_of entry-0)") - e))
	a=$(($(cpu_ms "$(pid_of worker-0)") - a))
	n=$(($(field "$DIR/out" urgent 3) * 256))
	echo "tokens: $n  jhentry: $(ratio $((e * 1000)) $n) us/token  jhagent: $(ratio $((a * 1000)) $n) us/token"
}

# memory RECORD_KB: measures the peak memory of the entry daemon while 1,000
# streams run.
memory() {
	pid=$(pid_of entry-0)
	base=$(mem_kb "$pid" VmRSS)
	bash -c 'for i in $(seq 500); do
		exec {fd}<>"/dev/tcp/${1%:*}/${1#*:}"
	done; sleep 2' bash "$ENTRY1" &
	idle=$!
	sleep 1
	now=$(mem_kb "$pid" VmRSS)
	wait $idle
	echo "idle connection: $(ratio $((now - base)) 500) KB each (500 connections)"
	# Streams last 22 s and all start within 20 s, so that all run at once.
	load router --record-kb "$1" --rate 50 --max-requests 1000 \
	    --seconds 60 --tokens 450 >"$DIR/out" &
	load_pid=$!
	sleep 19
	e=$(cpu_ms "$pid")
	sleep 2
	e=$(($(cpu_ms "$pid") - e))
	wait $load_pid
	peak=$(mem_kb "$pid" VmHWM)
	echo "1000 concurrent streams, manual of $1 KB: base $base KB, peak $peak KB, $(ratio $((peak - base)) 1000) KB a stream, $((e / 20))% of a core at 20 tokens/s each, whole $(field "$DIR/out" urgent 3), others $(field "$DIR/out" urgent 15)"
	echo "within 128 MB: $(check_bound $peak 131072)"
}

# The four groups of measurements, each with newly started daemons.
part1_latency() {
	ENGINE_OPTIONS='--prefill-rate 40000 --step-usec 15000 --per-seq-usec 300 --max-batch 16 --capacity 2000'
	start_small || return 1
	latency 400 8
	latency 64 8
	stop_small
}

part1_saturate() {
	ENGINE_OPTIONS='--max-batch 256 --capacity 20000 --time-scale 0'
	AGENT_EXTRA='slots: 256
prefill_rate: 100000000
decode_rate: 100000000'
	start_small || return 1
	saturate 16 64
	saturate 400 64
	stop_small
}

part1_per_token() {
	ENGINE_OPTIONS='--max-batch 64 --capacity 20000'
	AGENT_EXTRA='slots: 64
prefill_rate: 100000000
decode_rate: 100000000'
	start_small || return 1
	per_token
	stop_small
}

# Ten engines of 100 streams each give at most 20,000 tokens a second in all.
part1_memory() {
	ENGINE_OPTIONS='--max-batch 1100 --capacity 20000 --prefill-rate 100000000 --prefill-chunk 100000000 --step-usec 50000 --per-seq-usec 0'
	AGENT_EXTRA='slots: 1100
prefill_rate: 100000000
decode_rate: 100000000'
	ENTRY_EXTRA='prefill_rate: 100000000
decode_rate: 100000000'
	CHAT_TTFT=20000
	for kb in 4 400; do
		start_small 10 || return 1
		memory $kb
		stop_small
	done
}

part1() {
	[ $# -gt 0 ] || set -- latency saturate per_token memory
	SHARED_SIZES='4 16 64 400'
	echo "== part 1: overhead; load of the machine: $(cut -d' ' -f1-3 /proc/loadavg) on $(nproc) cores"
	for group in "$@"; do
		(part1_"$group") || return 1
	done
}
