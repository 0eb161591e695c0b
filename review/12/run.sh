#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves out the disruption.
TROUBLE=${TROUBLE:-1}
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review-3/case_watch ] && [ -x target/jhplatform ] || exit 2
exec build/review-3/case_watch review/12/record.txt
