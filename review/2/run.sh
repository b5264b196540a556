#!/bin/sh
# The weights of split routes change.  Exits with 1 if CONFIG was broken, 0 if
# it held, 2 if the case could not run.  TROUBLE=0: the weights do not change.
cd "$(dirname "$0")/../.." || exit 2
review/build.sh || exit 2
build/review/split-weights review/2/record.txt
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
