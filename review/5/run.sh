#!/bin/sh
# 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0: the same without the cuts.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/ragwort-gateway ] && [ -x target/review-2/cut-watchers ] || exit 2
exec target/review-2/cut-watchers target/ragwort-gateway "$here/record.txt"
