#!/usr/bin/env bash
# Prints one JSON line a figure: a request through pollenfalld beside the same
# request through a relay that decides nothing, and straight to the minion, in
# the same run. Bounded: about a minute, loopback only.
set -u
cd "$(dirname "$0")/.." || exit 1
cargo build --quiet --release --workspace || exit 1
build=target/release
base=${BENCH_PORT:-23000}
requests=${BENCH_REQUESTS:-4000}
work=$(mktemp -d)
pids=()
finish() {
  local index
  for ((index = ${#pids[@]} - 1; index >= 0; index--)); do kill "${pids[index]}" 2>/dev/null; done
  rm -rf "$work"
}
trap finish EXIT
start() { "$@" >>"$work/out" 2>>"$work/log" & pids+=($!); }

{ read -r operators; read -r hash; } < <("$build/pollenfall" key hash)
listing() {
  printf '{"vm":"%s","address":"127.0.0.1:%s","role":"%s","pool":"bench","data_centre":"dc-1","rack":"r1","slots":%s,"cores":1,"memory":1,"boot":1,"presence":"live"}' "$@"
}
{ echo "["; listing vm-entry-1 $((base + 1)) entry 0; echo ","; listing minion-1 $((base + 3)) minion 64; echo "]"; } >"$work/vms.json"
sed -e "s/:7101/:$((base + 1))/; s/:7201/:$((base + 2))/; s/:7000/:$base/; s/\"0011.*\"/\"$hash\"/; /\"metrics\"/d" \
  examples/pollenfalld.jsonc >"$work/entry.jsonc"
echo '{ "teams": { "bench": { "plan": "bench", "share": 1, "limit": 64 } } }' >"$work/plans.jsonc"
echo '{ "plans": { "bench": { "pools": ["bench"], "priority": "normal" } }, "pools": { "bench": { "min_available": 0 } } }' >"$work/grants.jsonc"

start "$build/standin" platform --listen "127.0.0.1:$base" --vms "$work/vms.json"
start "$build/standin" minion --listen "127.0.0.1:$((base + 3))" --slots 64
start "$build/standin" relay --listen "127.0.0.1:$((base + 4))" --minion "127.0.0.1:$((base + 3))"
start "$build/pollenfalld" --settings "$work/entry.jsonc"
daemon=${pids[-1]}
op() { POLLENFALL_KEY=$operators "$build/pollenfall" --daemon "127.0.0.1:$((base + 1))" "$@" 2>/dev/null; }
for _ in $(seq 100); do op --json status | grep -q '"takes_work":"yes"\|"members":\["entry-1"\]' && break; sleep 0.1; done
op grants apply "$work/grants.jsonc" >/dev/null
op plans apply "$work/plans.jsonc" >/dev/null
key=$(op key give --team bench key-bench | tail -n 1)
for _ in $(seq 100); do
  curl -s -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $key" "http://127.0.0.1:$((base + 1))/call/bench/x" | grep -q 200 && break
  sleep 0.1
done

load() { "$build/standin" load --name "$1" --target "127.0.0.1:$2" --path "$3" --callers "$4" --requests "$requests" ${5:+--key "$5"}; }
for callers in 1 4 16; do
  for round in 1 2 3; do
    load "straight, round $round" $((base + 3)) /x "$callers"
    load "relay, round $round" $((base + 4)) /x "$callers"
    load "daemon, round $round" $((base + 1)) /call/bench/x "$callers" "$key"
  done
done
awk -v callers=all '/VmRSS/ {printf "{\"figure\":\"daemon memory\",\"kib\":%s}\n", $2}' "/proc/$daemon/status"
