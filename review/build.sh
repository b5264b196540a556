#!/bin/sh
# Build the gateway as the deploy file does, and the stand-ins of the review.
set -eu
cd "$(dirname "$0")/.."
support=
for name in call-counts port raw-http standin-store standin-store-copy \
	standin-store-write
do
	support="$support build/obj/tests/support/$name.o"
done
make -s -j8 BUILD=target target/ragwort-gateway
# shellcheck disable=SC2086
make -s -j8 build/libragwortroute.a $support
packages="glib-2.0 gio-2.0 libsoup-3.0 json-glib-1.0 libzmq libprotobuf-c \
	yaml-0.1 libxxhash yajl zlib"
mkdir -p build/review
for program in review/standin/*.c
do
	name=$(basename "$program" .c)
	[ "$name" = fleet ] && continue
	# shellcheck disable=SC2046,SC2086
	gcc -std=gnu11 -Wall -Wextra -Wno-unused-parameter -Werror -O2 -g \
		-Iinclude -Isource -I. -Iproto -Itests -Ireview/standin \
		$(pkg-config --cflags $packages) \
		-o "build/review/$name" "$program" review/standin/fleet.c \
		$support build/libragwortroute.a \
		$(pkg-config --libs $packages) -lhttp_parser -lm -lcmocka
done
