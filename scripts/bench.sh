#!/usr/bin/env bash
# Measures the latency of a request sent through pollenfalld, through a relay
# that makes no decision, and directly to the minion, all in the same run. Prints
# one JSON line per measurement, and the daemon's resident memory at the end.
# A run takes about a minute and uses only the loopback interface.
# BENCH_PORT sets the first of five consecutive ports, and BENCH_REQUESTS sets
# the number of requests per measurement.
set -u
cd "$(dirname "$0")/.." || exit 1
cargo build --quiet --release --workspace || exit 1
build_dir=target/release
base_port=${BENCH_PORT:-23000}
requests=${BENCH_REQUESTS:-4000}
work_dir=$(mktemp -d)
pids=()
stop_all() {
  local index
  for ((index = ${#pids[@]} - 1; index >= 0; index--)); do kill "${pids[index]}" 2>/dev/null; done
  rm -rf "$work_dir"
}
trap stop_all EXIT
start_process() { "$@" >>"$work_dir/out" 2>>"$work_dir/log" & pids+=($!); }

{ read -r operator_key; read -r operator_key_hash; } < <("$build_dir/pollenfall" key hash)
print_vm() { # vm, port, role, slots
  printf '{"vm":"%s","address":"127.0.0.1:%s","role":"%s","pool":"bench","data_centre":"dc-1","rack":"r1","slots":%s,"cores":1,"memory":1,"boot":1,"presence":"live"}' "$@"
}
{ echo "["; print_vm vm-entry-1 $((base_port + 1)) entry 0; echo ","; print_vm minion-1 $((base_port + 3)) minion 64; echo "]"; } >"$work_dir/vms.json"
sed -e "s/:7101/:$((base_port + 1))/; s/:7201/:$((base_port + 2))/; s/:7000/:$base_port/; s/\"0011.*\"/\"$operator_key_hash\"/; /\"metrics\"/d" \
  examples/pollenfalld.jsonc >"$work_dir/entry.jsonc"
echo '{ "teams": { "bench": { "plan": "bench", "share": 1, "limit": 64 } } }' >"$work_dir/plans.jsonc"
echo '{ "plans": { "bench": { "pools": ["bench"], "priority": "normal" } }, "pools": { "bench": { "min_available": 0 } } }' >"$work_dir/grants.jsonc"

start_process "$build_dir/standin" platform --listen "127.0.0.1:$base_port" --vms "$work_dir/vms.json"
start_process "$build_dir/standin" minion --listen "127.0.0.1:$((base_port + 3))" --slots 64
start_process "$build_dir/standin" relay --listen "127.0.0.1:$((base_port + 4))" --minion "127.0.0.1:$((base_port + 3))"
start_process "$build_dir/pollenfalld" --settings "$work_dir/entry.jsonc"
daemon_pid=${pids[-1]}
operator_cli() { POLLENFALL_KEY=$operator_key "$build_dir/pollenfall" --daemon "127.0.0.1:$((base_port + 1))" "$@" 2>/dev/null; }
for _ in $(seq 100); do operator_cli --json status | grep -q '"takes_work":"yes"\|"members":\["entry-1"\]' && break; sleep 0.1; done
operator_cli grants apply "$work_dir/grants.jsonc" >/dev/null
operator_cli plans apply "$work_dir/plans.jsonc" >/dev/null
team_key=$(operator_cli key give --team bench key-bench | tail -n 1)
for _ in $(seq 100); do
  curl -s -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $team_key" "http://127.0.0.1:$((base_port + 1))/call/bench/x" | grep -q 200 && break
  sleep 0.1
done

run_load() { # name, port, path, callers, key (optional)
  "$build_dir/standin" load --name "$1" --target "127.0.0.1:$2" --path "$3" --callers "$4" --requests "$requests" ${5:+--key "$5"}
}
for callers in 1 4 16; do
  for round in 1 2 3; do
    run_load "straight, round $round" $((base_port + 3)) /x "$callers"
    run_load "relay, round $round" $((base_port + 4)) /x "$callers"
    run_load "daemon, round $round" $((base_port + 1)) /call/bench/x "$callers" "$team_key"
  done
done
awk -v callers=all '/VmRSS/ {printf "{\"figure\":\"daemon memory\",\"kib\":%s}\n", $2}' "/proc/$daemon_pid/status"
