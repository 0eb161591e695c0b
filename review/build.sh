#!/bin/sh
# Builds the stand-ins and the programs of the cases into target/review/. Run
# it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
make -j8 BUILD=target target/jhplatform target/libjhfakes.a >/dev/null
mkdir -p target/review
packages="glib-2.0 libtirpc libmicrohttpd libcurl jansson yaml-0.1 libxxhash \
    libsodium ck libuv gsl"
for case in review/[1-5]/case.c; do
	number=$(basename "$(dirname "$case")")
	# shellcheck disable=SC2046
	gcc -std=c11 -O2 -g -Wall -Wextra -Werror -Wshadow \
	    -Wno-unused-parameter -D_GNU_SOURCE -Iinclude -Isrc -I. \
	    $(pkg-config --cflags $packages) -o "target/review/case$number" \
	    "$case" review/standin/*.c target/libjhfakes.a target/libjhnet.a \
	    target/libjacinthhill.a $(pkg-config --libs $packages) \
	    -lhttp_parser -lpthread -lm
done
