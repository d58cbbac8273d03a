#!/bin/sh
# Runs one case: run-case.sh NAME FOLDER. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/.." || exit 2
if [ ! -x bin/review ] || [ ! -x bin/lilacbend ]; then
  echo 'build first: the build of deploy/balancer.toml, then review/build.sh' >&2
  exit 2
fi
timeout -k 3 115 bin/review "$1" "$2/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
