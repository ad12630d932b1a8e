//! The list of VMs, and upkeep, in memory.

use std::collections::BTreeMap;

use fleet::io::{CloudAnswer, CloudCall};
use fleet::model::{VmPhase, VmReport};
use state::{MinionId, PoolId, VmId};

#[derive(Debug, Default)]
pub struct FakeCloud {
    pub vms: BTreeMap<VmId, (PoolId, MinionId, Option<u64>)>,
    pub waves: BTreeMap<u64, Vec<VmId>>,
    done: BTreeMap<(u64, VmId), u64>,
}

/// How long a VM is down for its upkeep, in milliseconds.
pub const UPKEEP_MS: u64 = 2_000;

/// What an order did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CloudFact {
    Nothing,
    UpkeepBegan { vm: VmId, minion: MinionId, wave: u64 },
}

impl FakeCloud {
    /// VMs of a wave that are down for it.
    pub fn down_of(&self, wave: u64) -> usize {
        let vms = self.waves.get(&wave).map(Vec::as_slice).unwrap_or_default();
        vms.iter().filter(|vm| self.vms.get(vm).is_some_and(|known| known.2.is_some())).count()
    }

    pub fn has_begun(&self, wave: u64, vm: &VmId) -> bool {
        self.done.contains_key(&(wave, vm.clone()))
    }

    /// Minions whose VM is back.
    pub fn advance(&mut self, now: u64) -> Vec<MinionId> {
        let mut back = Vec::new();
        for (_, minion, down_until) in self.vms.values_mut() {
            if down_until.is_some_and(|until| now >= until) {
                *down_until = None;
                back.push(minion.clone());
            }
        }
        back
    }

    pub fn call(&mut self, now: u64, call: &CloudCall) -> (CloudAnswer, CloudFact) {
        match call {
            CloudCall::List => {
                let rows = self.vms.iter().map(|(vm, (pool, minion, down))| VmReport {
                    vm: vm.clone(),
                    pool: pool.clone(),
                    phase: if down.is_some() { VmPhase::Upkeep } else { VmPhase::Up },
                    minion: Some(minion.clone()),
                });
                (CloudAnswer::Listed(rows.collect()), CloudFact::Nothing)
            }
            CloudCall::Upkeep { vm, wave, .. } => self.upkeep(now, vm, *wave),
            CloudCall::Move { .. } => (CloudAnswer::Busy, CloudFact::Nothing),
        }
    }

    fn upkeep(&mut self, now: u64, vm: &VmId, wave: u64) -> (CloudAnswer, CloudFact) {
        if self.has_begun(wave, vm) {
            return (CloudAnswer::Done, CloudFact::Nothing);
        }
        let Some((_, minion, down_until)) = self.vms.get_mut(vm) else {
            return (CloudAnswer::Refused("no such VM".into()), CloudFact::Nothing);
        };
        if down_until.is_some() {
            return (CloudAnswer::Busy, CloudFact::Nothing);
        }
        *down_until = Some(now + UPKEEP_MS);
        let fact = CloudFact::UpkeepBegan { vm: vm.clone(), minion: minion.clone(), wave };
        self.done.insert((wave, vm.clone()), now);
        (CloudAnswer::Done, fact)
    }
}
