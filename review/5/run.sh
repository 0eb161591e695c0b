#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case5 ] || exit 2
exec target/review/case5 review/5/record.txt
