#!/usr/bin/env bash
# Starts the whole system on loopback for both deployments' lists, runs every
# step of the path, checks each, and stops all that it started.
set -u
cd "$(dirname "$0")/.." || exit 1

build=${DEMO_BUILD:-target/debug}
if [ -z "${DEMO_BUILD:-}" ]; then cargo build --quiet --workspace || exit 1; fi
work=$(mktemp -d)
pids=()
failures=0
checks=0

# Stops in reverse order of start, so that daemons can still reach the platform;
# what has not stopped after 10 s is killed.
stop_all() {
  local index
  for ((index = ${#pids[@]} - 1; index >= 0; index--)); do stop_one "${pids[index]}"; done
  pids=()
}

stop_one() {
  kill "$1" 2>/dev/null || return 0
  for _ in $(seq 100); do
    kill -0 "$1" 2>/dev/null || return 0
    sleep 0.1
  done
  kill -KILL "$1" 2>/dev/null
}
trap 'stop_all; rm -rf "$work"' EXIT

start() { # name, command...
  local name=$1; shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
  eval "pid_${name//-/_}=$!"
}

# Checks that a text holds a pattern.
expect() { # step, pattern, text
  checks=$((checks + 1))
  if grep -qE -- "$2" <<<"$3"; then
    printf 'ok    %-58s %s\n' "$1" "$(head -c 90 <<<"$3" | head -n 1)"
  else
    failures=$((failures + 1))
    printf 'FAIL  %s\n      wanted: %s\n      saw:    %s\n' "$1" "$2" "$3"
  fi
}

# Repeats a command until its output holds a pattern, for at most 20 s.
await() { # step, pattern, command...
  local step=$1 pattern=$2 text; shift 2
  for _ in $(seq 200); do
    text=$("$@" 2>&1)
    if grep -qE -- "$pattern" <<<"$text"; then break; fi
    sleep 0.1
  done
  expect "$step" "$pattern" "$text"
}

op() { POLLENFALL_KEY=$operators "$build/pollenfall" "${daemons[@]}" "$@"; }
submitter() { POLLENFALL_KEY=$1 "$build/pollenfall" "${daemons[@]}" "${@:2}"; }
call() { # key, daemon number, method, path, curl options...
  curl -s -i -X "$3" -H "Authorization: Bearer $1" "http://127.0.0.1:$((base + 100 + $2))$4" "${@:5}"
}

listing() { # vm, port, role, pool, data centre, rack
  printf '{"vm":"%s","address":"127.0.0.1:%s","role":"%s","pool":"%s","data_centre":"%s","rack":"%s","slots":8,"cores":16,"memory":65536,"boot":1,"presence":"live"}' "$@"
}

write_listing() {
  {
    echo "["
    for n in 1 2 3; do listing "vm-entry-$n" $((base + 100 + n)) entry entry "dc-$((n % 2 + 1))" r0; echo ","; done
    for n in 1 2 3 4; do listing "minion-$n" $((base + 300 + n)) minion "$pool_a" "dc-$((n % 2 + 1))" "r$n"; echo ","; done
    for n in 5 6; do listing "minion-$n" $((base + 300 + n)) minion "$pool_b" "dc-$((n % 2 + 1))" "r$n"; echo ","; done
    for n in 1 2; do
      listing "worker-$n" $((base + 400 + n)) worker "$pool_c" "dc-$n" "r$n"
      [ "$n" = 2 ] || echo ","
    done
    echo "]"
  } >"$work/vms.json"
}

write_settings() { # number
  sed -e "s/\"entry-1\"/\"entry-$1\"/; s/vm-entry-1/vm-entry-$1/; s/\"dc-1\"/\"dc-$(($1 % 2 + 1))\"/" \
    -e "s/:7101/:$((base + 100 + $1))/; s/:7201/:$((base + 200 + $1))/; s/:7000/:$base/" \
    -e "s/\"0011.*\"/\"$operators_hash\"/; /\"metrics\"/d" \
    examples/pollenfalld.jsonc >"$work/entry-$1.jsonc"
}

deployment() { # lists, port base, pools a b c, teams for a and c
  lists=$1 base=$2 pool_a=$3 pool_b=$4 pool_c=$5 team_a=$6 team_c=$7
  printf '\n== %s\n' "$lists"
  { read -r operators; read -r operators_hash; } < <("$build/pollenfall" key hash)
  daemons=(--daemon "127.0.0.1:$((base + 101))" --daemon "127.0.0.1:$((base + 102))" --daemon "127.0.0.1:$((base + 103))")
  write_listing
  start platform "$build/standin" platform --listen "127.0.0.1:$base" --vms "$work/vms.json"
  for n in 1 2 3 4 5 6; do start "minion-$n" "$build/standin" minion --listen "127.0.0.1:$((base + 300 + n))"; done
  for n in 1 2; do start "worker-$n" "$build/standin" worker --listen "127.0.0.1:$((base + 400 + n))"; done
  for n in 1 2 3; do
    write_settings "$n"
    expect "settings of entry-$n have no fault" "no faults" "$("$build/pollenfalld" --settings "$work/entry-$n.jsonc" --check-settings 2>&1)"
    start "entry-$n" "$build/pollenfalld" --settings "$work/entry-$n.jsonc"
  done
  for n in 1 2 3; do
    await "entry-$n hears all three" '"heard":\["entry-1","entry-2","entry-3"\]' \
      env POLLENFALL_KEY="$operators" "$build/pollenfall" --daemon "127.0.0.1:$((base + 100 + n))" --json status
  done

  printf '{ "teams": { "x": { "plam": "member", "share": 0, "limit": 1 } } }' >"$work/wrong.jsonc"
  expect "a wrong list: unknown name, nearest known" 'did you mean "plan"' "$(op plans check "$work/wrong.jsonc" 2>&1)"
  expect "a wrong list: the range of a number" '"share" must be a whole number from 1' "$(op plans check "$work/wrong.jsonc" 2>&1)"
  expect "plans before grants are refused" "which the second list does not have" "$(op plans apply "examples/$lists/plans.jsonc" 2>&1)"
  expect "grants are applied" "in force everywhere" "$(op grants apply "examples/$lists/grants.jsonc" 2>&1)"
  expect "a dry run shows the difference" "\+ teams.$team_a" "$(op plans apply --dry-run "examples/$lists/plans.jsonc" 2>&1)"
  expect "plans are applied" "in force everywhere" "$(op plans apply "examples/$lists/plans.jsonc" 2>&1)"
  key_a=$(op key give --team "$team_a" "key-$team_a" | tail -n 1)
  key_c=$(op key give --team "$team_c" "key-$team_c" | tail -n 1)
  expect "a key is given, its text shown once" "^pf\.key-$team_a\.[0-9a-f]{64}$" "$key_a"

  for n in 1 2 3; do
    await "a request through entry-$n is done" "Pollenfall-Outcome: done" call "$key_a" "$n" GET "/call/$pool_a/list?ms=5"
  done
  expect "the answer is whole" "crate 17 of 40" "$(call "$key_a" 2 PUT "/call/$pool_a/list" --data "crate 17 of 40")"
  order=$(call "$key_a" 1 POST "/call/$pool_a/order" -H "Idempotency-Key: order-1" -H "Order: 1" --data "first order")
  expect "an order is booked" "first order" "$order"
  await "the same order through another daemon is replayed" "first order" call "$key_a" 2 POST "/call/$pool_a/order" -H "Idempotency-Key: order-1" --data "first order"
  starts=0
  for n in 1 2 3 4; do
    starts=$((starts + $(curl -s "http://127.0.0.1:$((base + 300 + n))/standin/report" | grep -oE '"starts":[0-9]+' | cut -d: -f2)))
  done
  expect "minions saw 3 reads, one PUT, one order" "^5$" "$starts"
  expect "no key: not run" "not-run" "$(curl -s -i "http://127.0.0.1:$((base + 101))/call/$pool_a/list")"
  expect "another plan's pool: not run" "403.*" "$(call "$key_c" 1 GET "/call/$pool_a/list" | head -n 1)"
  expect "an unknown pool: not run" "there is no pool" "$(call "$key_a" 1 GET /call/nowhere/list)"
  expect "an unknown path: not run" "there is no path" "$(call "$key_a" 1 GET /elsewhere)"
  await "a pool open to all needs no key" "not-run" curl -s -i "http://127.0.0.1:$((base + 101))/call/hours/today" -H "Pollenfall-Deadline-Ms: 50"

  expect "a job is durable when acknowledged" "queued" "$(submitter "$key_c" job submit --pool "$pool_c" night-1 run:300 2>&1)"
  expect "the job ends well" "done" "$(submitter "$key_c" job watch night-1 2>&1)"
  submitter "$key_c" job submit --pool "$pool_c" night-2 run:60000 >/dev/null 2>&1
  await "a long job is placed" "placed worker" submitter "$key_c" job show night-2
  submitter "$key_c" job cancel night-2 >/dev/null 2>&1
  await "the long job is cancelled" "cancelled" submitter "$key_c" job show night-2
  submitter "$key_c" job submit --pool "$pool_c" --cores 999 night-3 run:1 >/dev/null 2>&1
  await "a job that can never run is said so" "impossible.*large enough" submitter "$key_c" job show night-3

  expect "a VM reboots gracefully" "done" "$(op vm reboot minion-1 2>&1)"
  await "it is back" '"boot":2|"reboots":1' curl -s "http://127.0.0.1:$((base + 301))/standin/report"
  await "it serves again" "minion-1 +$pool_a +dc-2 +serving +live" op status
  expect "a VM moves to another pool" "done" "$(op vm move minion-2 "$pool_b" 2>&1)"
  await "it serves there" "minion-2 +$pool_b +dc-1 +serving +live" op status
  expect "a stop under the minimum is refused" "under its minimum" "$(op vm drain minion-1 2>&1; op vm drain minion-3 2>&1)"
  expect "the reboot cut no request" '"cut":0' "$(curl -s "http://127.0.0.1:$((base + 301))/standin/report")"
  op vm return minion-1 >/dev/null 2>&1

  expect "a data centre is taken out" "in force everywhere" "$(op data-centre out dc-2 2>&1)"
  before=$(curl -s "http://127.0.0.1:$((base + 303))/standin/report" | grep -oE '"starts":[0-9]+')
  for n in 1 2 3; do call "$key_a" "$n" GET "/call/$pool_a/list" -H "Pollenfall-Deadline-Ms: 500" >/dev/null; done
  expect "no request goes there" "^$before$" "$(curl -s "http://127.0.0.1:$((base + 303))/standin/report" | grep -oE '"starts":[0-9]+')"
  expect "it is taken back" "in force everywhere" "$(op data-centre back dc-2 2>&1)"
  expect "a pool is taken out" "in force everywhere" "$(op pool out "$pool_a" 2>&1)"
  expect "its requests are refused" "is taken out" "$(call "$key_a" 3 GET "/call/$pool_a/list")"
  expect "it is taken back" "in force everywhere" "$(op pool back "$pool_a" 2>&1)"
  expect "a key is withdrawn" "in force everywhere" "$(op key withdraw "key-$team_a" 2>&1)"
  expect "the withdrawn key does not work" "401" "$(call "$key_a" 3 GET "/call/$pool_a/list" | head -n 1)"
  expect "measures are counted" "jobs done" "$(op measures)"
  expect "decisions are logged" "choice=.*reason=" "$(grep -h decision "$work"/entry-*.log | tail -n 1)"

  kill -TERM "$pid_entry_3"
  wait "$pid_entry_3"
  expect "SIGTERM stops a daemon gracefully, exit 0" "^0$" "$?"
  await "the others know that it left" '"members":\["entry-1","entry-2"\]' op --json status
  stop_all
}

deployment brabant 21000 intake picklists stock oss-plant reconciliation
deployment borvarrat 22000 cut-orders fit-checks resizing counter racing

printf '\n%d passed, %d failed\n' $((checks - failures)) "$failures"
[ "$failures" = 0 ]
