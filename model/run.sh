#!/bin/sh
# Checks all properties and mutants of checks.txt with spin and prints a table.
# Runs JOBS searches (default 3) at once; each takes up to about 2 GB of memory.
set -u
here=$(cd "$(dirname "$0")" && pwd)
out=${BUILD:-build}/model
mkdir -p "$out" || exit 1
out=$(cd "$out" && pwd)
rm -f "$out"/*/result # results of an earlier run do not count

grep -v '^#' "$here/checks.txt" | awk -v out="$out" \
    '{ printf "%s/%s.%s ", out, $1, $3; print }' |
    xargs -P "${JOBS:-3}" -L 1 sh "$here/check.sh"

passed=0
failed=0
printf '%-4s %-8s %-24s %-7s %10s %6s %7s %s\n' "" model "property/MUTANT" \
    kind states depth seconds verdict
for c in $(awk '!/^#/ { print $1 "." $3 }' "$here/checks.txt"); do
	cat "$out/$c/result" || echo "FAIL $c left no result"
	if grep -qs '^ok ' "$out/$c/result"; then
		passed=$((passed + 1))
	else
		failed=$((failed + 1))
		tail -n 20 "$out/$c/pan.out" "$out/$c/spin.out"
	fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
