#!/bin/bash
# Compares the machine code and the data of each object file of the program between the working tree and an
# earlier commit. It guards against changes of behaviour in commits that only change comments, formatting or
# names: these leave all object files equal, while a changed string literal shows in .rodata. Debug information
# is not compared.
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

# Prints the sections with machine code and data. Names of symbols are in other sections.
print_sections() { # print_sections OBJECT
	objdump -s -j .text -j .text.unlikely -j .text.startup -j .rodata -j .rodata.str1.1 -j .rodata.str1.8 \
		-j .rodata.cst8 -j .rodata.cst16 -j .data -j .data.rel.ro.local -j .data.rel.local "$1" 2>/dev/null |
		grep -v 'file format' || true
}

if [ ! -x "$old/build/ploverloft" ]; then
	mkdir -p "$old/source"
	git archive "$commit" | tar -x -C "$old/source"
	build "$old/source" "$old/build"
fi
mkdir -p "$new"
build "$root" "$new/build"

differing=0
count=0
for object in $(cd "$new/build" && find CMakeFiles -name '*.o' | sort); do
	count=$((count + 1))
	if ! cmp -s <(print_sections "$old/build/$object") <(print_sections "$new/build/$object"); then
		echo "differs: ${object#CMakeFiles/*.dir/}"
		differing=$((differing + 1))
	fi
done
echo "$differing of $count object files differ from $commit"
[ "$differing" -eq 0 ]
