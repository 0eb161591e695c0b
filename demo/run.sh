#!/bin/sh
# Runs both deployments one after the other, sends requests through them, prints
# a table and exits with 0 only if all responses were as expected.
set -u
cd "$(dirname "$0")/.."
. demo/lib.sh
DIR=$(mktemp -d)
trap 'stop_all >/dev/null 2>&1; [ -n "${KEEP:-}" ] || rm -rf "$DIR"' EXIT
failures=0

# body ORG RANK QUESTION STREAM: prints a chat request about the manual.
body() {
	printf '{"model":"small","stream":%s,"max_tokens":24,"messages":[{"role":"system","content":"' "$3"
	tr -d '\n' <"$DIR/manual.txt"
	printf '"},{"role":"system","content":"Answer for %s, in French or English."},{"role":"user","content":"%s"}]}' "$1" "$2"
}

line() {
	printf '%-28s %-8s %-11s %-9s %-8s %s\n' "$1" "$2" "$3" "$4" "$5" "$6"
}

check() {
	if [ "$1" = ok ]; then return; fi
	failures=$((failures + 1))
}

# ask QUESTION ENTRY ORG CLASS RANK STREAM: sends a chat request, prints a row.
ask() {
	body "$3" "$1" "$6" >"$DIR/body"
	begin=$(date +%s%N)
	curl -s -N -m 60 -D "$DIR/head" \
	    -H "Authorization: Bearer key-$3" -H "X-Class: $4" \
	    -H 'Content-Type: application/json' -H 'Expect:' \
	    --data-binary "@$DIR/body" "http://$2/v1/chat/completions" | {
		IFS= read -r first
		date +%s%N >"$DIR/first"
		printf '%s\n' "$first"
		cat
	} >"$DIR/answer"
	code=$(sed -n '1s/^[^ ]* \([0-9]*\).*/\1/p' "$DIR/head")
	whole=broken
	if [ "$6" = true ]; then
		tokens=$(grep -c '^id: ' "$DIR/answer")
		[ "$tokens" = 24 ] &&
		    [ "$(tail -n 2 "$DIR/answer" | head -n 1)" = 'data: [DONE]' ] &&
		    whole=whole
	else
		grep -q '"finish_reason": *"stop"' "$DIR/answer" && whole=whole
	fi
	ttft="$((($(cat "$DIR/first") - begin) / 1000000)) ms"
	verdict=bad
	[ "$code" = 200 ] && [ $whole = whole ] && verdict=ok
	where=$(sed -n 's/^[Xx]-[Ww]orker: *//p' "$DIR/head" | tr -d '\r')
	cached=$(sed -n 's/^[Xx]-[Cc]ached-[Tt]okens: *//p' "$DIR/head" | tr -d '\r')
	hit=miss
	[ "${cached:-0}" -gt 0 ] 2>/dev/null && hit=hit
	line "$1" "$5" "$code $whole" "$ttft" "$hit" "${where:-?}"
	check $verdict
}

# pay NAME ENTRY KEY WANT: sends a non-idempotent call, prints a row; WANT is the
# expected receipt.
pay() {
	out=$(curl -s -m 30 -w ' %{http_code}' \
	    -H "Authorization: Bearer key-$ORG1" -H "Idempotency-Key: $3" \
	    -d "{\"pay\":\"$3\"}" "http://$2/v1/services/$SERVICE/pay")
	verdict=bad
	case $out in
	*"$4"*' 200') verdict=ok ;;
	esac
	line "$1" urgent "${out##* }" - - "$(echo "$out" | cut -c1-40)"
	check $verdict
}

run_one() {
	deployment "$1"
	echo "== $1: $ENGINES language workers, 3 app workers, 2 entry daemons"
	start_all || return 1
	line request rank answer first hit where
	ask 'How warm is the water?' "$ENTRY1" "$ORG1" chat urgent true
	ask 'Comment sécher le pelage?' "$ENTRY2" "$ORG1" chat urgent true
	ask 'When is the filter due?' "$ENTRY1" "$ORG2" chat urgent true
	ask 'Is the nozzle safe?' "$ENTRY2" "$ORG2" chat urgent false
	ask 'Draft a reply.' "$ENTRY1" "$ORG1" draft background true
	pay 'payment' "$ENTRY1" order-1 run-1
	pay 'payment sent again' "$ENTRY2" order-1 run-1
	stop_all || { echo "a daemon did not stop cleanly"; return 1; }
	: >"$DIR/pids"
}

[ $# -gt 0 ] || set -- lavoir mwakilema
for d in "$@"; do
	run_one $d || failures=$((failures + 1))
done
[ $failures -eq 0 ] && echo "demo: all as it should be" ||
    echo "demo: $failures problems; see above"
[ $failures -eq 0 ]
