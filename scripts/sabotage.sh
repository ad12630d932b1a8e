#!/usr/bin/env bash
# Shows that the randomised runs fail without each mechanism: copies the source,
# takes one mechanism out, and runs SEEDS trials from seed 1 until one fails.
#   scripts/sabotage.sh [NAME...]      SEEDS=100
# Prints one line for each: the mechanism, the first seed that failed, and what
# was seen; or "not seen". It changes nothing in the checkout.
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
claims|$core/claims.rs|s/ClaimResult::Other\(other\) => .*/ClaimResult::Other(_) => self.enqueue(key, false),/
no-retry-after-send|$core/calls.rs|s/let is_safe = not_sent \|\| call.idempotent;/let is_safe = true;/
true-not-run|$core/calls.rs|s/if !self.calls\[key\].was_never_sent\(\) \{/if false {/
freshness|$core/mod.rs|s/if self.now\(\) >= self.contacts.fresh_until.*/if false {/
newest-configuration|$core/mod.rs|s/if newest.is_some_and\(.*/if false {/
fence-wait|$src/contact.rs|s/now - at >= FENCE_WAIT/now - at >= state::Millis(0) \&\& FENCE_WAIT.0 > 0/
majority|$src/contact.rs|s/\(members.members.len\(\) - silent.len\(\)\) \* 2 > members.members.len\(\)/true/
decision-age|$src/timing.rs|s/(DECISION_AGE: Millis = Millis\()1_000/\1100_000/
holder-quarantine|$src/timing.rs|s/(HOLDER_QUARANTINE: Millis = Millis\()33_000/\10/
lingering|$core/calls.rs|s/let until = sent \+ longest \+ LINGER_MARGIN;/let until = sent; let _unused = (longest, LINGER_MARGIN);/
ceiling-before-write|$src/allotment.rs|s/self.lowering = Some\(part\);//
drain-confirmation|$core/fleet.rs|s/!waiting.is_empty\(\) \|\| lost \|\|/lost \|\| waiting.len() > 99 ||/
frozen-when-lowered|$core/limits.rs|s/let frozen = .*/let frozen = lowered \&\& false;/
task-fence|$src/timing.rs|s/(TASK_FENCE: Millis = Millis\()13_000/\13_000/
withdrawn-change|$core/control.rs|s/self.config.withdraw\(.*/Withdrawal::NotWritten/
older-configuration|$src/document.rs|s/if revision > self.revision \|\| !self.known \{/if true {/
budget|$src/mutate/fleet.rs|s/if \(available.count\(\) as u32\) < budget.min_available/if (available.count() as u32) < budget.min_available \&\& false/
withdrawn-keys-leave-queues|$core/calls.rs|s/gone: Vec<CallKey> =/gone: Vec<CallKey> = Vec::new(); let _unused: Vec<CallKey> =/
data-centre-out|$core/limits.rs|s/\&\& !self.is_out\(.*//
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
