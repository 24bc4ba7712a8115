#!/bin/bash
# Compares the machine code, the data and the relocations of each object file of the program between the working
# tree and an earlier commit (see object_code.py). It guards against changes of behaviour in commits that only
# change comments, formatting or names: these leave all object files equal, while a changed string literal shows in
# .rodata, and a call of another function in the relocations. Debug information is not compared.
# Usage: compare_object_code.sh COMMIT
# Exit status 0: no object file differs. COMPARE_DIR: directory in which the build of COMMIT is kept.
# COMPARE_JOBS: number of parallel compilers.
set -eu
cd "$(dirname "$0")/.."
root=$PWD
commit=$(git rev-parse --verify "$1^{commit}")
jobs=${COMPARE_JOBS:-$(nproc)}
old=${COMPARE_DIR:-$root/target/compare}/$commit-objects
new=$root/target/compare/present-objects

build() { # build SOURCE BUILD
	cmake -S "$1" -B "$2" -DCMAKE_BUILD_TYPE=Release -DTESTS=OFF -DCMAKE_C_FLAGS=-g0 -DCMAKE_CXX_FLAGS=-g0 >"$2.log"
	cmake --build "$2" -j"$jobs" --target ploverloft >>"$2.log"
}

if [ ! -x "$old/build/ploverloft" ]; then
	mkdir -p "$old/source"
	git archive "$commit" | tar -x -C "$old/source"
	build "$old/source" "$old/build"
fi
mkdir -p "$new"
build "$root" "$new/build"

tests/object_code.py "$old/build" >"$new/old_digests"
tests/object_code.py "$new/build" >"$new/new_digests"
# Object files that only one of the builds has differ too.
differing=$(diff "$new/old_digests" "$new/new_digests" | sed -n 's/^[<>] [0-9a-f]* //p' | sort -u)
echo "$differing" | sed -n 's/^CMakeFiles\/[^/]*\.dir\//differs: /p'
echo "$(echo "$differing" | grep -c .) of $(wc -l <"$new/new_digests") object files differ from $commit"
[ -z "$differing" ]
