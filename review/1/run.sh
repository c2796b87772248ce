#!/usr/bin/env bash
# Plays the case; see claim.txt. It exits with 1 if the rule was broken, 0 if it held, and 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
timeout --kill-after=3 112 target/review/run stale-owner review/1/record.txt
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
