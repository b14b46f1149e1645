#!/bin/sh
# Case 3. Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves out the disruption.
# Needs the daemon (the build command of deploy/system.toml) and the stand-ins (review/build.sh).
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
standin=target/review/release/review-standin
[ -x "$standin" ] || sh review/build.sh || exit 2
[ -x target/release/sedgehilld ] || { echo "target/release/sedgehilld is not built"; exit 2; }
REVIEW_PROCESSES=$(mktemp) || exit 2
export REVIEW_PROCESSES
"$standin" no-runners "$folder" &
running=$!
# The stand-ins end the boxes themselves. If this script is ended before, it ends what it has started.
trap 'kill -9 "$running" $(cat "$REVIEW_PROCESSES") 2> /dev/null; rm -f "$REVIEW_PROCESSES"; exit 2' HUP INT TERM
wait "$running"
code=$?
rm -f "$REVIEW_PROCESSES"
exit "$code"
