#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-3 ] || { echo "review/build.sh has not run"; exit 2; }
[ -x target/release/rowanglade ] || { echo "the build of the deploy file has not run"; exit 2; }
timeout -k 2 115 target/review/case-3 "$PWD" "$PWD/review/3"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
