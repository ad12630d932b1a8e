#!/bin/sh
# Runs one case: run.sh CASE RECORD. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/pollenfalld target/review-stand-2; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: run the build of deploy/system.toml and review/build-2.sh" >&2
        exit 2
    fi
done
folder=$(mktemp -d) || exit 2
timeout 115 target/review-stand-2 "$1" "$folder" "$2"
status=$?
# The daemons have ended by now, unless the stand-in was ended first.
for pid in $(cat "$folder/pids" 2>/dev/null); do
    if [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = pollenfalld ]; then
        kill -9 "$pid" 2>/dev/null
    fi
done
rm -rf "$folder"
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac
