#!/bin/bash
# Builds an earlier version from the git history, for the upgrade tests. ROOT is the repository and DIR the
# directory to build in; the program is then DIR/build/ploverloft. NAME is a version in
# tests/versions_in_use, or "production" for the commit that deploy/service.toml names. Nothing is done if
# DIR has that commit's program already.
# Usage: build_version.sh ROOT DIR NAME
set -eu
root=$1
dir=$2
name=$3
if [ "$name" = production ]; then
	commit=$(sed -n 's/^production = "\([0-9a-f]*\)"$/\1/p' "$root/deploy/service.toml")
else
	commit=$(awk -v name="$name" '$1 == name { print $2 }' "$root/tests/versions_in_use")
fi
if ! git -C "$root" cat-file -e "$commit^{commit}" 2>/dev/null; then
	echo "version $name: commit '$commit' does not exist in the git history of $root" >&2
	exit 1
fi
if [ "$(cat "$dir/commit" 2>/dev/null)" = "$commit" ] && [ -x "$dir/build/ploverloft" ]; then
	exit 0
fi
rm -rf "$dir"
mkdir -p "$dir/source"
git -C "$root" archive "$commit" | tar -x -C "$dir/source"
cmake -S "$dir/source" -B "$dir/build" -DCMAKE_BUILD_TYPE=Release -DTESTS=OFF
cmake --build "$dir/build" -j4
echo "$commit" >"$dir/commit"
