#!/bin/sh
# A zone's watcher freezes while a replica leaves.  Exits with 1 if DRAIN was
# broken, 0 if it held, 2 if the case could not run.  TROUBLE=0: no freeze.
cd "$(dirname "$0")/../.." || exit 2
review/build.sh || exit 2
build/review/late-removal review/1/record.txt
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
