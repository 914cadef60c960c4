#!/usr/bin/env bash
# Plays the case (claim.txt): exit 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/heatherfront ] && [ -x target/stand-2 ] || { echo "build first: deploy/system.toml, review/build-2.sh"; exit 2; }
timeout -k 5 115 target/stand-2 memory "$PWD/review/9" "$PWD/target/heatherfront"
status=$?
[ $status -le 1 ] || status=2
exit $status
