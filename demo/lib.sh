# Starts and stops the fakes and daemons of one deployment on loopback.
# Sourced by run.sh, up.sh and down.sh; needs BUILD and DIR (a work directory).

SECRET=00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff

# spawn NAME COMMAND...: runs it in the background and records its process id.
spawn() {
	name=$1
	shift
	"$@" >"$DIR/$name.log" 2>&1 &
	echo "$! $name" >>"$DIR/pids"
}

# wait_for URL: returns once the URL responds, or fails after 15 s.
wait_for() {
	tries=0
	until curl -s -o /dev/null -m 1 "http://$1"; do
		tries=$((tries + 1))
		[ $tries -lt 150 ] || { echo "no answer from $1" >&2; return 1; }
		sleep 0.1
	done
}

put() {
	curl -s -o /dev/null -f -X PUT --data-binary "$2" \
	    "http://$STORE/v1/objects/$1"
}

# org NAME: stores an organisation whose API key is key-NAME.
org() {
	hash=$(printf 'key-%s' "$1" | b2sum -l 256 | cut -d' ' -f1)
	put "orgs/$1" "{\"name\":\"$1\",\"display_name\":\"$1\",\"key_hashes\":[\"$hash\"]}"
}

# rule OWNER CLASS KIND RANK CEILING MODELS IDEMPOTENT TTFT_MS SHARED: stores a
# class in the catalogue.
rule() {
	put "catalog/$1/$2" "{\"owner\":\"$1\",\"class\":\"$2\",\"kind\":\"$3\",\"rank\":\"$4\",\"rank_ceiling\":\"$5\",\"models\":[\"$6\"],\"cost_tokens_per_second\":1000000,\"concurrent_requests\":1000,\"idempotent\":$7,\"ttft_target_ms\":$8,\"shared_prompts\":[$9]}"
}

# row ID ROLE PORT ZONE REGION MODELS SERVICE: prints an instance as JSON.
row() {
	printf '{"id":"%s","role":"%s","address":"127.0.0.1:%s","rpc_address":"127.0.0.1:%s","zone":"%s","region":"%s","models":[%s]%s}' \
	    "$1" "$2" "$3" "$(($3 + 1))" "$4" "$5" "$6" \
	    "${7:+,\"service\":\"$7\"}"
}

# common ID PORT ZONE REGION: prints the settings that all daemons have.
common() {
	cat <<END
instance: $1
availability_zone: $3
region: $4
listen: 127.0.0.1:$2
rpc_listen: 127.0.0.1:$(($2 + 1))
secret: $SECRET
store: $STORE
instance_list: $LIST
END
}

# place N: sets ZONE and REGION of server N; two of three are in region 1.
place() {
	case $(($1 % 3)) in
	0) ZONE=$ZONE_A REGION=$REGION_1 ;;
	1) ZONE=$ZONE_B REGION=$REGION_1 ;;
	2) ZONE=$ZONE_C REGION=$REGION_2 ;;
	esac
}

add_row() {
	[ -s "$DIR/list.json" ] && printf ',\n' >>"$DIR/list.json"
	row "$@" >>"$DIR/list.json"
}

start_entries() {
	for n in 0 1; do
		place $((n * 2))
		port=$((BASE + 10 + 2 * n))
		{
			common "entry-$n" $port "$ZONE" "$REGION"
			echo "prefill_rate: 200000"
		} >"$DIR/entry-$n.yaml"
		add_row "entry-$n" entry $port "$ZONE" "$REGION" '' ''
		spawn "entry-$n" "$BUILD/jhentry" --settings "$DIR/entry-$n.yaml"
	done
}

start_engines() {
	n=0
	while [ $n -lt "$ENGINES" ]; do
		place $n
		port=$((BASE + 100 + 4 * n))
		spawn "engine-$n" "$BUILD/fake-engine" \
		    --listen 127.0.0.1:$((port + 2)) --model small \
		    --prefill-rate 200000
		{
			common "worker-$n" $port "$ZONE" "$REGION"
			echo "backend: 127.0.0.1:$((port + 2))"
			echo "kind: engine"
			echo "prefill_rate: 200000"
		} >"$DIR/worker-$n.yaml"
		add_row "worker-$n" agent $port "$ZONE" "$REGION" '"small"' ''
		spawn "worker-$n" "$BUILD/jhagent" \
		    --settings "$DIR/worker-$n.yaml"
		n=$((n + 1))
	done
}

