#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the same without the disruption.
TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/review-harness
[ -x "$program" ] || { echo "run review/build.sh first"; exit 2; }
exec "$program" silent-watch review/4 "$TROUBLE"
