#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2, beside the
# build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
libs='target/libjhfakes.a target/libjhnet.a target/libjacinthhill.a'
# shellcheck disable=SC2086
make -j8 BUILD=target $libs
packages='glib-2.0 libtirpc jansson libuv libsodium libxxhash yaml-0.1 ck'
cflags=$(pkg-config --cflags $packages)
ldlibs=$(pkg-config --libs $packages)
mkdir -p target/review-2
for source in review/standin-2/case_*.c; do
	name=$(basename "$source" .c)
	# shellcheck disable=SC2086
	gcc -D_GNU_SOURCE -Iinclude -Isrc -I. $cflags -std=c11 -O2 -g -Wall \
	    -Wextra -Wno-unused-parameter -c -o "target/review-2/$name.o" \
	    "$source"
	# shellcheck disable=SC2086
	gcc -D_GNU_SOURCE -Iinclude -Isrc -I. $cflags -std=c11 -O2 -g -Wall \
	    -Wextra -Wno-unused-parameter -c -o target/review-2/rig.o \
	    review/standin-2/rig.c
	# shellcheck disable=SC2086
	gcc -o "target/review-2/$name" "target/review-2/$name.o" \
	    target/review-2/rig.o $libs $ldlibs -lhttp_parser -lpthread -lm
done
