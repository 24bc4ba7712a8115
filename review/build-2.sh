#!/bin/sh
# Builds the stand-ins of the second review's cases into target/review-2/, after the build of the
# deploy file: the project's own stand-ins, the rig, and one program for each case.
set -e
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -Isrc -Itests -Itarget/gen -Ireview/rig"
flags="$flags $(pkg-config --cflags jansson libxxhash libprotobuf-c)"
libs="target/libploverloft.a $(pkg-config --libs jansson libxxhash libprotobuf-c) -lm"
for trial in review/[4-8]/trial.c; do
	[ -f "$trial" ] || continue
	number=$(basename "$(dirname "$trial")")
	# shellcheck disable=SC2086
	${CC:-cc} $flags -o "$out/trial-$number" "$trial" review/rig/*.c tests/standins/*.c $libs
done
