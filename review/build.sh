#!/bin/sh
# Builds the stand-ins and the programs of the review's cases, after the build of the deploy file.
# Needs no packages beyond those of the deploy file. Everything is placed under target/.
set -eu
cd "$(dirname "$0")/.."
cmake --build target -j8 --target loopback
mkdir -p target/review
flags="-std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -Isrc -Itests -Ireview/common -Itarget/gen"
flags="$flags $(pkg-config --cflags jansson libxxhash libprotobuf-c libconfuse)"
libs="$(pkg-config --libs jansson libconfuse libxxhash libprotobuf-c) -lm"
cc $flags -c review/common/bed.c -o target/review/bed.o
for case in review/[0-9]; do
	[ -f "$case/case.c" ] || continue
	name=$(basename "$case")
	cc $flags -c "$case/case.c" -o "target/review/case$name.o"
	c++ -o "target/review/case$name" "target/review/case$name.o" target/review/bed.o \
		target/libloopback.a target/libploverloft.a $libs
done
