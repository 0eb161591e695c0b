# Starts one entry daemon and one agent on loopback beside an instance list of
# any length, and reads their CPU time. Sourced by capacity.sh; needs BUILD, DIR.

STORE=127.0.0.1:17000 LIST=127.0.0.1:17002 ENTRY=127.0.0.1:17010
SECRET=00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff
WINDOW=${WINDOW:-15} # seconds of one reading

# run NAME COMMAND...: in the background; sets PID.
run() {
	name=$1
	shift
	"$@" >"$DIR/$name.log" 2>&1 &
	PID=$!
	PIDS="$PIDS $PID"
}

# rows N: the two daemons and N - 2 that do not exist, none in their zone.
rows() {
	awk -v n="$1" 'BEGIN {
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
		    "\"127.0.0.1:17010\",\"rpc_address\":\"127.0.0.1:17011\"," \
		    "\"zone\":\"z\",\"region\":\"r\",\"models\":[]},\n"
		printf "{\"id\":\"worker-0\",\"role\":\"agent\",\"address\":" \
		    "\"127.0.0.1:17020\",\"rpc_address\":\"127.0.0.1:17021\"," \
		    "\"zone\":\"z\",\"region\":\"r\",\"models\":[\"small\"]}]}\n"
	}'
}

# settings ID PORT
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

# An organisation and classes as jhload's lavoir shape names them.
catalogue() {
	put models/small '{"name":"small","weights":"v1"}'
	for o in $("$BUILD/jhload" --help >/dev/null 2>&1; echo $ORGS); do
		hash=$(printf 'key-%s' "$o" | b2sum -l 256 | cut -d' ' -f1)
		put "orgs/$o" "{\"name\":\"$o\",\"display_name\":\"$o\",\"key_hashes\":[\"$hash\"]}"
		for class in chat draft; do
			put "catalog/$o/$class" "{\"owner\":\"$o\",\"class\":\"$class\",\"kind\":\"chat\",\"rank\":\"urgent\",\"rank_ceiling\":\"urgent\",\"models\":[\"small\"],\"cost_tokens_per_second\":100000000,\"concurrent_requests\":10000,\"idempotent\":true,\"ttft_target_ms\":5000}"
		done
	done
}
