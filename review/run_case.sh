#!/usr/bin/env bash
# run_case.sh CASE FOLDER: runs a script's case, for 120 seconds at most, and ends every process
# that it has started. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
cd "$(dirname "$0")/.."
PROCESS_FILE=$(mktemp)
export PROCESS_FILE
end_processes() {
  [ -z "${stand:-}" ] || kill "$stand" 2>/dev/null
  # Only processes of the program that the case starts; most have ended already.
  while read -r process; do
    case "$(cat "/proc/$process/cmdline" 2>/dev/null | tr '\0' ' ')" in
      target/release/pollenfalld*) kill -KILL "$process" 2>/dev/null ;;
    esac
  done < "$PROCESS_FILE"
  rm -f "$PROCESS_FILE"
}
trap end_processes EXIT
trap 'exit 2' INT TERM
timeout -k 2 112 target/review/stand "$1" "$2" &
stand=$!
wait "$stand"
code=$?
stand=
[ "$code" -le 1 ] || code=2
exit "$code"
