#!/bin/sh
# Runs the case. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 runs it without the disruption. To be built before: review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
program=$(sed -n 's/^run = "\([^ "]*\) --config"$/\1/p' deploy/service.toml)
trial=target/review-2/trial-8
[ -x "$program" ] && [ -x "$trial" ] || exit 2
timeout -k 2 118 "$trial" "$program" review/8/record.txt "${TROUBLE:-1}"
status=$?
[ $status -le 2 ] || status=2
exit $status
