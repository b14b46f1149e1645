#!/bin/bash
# run-case.sh CASE FOLDER: runs a case of the third review, within 120 seconds, and ends all that it started.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: without the disruption.
case_name=$1
folder=$(cd "$2" && pwd)
root=$(cd "$(dirname "$0")/../.." && pwd)
program=$root/target/review-3/release/review-standin-3
if [ ! -x "$program" ] || [ ! -x "$root/target/release/sedgehilld" ]; then
    echo "build with the line 'build' of deploy/system.toml and review/build-3.sh first" >&2
    exit 2
fi
# The stand-in and the boxes that it starts are a process group of their own.
set -m
"$program" "$case_name" "$root" "$folder" &
group=$!
( sleep 112; kill -KILL -- "-$group" ) 2>/dev/null &
guard=$!
wait "$group"
code=$?
kill -KILL -- "-$group" 2>/dev/null
kill -KILL -- "-$guard" 2>/dev/null
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
