#!/usr/bin/env bash
# End-to-end check. For the lists of each example deployment, the script starts
# the platform, six minions, two workers and three daemons on the loopback
# interface, runs requests, jobs and operator commands, checks each result, and
# stops all started processes. It exits with status 1 if a check fails.
# DEMO_BUILD names a folder with binaries to use instead of a new debug build.
set -u
cd "$(dirname "$0")/.." || exit 1

build_dir=${DEMO_BUILD:-target/debug}
if [ -z "${DEMO_BUILD:-}" ]; then cargo build --quiet --workspace || exit 1; fi
work_dir=$(mktemp -d)
pids=()
failed_checks=0
checks=0

# Stops the processes in reverse order of their start, so that the daemons can
# still reach the platform while they stop. A process that still runs 10 s after
# SIGTERM is killed.
stop_all() {
  local index
  for ((index = ${#pids[@]} - 1; index >= 0; index--)); do stop_process "${pids[index]}"; done
  pids=()
}

stop_process() {
  kill "$1" 2>/dev/null || return 0
  for _ in $(seq 100); do
    kill -0 "$1" 2>/dev/null || return 0
    sleep 0.1
  done
  kill -KILL "$1" 2>/dev/null
}
trap 'stop_all; rm -rf "$work_dir"' EXIT

# Runs a command in the background and sets pid_NAME, with "_" for each "-".
start_process() { # name, command...
  local name=$1; shift
  "$@" >"$work_dir/$name.out" 2>"$work_dir/$name.log" &
  pids+=($!)
  eval "pid_${name//-/_}=$!"
}

# Checks that a text matches a pattern.
expect_match() { # title, pattern, text
  checks=$((checks + 1))
  if grep -qE -- "$2" <<<"$3"; then
    printf 'ok    %-58s %s\n' "$1" "$(head -c 90 <<<"$3" | head -n 1)"
  else
    failed_checks=$((failed_checks + 1))
    printf 'FAIL  %s\n      wanted: %s\n      saw:    %s\n' "$1" "$2" "$3"
  fi
}

# Repeats a command every 0.1 s until its output matches a pattern, for about 20 s
# at most, and checks the last output.
await_match() { # title, pattern, command...
  local title=$1 pattern=$2 text; shift 2
  for _ in $(seq 200); do
    text=$("$@" 2>&1)
    if grep -qE -- "$pattern" <<<"$text"; then break; fi
    sleep 0.1
  done
  expect_match "$title" "$pattern" "$text"
}

operator_cli() { POLLENFALL_KEY=$operator_key "$build_dir/pollenfall" "${daemon_options[@]}" "$@"; }
submitter_cli() { # key, command...
  POLLENFALL_KEY=$1 "$build_dir/pollenfall" "${daemon_options[@]}" "${@:2}"
}
send_request() { # key, daemon number, method, path, curl options...
  curl -s -i -X "$3" -H "Authorization: Bearer $1" "http://127.0.0.1:$((base_port + 100 + $2))$4" "${@:5}"
}

print_vm() { # vm, port, role, pool, data centre, rack
  printf '{"vm":"%s","address":"127.0.0.1:%s","role":"%s","pool":"%s","data_centre":"%s","rack":"%s","slots":8,"cores":16,"memory":65536,"boot":1,"presence":"live"}' "$@"
}

write_vm_list() {
  {
    echo "["
    for n in 1 2 3; do print_vm "vm-entry-$n" $((base_port + 100 + n)) entry entry "dc-$((n % 2 + 1))" r0; echo ","; done
    for n in 1 2 3 4; do print_vm "minion-$n" $((base_port + 300 + n)) minion "$request_pool" "dc-$((n % 2 + 1))" "r$n"; echo ","; done
    for n in 5 6; do print_vm "minion-$n" $((base_port + 300 + n)) minion "$second_request_pool" "dc-$((n % 2 + 1))" "r$n"; echo ","; done
    for n in 1 2; do
      print_vm "worker-$n" $((base_port + 400 + n)) worker "$job_pool" "dc-$n" "r$n"
      [ "$n" = 2 ] || echo ","
    done
    echo "]"
  } >"$work_dir/vms.json"
}

write_settings() { # daemon number
  sed -e "s/\"entry-1\"/\"entry-$1\"/; s/vm-entry-1/vm-entry-$1/; s/\"dc-1\"/\"dc-$(($1 % 2 + 1))\"/" \
    -e "s/:7101/:$((base_port + 100 + $1))/; s/:7201/:$((base_port + 200 + $1))/; s/:7000/:$base_port/" \
    -e "s/\"0011.*\"/\"$operator_key_hash\"/; /\"metrics\"/d" \
    examples/pollenfalld.jsonc >"$work_dir/entry-$1.jsonc"
}

# Runs all checks with the lists of one example. Requests go to two pools of
# minions, and jobs to a pool of workers.
check_deployment() { # example, first port, three pools, caller team, submitter team
  example=$1 base_port=$2 request_pool=$3 second_request_pool=$4 job_pool=$5 caller_team=$6 submitter_team=$7
  printf '\n== %s\n' "$example"
  { read -r operator_key; read -r operator_key_hash; } < <("$build_dir/pollenfall" key hash)
  daemon_options=(--daemon "127.0.0.1:$((base_port + 101))" --daemon "127.0.0.1:$((base_port + 102))" --daemon "127.0.0.1:$((base_port + 103))")
  write_vm_list
  start_process platform "$build_dir/standin" platform --listen "127.0.0.1:$base_port" --vms "$work_dir/vms.json"
  for n in 1 2 3 4 5 6; do start_process "minion-$n" "$build_dir/standin" minion --listen "127.0.0.1:$((base_port + 300 + n))"; done
  for n in 1 2; do start_process "worker-$n" "$build_dir/standin" worker --listen "127.0.0.1:$((base_port + 400 + n))"; done
  for n in 1 2 3; do
    write_settings "$n"
    expect_match "the settings of entry-$n have no fault" "no faults" "$("$build_dir/pollenfalld" --settings "$work_dir/entry-$n.jsonc" --check-settings 2>&1)"
    start_process "entry-$n" "$build_dir/pollenfalld" --settings "$work_dir/entry-$n.jsonc"
  done
  for n in 1 2 3; do
    await_match "entry-$n is in contact with all three daemons" '"heard":\["entry-1","entry-2","entry-3"\]' \
      env POLLENFALL_KEY="$operator_key" "$build_dir/pollenfall" --daemon "127.0.0.1:$((base_port + 100 + n))" --json status
  done

  printf '{ "teams": { "x": { "plam": "member", "share": 0, "limit": 1 } } }' >"$work_dir/wrong.jsonc"
  expect_match "an unknown key is reported with the nearest known key" 'did you mean "plan"' "$(operator_cli plans check "$work_dir/wrong.jsonc" 2>&1)"
  expect_match "a number out of range is reported with its range" '"share" must be a whole number from 1' "$(operator_cli plans check "$work_dir/wrong.jsonc" 2>&1)"
  expect_match "plans are refused before their grants exist" "which the second list does not have" "$(operator_cli plans apply "examples/$example/plans.jsonc" 2>&1)"
  expect_match "the grants are applied" "in force everywhere" "$(operator_cli grants apply "examples/$example/grants.jsonc" 2>&1)"
  expect_match "a dry run prints the changes" "\+ teams.$caller_team" "$(operator_cli plans apply --dry-run "examples/$example/plans.jsonc" 2>&1)"
  expect_match "the plans are applied" "in force everywhere" "$(operator_cli plans apply "examples/$example/plans.jsonc" 2>&1)"
  caller_key=$(operator_cli key give --team "$caller_team" "key-$caller_team" | tail -n 1)
  submitter_key=$(operator_cli key give --team "$submitter_team" "key-$submitter_team" | tail -n 1)
  expect_match "the text of a new key is printed once" "^pf\.key-$caller_team\.[0-9a-f]{64}$" "$caller_key"

  for n in 1 2 3; do
    await_match "a request through entry-$n succeeds" "Pollenfall-Outcome: done" send_request "$caller_key" "$n" GET "/call/$request_pool/list?ms=5"
  done
  expect_match "the answer has the complete request body" "crate 17 of 40" "$(send_request "$caller_key" 2 PUT "/call/$request_pool/list" --data "crate 17 of 40")"
  order=$(send_request "$caller_key" 1 POST "/call/$request_pool/order" -H "Idempotency-Key: order-1" -H "Order: 1" --data "first order")
  expect_match "a request with an idempotency key runs" "first order" "$order"
  await_match "another daemon replays the answer to the repeated request" "first order" send_request "$caller_key" 2 POST "/call/$request_pool/order" -H "Idempotency-Key: order-1" --data "first order"
  starts=0
  for n in 1 2 3 4; do
    starts=$((starts + $(curl -s "http://127.0.0.1:$((base_port + 300 + n))/standin/report" | grep -oE '"starts":[0-9]+' | cut -d: -f2)))
  done
  expect_match "the minions started 3 GETs, 1 PUT and 1 POST" "^5$" "$starts"
  expect_match "a request without a key is not run" "not-run" "$(curl -s -i "http://127.0.0.1:$((base_port + 101))/call/$request_pool/list")"
  expect_match "a request to a pool outside the plan is not run" "403.*" "$(send_request "$submitter_key" 1 GET "/call/$request_pool/list" | head -n 1)"
  expect_match "a request to an unknown pool is not run" "there is no pool" "$(send_request "$caller_key" 1 GET /call/nowhere/list)"
  expect_match "a request to an unknown path is not run" "there is no path" "$(send_request "$caller_key" 1 GET /elsewhere)"
  await_match "a request to an open pool needs no key" "not-run" curl -s -i "http://127.0.0.1:$((base_port + 101))/call/hours/today" -H "Pollenfall-Deadline-Ms: 50"

  expect_match "a submitted job is acknowledged as queued" "queued" "$(submitter_cli "$submitter_key" job submit --pool "$job_pool" night-1 run:300 2>&1)"
  expect_match "the job ends as done" "done" "$(submitter_cli "$submitter_key" job watch night-1 2>&1)"
  submitter_cli "$submitter_key" job submit --pool "$job_pool" night-2 run:60000 >/dev/null 2>&1
  await_match "a long job is placed on a worker" "placed worker" submitter_cli "$submitter_key" job show night-2
  submitter_cli "$submitter_key" job cancel night-2 >/dev/null 2>&1
  await_match "the long job is cancelled" "cancelled" submitter_cli "$submitter_key" job show night-2
  submitter_cli "$submitter_key" job submit --pool "$job_pool" --cores 999 night-3 run:1 >/dev/null 2>&1
  await_match "a job too large for every worker is reported" "impossible.*large enough" submitter_cli "$submitter_key" job show night-3

  expect_match "a VM reboots gracefully" "done" "$(operator_cli vm reboot minion-1 2>&1)"
  await_match "the rebooted VM is up" '"boot":2|"reboots":1' curl -s "http://127.0.0.1:$((base_port + 301))/standin/report"
  await_match "the rebooted VM serves its pool again" "minion-1 +$request_pool +dc-2 +serving +live" operator_cli status
  expect_match "a VM moves to another pool" "done" "$(operator_cli vm move minion-2 "$second_request_pool" 2>&1)"
  await_match "the moved VM serves its new pool" "minion-2 +$second_request_pool +dc-1 +serving +live" operator_cli status
  expect_match "a drain below the pool's minimum is refused" "under its minimum" "$(operator_cli vm drain minion-1 2>&1; operator_cli vm drain minion-3 2>&1)"
  expect_match "the reboot interrupted no request" '"cut":0' "$(curl -s "http://127.0.0.1:$((base_port + 301))/standin/report")"
  operator_cli vm return minion-1 >/dev/null 2>&1

  expect_match "a data centre is taken out" "in force everywhere" "$(operator_cli data-centre out dc-2 2>&1)"
  before=$(curl -s "http://127.0.0.1:$((base_port + 303))/standin/report" | grep -oE '"starts":[0-9]+')
  for n in 1 2 3; do send_request "$caller_key" "$n" GET "/call/$request_pool/list" -H "Pollenfall-Deadline-Ms: 500" >/dev/null; done
  expect_match "no request goes to the data centre that is out" "^$before$" "$(curl -s "http://127.0.0.1:$((base_port + 303))/standin/report" | grep -oE '"starts":[0-9]+')"
  expect_match "the data centre is taken back" "in force everywhere" "$(operator_cli data-centre back dc-2 2>&1)"
  expect_match "a pool is taken out" "in force everywhere" "$(operator_cli pool out "$request_pool" 2>&1)"
  expect_match "requests to the pool that is out are refused" "is taken out" "$(send_request "$caller_key" 3 GET "/call/$request_pool/list")"
  expect_match "the pool is taken back" "in force everywhere" "$(operator_cli pool back "$request_pool" 2>&1)"
  expect_match "a key is withdrawn" "in force everywhere" "$(operator_cli key withdraw "key-$caller_team" 2>&1)"
  expect_match "a request with the withdrawn key is refused" "401" "$(send_request "$caller_key" 3 GET "/call/$request_pool/list" | head -n 1)"
  expect_match "the measures count finished jobs" "jobs done" "$(operator_cli measures)"
  expect_match "decisions are logged with choice and reason" "choice=.*reason=" "$(grep -h decision "$work_dir"/entry-*.log | tail -n 1)"

  kill -TERM "$pid_entry_3"
  wait "$pid_entry_3"
  expect_match "SIGTERM stops a daemon gracefully with exit status 0" "^0$" "$?"
  await_match "the other daemons list only each other as members" '"members":\["entry-1","entry-2"\]' operator_cli --json status
  stop_all
}

check_deployment brabant 21000 intake picklists stock oss-plant reconciliation
check_deployment borvarrat 22000 cut-orders fit-checks resizing counter racing

printf '\n%d passed, %d failed\n' $((checks - failed_checks)) "$failed_checks"
[ "$failed_checks" = 0 ]