start_services() {
	for n in 0 1 2; do
		place $n
		port=$((BASE + 60 + 4 * n))
		spawn "service-$n" "$BUILD/fake-service" \
		    --listen 127.0.0.1:$((port + 2))
		{
			common "app-$n" $port "$ZONE" "$REGION"
			echo "backend: 127.0.0.1:$((port + 2))"
			echo "kind: service"
			echo "service: $SERVICE"
		} >"$DIR/app-$n.yaml"
		add_row "app-$n" agent $port "$ZONE" "$REGION" '' "$SERVICE"
		spawn "app-$n" "$BUILD/jhagent" --settings "$DIR/app-$n.yaml"
	done
}

fill_catalogue() {
	manual=$(tr -d '\n' <"$DIR/manual.txt" | b2sum -l 256 | cut -d' ' -f1)
	put models/small '{"name":"small","weights":"v1"}'
	for o in $ORGS; do
		org "$o"
		rule "$o" chat chat urgent urgent small true 5000 "\"$manual\""
		rule "$o" draft chat background background small true 20000 ''
		rule "$o" "$SERVICE" service urgent urgent "$SERVICE" false 10000 ''
	done
}

start_all() {
	: >"$DIR/pids"
	rm -f "$DIR/list.json"
	sh demo/manual.sh >"$DIR/manual.txt"
	spawn store "$BUILD/fake-store" --listen "$STORE"
	wait_for "$STORE/control"
	fill_catalogue
	start_engines
	start_services
	start_entries
	{ echo '{"instances":['; cat "$DIR/list.json"; echo ']}'; } >"$DIR/instances.json"
	spawn list "$BUILD/fake-list" --listen "$LIST" \
	    --instances "$DIR/instances.json"
	wait_for "$ENTRY1/health"
	wait_for "$ENTRY2/health"
	wait_ready "$ENTRY1"
	wait_ready "$ENTRY2"
}

# wait_ready ADDRESS: returns once a request succeeds, or fails. The first
# requests may fail as the catalogue or the instance list has not been read yet.
wait_ready() {
	tries=0
	until [ "$(curl -s -o /dev/null -m 10 -w '%{http_code}' \
	    -H "Authorization: Bearer key-$ORG1" -d \
	    '{"model":"small","max_tokens":1,"messages":[{"role":"user","content":"ready?"}]}' \
	    "http://$1/v1/chat/completions")" = 200 ]; do
		tries=$((tries + 1))
		[ $tries -lt 150 ] || { echo "$1 is not ready" >&2; return 1; }
		sleep 0.1
	done
}

# Stops all processes with SIGTERM, the daemons before the fakes that they use.
# Returns 1 if a daemon did not exit with status 0.
stop_all() {
	bad=0
	for kind in entry worker app engine service list store; do
		grep " $kind" "$DIR/pids" | while read -r pid name; do
			kill -TERM "$pid" 2>/dev/null || true
		done
		for pid in $(grep " $kind" "$DIR/pids" | cut -d' ' -f1); do
			wait "$pid" 2>/dev/null
			status=$?
			[ $status -ne 0 ] || continue
			case $kind in
			entry | worker | app)
				echo "$(grep "^$pid " "$DIR/pids") exited with status $status" >&2
				bad=1
				;;
			esac
		done
	done
	return $bad
}

deployment() {
	case $1 in
	lavoir)
		BASE=${JH_BASE:-18000} ENGINES=12 SERVICE=kiosk
		ZONE_A=mtl-a ZONE_B=mtl-b ZONE_C=qc-a
		REGION_1=montreal REGION_2=quebec
		;;
	mwakilema)
		BASE=${JH_BASE:-19000} ENGINES=9 SERVICE=floor
		ZONE_A=arusha-a ZONE_B=arusha-b ZONE_C=tanga-a
		REGION_1=arusha REGION_2=tanga
		;;
	esac
	ORG1=northside ORG2=lakeview ORGS="northside lakeview"
	STORE=127.0.0.1:$BASE
	LIST=127.0.0.1:$((BASE + 1))
	ENTRY1=127.0.0.1:$((BASE + 10))
	ENTRY2=127.0.0.1:$((BASE + 12))
}
