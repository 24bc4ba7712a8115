#!/bin/sh
# Runs a scenario with random faults under many seeds of the simulation. Prints the failures of each
# seed that fails; the status is 1 if there is one.
# Usage: soak.sh RUNNER SCENARIO FIRST LAST
set -u
if [ $# -ne 4 ]; then
	echo "usage: soak.sh RUNNER SCENARIO FIRST LAST" >&2
	exit 2
fi
runner=$1 scenario=$2 seed=$3 last=$4
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT
failed=0
while [ "$seed" -le "$last" ]; do
	seeded=$directory/$(basename "$scenario" .txt)_$seed.txt
	sed "s/^simulation_seed .*/simulation_seed $seed/" "$scenario" >"$seeded"
	"$runner" "$seeded" || failed=$((failed + 1))
	rm "$seeded"
	seed=$((seed + 1))
done
echo "$failed of the seeds from $3 to $last failed"
[ "$failed" -eq 0 ]
