#!/bin/bash
# Builds the version in production, which deploy/service.toml names, from the history into a folder of its
# own. Usage: build_production.sh ROOT DIR; the program is DIR/build/ploverloft afterwards.
set -eu
root=$1
dir=$2
commit=$(sed -n 's/^production = "\([0-9a-f]*\)"$/\1/p' "$root/deploy/service.toml")
if ! git -C "$root" cat-file -e "$commit^{commit}" 2>/dev/null; then
	echo "the history has no commit '$commit', named as production in deploy/service.toml" >&2
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
