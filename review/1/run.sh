#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case1 ] || exit 2
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec target/review/case1 review/1/record.txt
