#!/bin/sh
# check.sh DIR MODEL KIND NAME [FLAGS]: runs one check of checks.txt in DIR and
# writes its row of the result table to DIR/result.
set -u
dir=$1 model=$2 kind=$3 name=$4
shift 4
src=$(cd "$(dirname "$0")" && pwd)
limit=120 # seconds, far above any check; an incomplete search fails
mkdir -p "$dir"
cd "$dir" || exit 1
rm -f pan* result ./*.trail

case $name in
[A-Z]*) mutant=yes; set -- "$@" "-DMUTANT_$name" ;;
*) mutant=no ;;
esac
case $kind in
safety) cflags="-DSAFETY -DNOCLAIM" opts="" found="assertion violated" ;;
cycles) cflags="-DNP -DNOCLAIM" opts="-l" found="non-progress cycle" ;;
*) cflags="-DNFAIR=4" opts="-a -f -N $kind" found="acceptance cycle" ;;
esac

verdict=error
states=- depth=- secs=-
# Warnings about indexes are about arrays that small configurations shorten.
if spin -a "$@" "$src/$model.pml" >spin.out 2>&1 &&
    gcc -w -O2 $cflags -o pan pan.c 2>gcc.out &&
    timeout $limit ./pan $opts -m1000000 -w22 >pan.out 2>&1; then
	states=$(awk '/states, stored/ { print $1 }' pan.out)
	depth=$(sed -n 's/.*depth reached \([0-9]*\).*/\1/p' pan.out)
	secs=$(sed -n 's/.*elapsed time \([0-9.e+-]*\) .*/\1/p' pan.out)
	if grep -q "errors: 0" pan.out && ! grep -q "not completed\|too small" \
	    pan.out; then
		verdict=holds
	elif grep -q "^pan:1: $found" pan.out; then
		verdict=refuted
	fi
fi
rm -f pan pan.[bchmpt]
case $mutant-$verdict in
no-holds | yes-refuted) mark=ok ;;
*) mark=FAIL ;;
esac
printf '%-4s %-8s %-24s %-7s %10s %6s %7s %s\n' "$mark" "$model" "$name" \
    "$kind" "$states" "$depth" "$secs" "$verdict" >result
