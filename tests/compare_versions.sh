#!/bin/bash
# Compares the messages that the controllers send between the working tree and an earlier commit. It guards
# against unintended changes of behaviour: all scenarios are run in both versions, and each scenario that
# differs is printed with its first different message. A scenario that was renamed since COMMIT is compared
# with the one under its former name. Log lines are not compared. Scenarios of COMMIT are run by COMMIT's own
# runner, which must have the option --digest: it does from 5a4b392 on, shortly after 0.6.0.
# Usage: compare_versions.sh COMMIT [SCENARIO...]
# Exit status 0: no scenario differs. COMPARE_DIR: directory in which the builds are kept. COMPARE_JOBS: number
# of parallel compilers and scenarios.
set -eu
cd "$(dirname "$0")/.."
root=$PWD
commit=$(git rev-parse --verify "$1^{commit}")
shift
jobs=${COMPARE_JOBS:-$(nproc)}
old=${COMPARE_DIR:-$root/target/compare}/$commit
new=${COMPARE_DIR:-$root/target/compare}/present

if [ ! -x "$old/build/runner" ]; then
	mkdir -p "$old/source"
	git archive "$commit" | tar -x -C "$old/source"
	cmake -S "$old/source" -B "$old/build" -DCMAKE_BUILD_TYPE=Release >"$old/log"
	cmake --build "$old/build" -j"$jobs" --target runner >>"$old/log"
fi
mkdir -p "$new"
cmake -S . -B "$new/build" -DCMAKE_BUILD_TYPE=Release >"$new/log"
cmake --build "$new/build" -j"$jobs" --target runner >>"$new/log"

# Prints the path that a scenario of the working tree has in COMMIT.
git diff -M --name-status --diff-filter=R "$commit" -- tests/scenarios >"$new/renames"
old_path() {
	awk -F'\t' -v path="$1" '$3 == path { print $2; found = 1 } END { if (!found) print path }' "$new/renames"
}

# Runs the scenario in both versions. If they differ, prints its name and the first message that differs.
compare_scenario() {
	local path=$1 before name digest
	name=$(basename "$path" .txt)
	before=$old/source/$(old_path "$path")
	if [ ! -f "$before" ]; then
		echo "$name: new, the earlier commit has no such scenario"
		return
	fi
	# The digest of COMMIT never changes, so it is kept for later comparisons.
	digest=$old/$(basename "$before" .txt).digest
	[ -s "$digest" ] || "$old/build/runner" --digest "$before" >"$digest" 2>/dev/null || true
	"$new/build/runner" --digest "$path" >"$new/$name.new" 2>/dev/null || true
	if [ -s "$new/$name.new" ] && cmp -s "$digest" "$new/$name.new"; then
		return
	fi
	"$old/build/runner" --trace "$new/$name.old" "$before" >/dev/null 2>&1 || true
	"$new/build/runner" --trace "$new/$name.new" "$path" >/dev/null 2>&1 || true
	echo "$name differs, first different message before and now:"
	cmp "$new/$name.old" "$new/$name.new" 2>&1 | sed 's/.*line \([0-9]*\)$/\1/' | while read -r line; do
		sed -n "${line}p" "$new/$name.old" | cut -c1-300
		sed -n "${line}p" "$new/$name.new" | cut -c1-300
	done
	rm -f "$new/$name.old" "$new/$name.new"
}
export -f compare_scenario old_path
export old new

if [ $# -gt 0 ]; then
	scenarios=$(printf 'tests/scenarios/%s.txt\n' "$@")
else
	scenarios=$(ls tests/scenarios/*.txt)
fi
echo "$scenarios" | xargs -P "$jobs" -I{} bash -c 'compare_scenario {}' >"$new/differences"
count=$(echo "$scenarios" | wc -l)
if [ -s "$new/differences" ]; then
	cat "$new/differences"
	echo "$(grep -c ' differs, ' "$new/differences" || true) of $count scenarios differ from $commit"
	exit 1
fi
echo "no scenario differs: $count run in $commit and in the working tree"
