#!/bin/bash
# run_case_3.sh CASE FOLDER: plays a case, and ends the daemons whatever happens.
# Exit code: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
cd "$(dirname "$0")/.." || exit 2
for program in target/release/pollenfalld target/review-3/release/stand-3; do
    if [ ! -x "$program" ]; then
        echo "$program isn't built"
        exit 2
    fi
done
scratch=$(mktemp -d) || exit 2
finish() {
    # The daemons have ended by now, unless the stand-in was ended first.
    for id in $(cat "$scratch/pids" 2> /dev/null); do
        if [ "$(cat "/proc/$id/comm" 2> /dev/null)" = pollenfalld ]; then
            kill -9 "$id" 2> /dev/null
        fi
    done
    rm -rf "$scratch"
}
trap finish EXIT
timeout -k 2 115 target/review-3/release/stand-3 "$1" "$2" "$scratch"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
