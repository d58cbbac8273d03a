#!/usr/bin/env bash
# One of two sidecars stands still again and again; clients send the next payout before the idle timeout.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/lilacbend ] || [ ! -x bin/stand2 ]; then
  echo 'build first: the build command of deploy/balancer.toml, then review/build-2.sh'
  exit 2
fi
timeout -k 3 115 bin/stand2 idle review/7
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
