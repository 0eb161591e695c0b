# Starts one entry daemon and one agent on loopback with an instance list of
# any length, and measures their CPU time. Sourced by capacity.sh; needs BUILD
# and DIR.

BASE=${JH_BASE:-17000}
STORE=127.0.0.1:$BASE LIST=127.0.0.1:$((BASE + 2)) ENTRY=127.0.0.1:$((BASE + 10))
SECRET=00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff
WINDOW=${WINDOW:-15} # seconds of one measurement

# start_process NAME COMMAND...: starts it in the background; sets PID.
start_process() {
	name=$1
	shift
	"$@" >"$DIR/$name.log" 2>&1 &
	PID=$!
	PIDS="$PIDS $PID"
}

# list_rows N: prints an instance list of the two daemons and N - 2 instances
# that do not exist, none of them in the zone of the two.
list_rows() {
	awk -v n="$1" -v b="$BASE" 'BEGIN {
		form = "{\"id\":\"%s\",\"role\":\"%s\",\"address\":\"%s\"," \
		    "\"rpc_address\":\"%s\",\"zone\":\"%s\"," \
		    "\"region\":\"%s\",\"models\":[%s]," \
		    "\"incarnation\":\"%016x\"}"
		printf "{\"instances\":["
		for (i = 0; i < n - 2; i++) {
			e = i % 20 == 0
			a = "127.1." int(i / 250) "." i % 250 + 1
			printf form ",\n", (e ? "entry-" : "worker-") i + 10000, \
			    e ? "entry" : "agent", a ":8000", a ":8001", \
			    "zone-" i % 14, "region-" i % 5, \
			    e ? "" : "\"model-1\"", i + 1
		}
		printf "{\"id\":\"entry-0\",\"role\":\"entry\",\"address\":" \
		    "\"127.0.0.1:" b + 10 "\",\"rpc_address\":\"127.0.0.1:" b + 11 "\"," \
		    "\"zone\":\"z\",\"region\":\"r\",\"models\":[]},\n"
		printf "{\"id\":\"worker-0\",\"role\":\"agent\",\"address\":" \
		    "\"127.0.0.1:" b + 20 "\",\"rpc_address\":\"127.0.0.1:" b + 21 "\"," \
		    "\"zone\":\"z\",\"region\":\"r\",\"models\":[\"small\"]}]}\n"
	}'
}

# settings ID PORT: prints the settings that both daemons have.
settings() {
	cat <<END
instance: $1
availability_zone: z
region: r
listen: 127.0.0.1:$2
rpc_listen: 127.0.0.1:$(($2 + 1))
secret: $SECRET
store: $STORE
instance_list: $LIST
prefill_rate: 10000000
END
}

put() {
	curl -s -o /dev/null -f -X PUT --data-binary "$2" \
	    "http://$STORE/v1/objects/$1"
}

# Writes a model, an organisation and a class as jhload's lavoir shape names
# them.
catalogue() {
	put models/small '{"name":"small","weights":"v1"}'
	hash=$(printf 'key-org-0' | b2sum -l 256 | cut -d' ' -f1)
	put orgs/org-0 "{\"name\":\"org-0\",\"display_name\":\"org-0\",\"key_hashes\":[\"$hash\"]}"
	put catalog/org-0/chat '{"owner":"org-0","class":"chat","kind":"chat","rank":"urgent","rank_ceiling":"urgent","models":["small"],"cost_tokens_per_second":100000000,"concurrent_requests":10000,"idempotent":true,"ttft_target_ms":10000}'
}

# cpu_seconds PID: prints the CPU time of all its threads so far.
cpu_seconds() {
	cat /proc/"$1"/task/*/schedstat | awk '{s += $1} END {print s / 1e9}'
}

resident_kb() {
	awk '/^VmRSS/ {print $2}' /proc/"$1"/status
}

# start_daemons N: starts all processes with a list of N rows; sets ENTRY_PID
# and AGENT_PID.
start_daemons() {
	PIDS=
	list_rows "$1" >"$DIR/rows.json"
	settings entry-0 $((BASE + 10)) >"$DIR/entry.yaml"
	{
		settings worker-0 $((BASE + 20))
		printf 'backend: 127.0.0.1:%s\nkind: engine\nslots: 256\n' \
		    $((BASE + 30))
	} >"$DIR/agent.yaml"
	start_process store "$BUILD/fake-store" --listen $STORE
	start_process list "$BUILD/fake-list" --listen $LIST --instances "$DIR/rows.json"
	start_process engine "$BUILD/fake-engine" --listen 127.0.0.1:$((BASE + 30)) --model small \
	    --weights v1 --prefill-rate 10000000 --step-usec 2000 \
	    --per-seq-usec 0 --max-batch 256
	sleep 2
	catalogue
	start_process entry "$BUILD/jhentry" --settings "$DIR/entry.yaml"
	ENTRY_PID=$PID
	start_process agent "$BUILD/jhagent" --settings "$DIR/agent.yaml"
	AGENT_PID=$PID
	sleep 5
}

stop_daemons() {
	for pid in $PIDS; do
		kill -TERM "$pid" 2>/dev/null || true
	done
	for pid in $PIDS; do
		wait "$pid" 2>/dev/null || true
	done
	PIDS=
}

# measure LABEL COMMAND...: prints the CPU use of both daemons while the
# command runs, and their memory after it.
measure() {
	label=$1
	shift
	e0=$(cpu_seconds "$ENTRY_PID") a0=$(cpu_seconds "$AGENT_PID") t0=$(date +%s.%N)
	"$@" >"$DIR/output" 2>&1
	t1=$(date +%s.%N) e1=$(cpu_seconds "$ENTRY_PID") a1=$(cpu_seconds "$AGENT_PID")
	awk -v l="$label" -v e="$e0 $e1" -v a="$a0 $a1" -v t="$t0 $t1" \
	    -v er="$(resident_kb "$ENTRY_PID")" -v ar="$(resident_kb "$AGENT_PID")" \
	    'BEGIN { split(e, x); split(a, y); split(t, z); s = z[2] - z[1]
	    printf "%-26s %10.3f %10.3f %10.1f %10.1f\n", l,
	    100 * (x[2] - x[1]) / s, 100 * (y[2] - y[1]) / s,
	    er / 1024, ar / 1024 }'
}
