#!/bin/sh
# Builds what the scripts of the third review start beside the router: the
# project's stand-ins and the cases of review/standin-3, in build/review-3.
set -eu
cd "$(dirname "$0")/.."
make -j8 build/libjhfakes.a build/libjhnet.a build/libjacinthhill.a >/dev/null
packages="glib-2.0 libmicrohttpd libcurl jansson yaml-0.1 libxxhash libsodium
libuv"
mkdir -p build/review-3
for case in review/standin-3/case_*.c; do
	# shellcheck disable=SC2046,SC2086
	gcc -D_GNU_SOURCE -std=c11 -O2 -g -Wall -Wextra -Wno-unused-parameter \
	    -Iinclude -Isrc -I. $(pkg-config --cflags $packages) \
	    -o "build/review-3/$(basename "$case" .c)" \
	    "$case" review/standin-3/rig.c \
	    build/libjhfakes.a build/libjhnet.a build/libjacinthhill.a \
	    $(pkg-config --libs $packages) -lhttp_parser -lpthread -lm
done
