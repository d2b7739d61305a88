#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
ROOT=$(pwd)
n=9
CASE="$ROOT/review/$n"
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
export ROOT CASE RUN
[ -n "$RUN" ] && [ -x "bin/review2/$n" ] && [ -x bin/brasswell ] || { echo "build first: the deploy file's build, then review/build-2.sh"; exit 2; }
exec "bin/review2/$n"
