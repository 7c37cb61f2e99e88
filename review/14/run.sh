#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.."
timeout -k 3 115 target/standin3 -scenario kind -binary target/bronzestair-entry -record review/14/record.txt
status=$?
[ $status -le 1 ] || status=2
exit $status
