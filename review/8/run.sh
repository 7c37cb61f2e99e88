#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bronzestair-entry ] && [ -x target/review-2/scene ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec timeout --preserve-status --signal=TERM 118 target/review-2/scene crashes review/8/record.txt
