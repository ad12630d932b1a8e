#!/usr/bin/env bash
# Checks that the randomised trials fail without each mechanism: copies the
# source, removes one mechanism, and runs trials from seed 1 until one fails.
#   scripts/sabotage.sh [NAME...]
# NAME limits the check to the named mechanisms. SEEDS sets the maximum number of
# trials for each mechanism (default 100).
# Prints one line for each mechanism: its name, the first seed that failed and
# the failure, or "not seen" if no trial failed. The checkout is not changed.
set -u
cd "$(dirname "$0")/.." || exit 1
seeds=${SEEDS:-100}
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
export CARGO_TARGET_DIR=${SABOTAGE_TARGET:-$copy/target}

core=crates/coordination/src/core
src=crates/coordination/src
# name | file | sed expression
mechanisms() {
  cat <<LIST
claims|$core/claims.rs|s/ClaimResult::HeldByOther\(earlier\) => .*/ClaimResult::HeldByOther(_) => self.enqueue(key, false),/
no-retry-after-send|$core/calls.rs|s/let is_safe = is_unsent \|\| call.idempotent;/let is_safe = true;/
true-not-run|$core/calls.rs|s/if !self.calls\[key\].was_never_sent\(\) \{/if false {/
freshness|$core/mod.rs|s/if self.now\(\)\$/if false \&\& self.now()/
newest-configuration|$core/mod.rs|s/if latest.is_some_and\(.*/if false {/
fence-wait|$src/contact.rs|s/now - at >= FENCE_TIMEOUT/now - at >= state::Millis(0) \&\& FENCE_TIMEOUT.0 > 0/
majority|$src/contact.rs|s/\(members.members.len\(\) - unconfirmed.len\(\)\) \* 2 > members.members.len\(\)/true/
decision-age|$src/timing.rs|s/(MAX_DECISION_AGE: Millis = Millis\()1_000/\1100_000/
holder-quarantine|$src/timing.rs|s/(HOLDER_QUARANTINE: Millis = Millis\()33_000/\10/
lingering|$core/calls.rs|s/let ends_by = sent_at \+ max_duration \+ ORPHAN_MARGIN;/let ends_by = sent_at; let _unused = (max_duration, ORPHAN_MARGIN);/
ceiling-before-write|$src/local_allocation.rs|s/self.lowering = Some\(allocation\);//
drain-confirmation|$core/fleet.rs|s/if !unconfirmed.is_empty\(\)\$/if unconfirmed.len() > 99/
frozen-when-lowered|$core/limits.rs|s/let is_blocked = .*/let is_blocked = is_lowered \&\& false;/
task-fence|$src/timing.rs|s/(TASK_FENCE_TIMEOUT: Millis = Millis\()13_000/\13_000/
withdrawn-change|$core/control.rs|s/self.config.withdraw\(.*/Withdrawal::NotWritten/
older-configuration|$src/document.rs|s/if revision > self.revision \|\| !self.is_loaded \{/if true {/
budget|$src/mutate/fleet.rs|s/if \(available.count\(\) as u32\) < budget.min_available/if (available.count() as u32) < budget.min_available \&\& false/
withdrawn-keys-leave-queues|$core/calls.rs|s/unauthorised: Vec<CallKey> =/unauthorised: Vec<CallKey> = Vec::new(); let _unused: Vec<CallKey> =/
data-centre-out|$core/limits.rs|s/\&\& !self.is_out_of_service\(.*//
LIST
}

run_one() { # name, file, expression
  rm -rf "$copy/tree"
  mkdir -p "$copy/tree"
  git ls-files -z --cached --others --exclude-standard | xargs -0 cp --parents -t "$copy/tree"
  sed -i -E "$3" "$copy/tree/$2"
  if cmp -s "$2" "$copy/tree/$2"; then echo "$1: the expression changed nothing"; return; fi
  local out
  out=$(cd "$copy/tree" && TRIALS=$seeds SEED=1 SHRINK=0 FIRST=1 timeout 400 cargo test --release -q -p coordination --test promises what -- --nocapture 2>&1)
  local seen
  seen=$(grep -E "^seed [0-9]+: |panicked at crates" <<<"$out" | head -n 1 | sed -E 's/Test failed: //; s/\.$//')
  if grep -q "^error" <<<"$out" && [ -z "$seen" ]; then seen="does not build: $(grep -m 1 '^error' <<<"$out")"; fi
  echo "$1: ${seen:-not seen in $seeds seeds}"
}

mechanisms | while IFS='|' read -r name file expression; do
  if [ $# = 0 ] || grep -qw -- "$name" <<<"$*"; then run_one "$name" "$file" "$expression"; fi
done
