#!/bin/sh
# Build the stand-ins of the second review's scripts into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
packages="glib-2.0 gio-2.0 json-glib-1.0"
support="standin-store standin-store-write standin-store-copy raw-http port call-counts"
mkdir -p "$out"
sources="source/base/json.c review/standin-2/place.c review/standin-2/link.c"
for name in $support
do
	sources="$sources tests/support/$name.c"
done
for program in foreign-entry cut-watchers
do
	# shellcheck disable=SC2046,SC2086
	gcc -std=gnu11 -O2 -g -Wall -Iinclude -Isource -I. -Itests \
		$(pkg-config --cflags $packages) \
		-o "$out/$program" "review/standin-2/$program.c" $sources \
		$(pkg-config --libs $packages)
done
