//! The list of VMs, and upkeep, in memory.

use std::collections::BTreeMap;

use fleet::io::{CloudAnswer, CloudCall};
use fleet::model::{VmPhase, VmReport};
use state::{MinionId, PoolId, VmId};

/// A VM.
#[derive(Debug, Clone)]
pub struct FakeVm {
    pub pool: PoolId,
    pub minion: Option<MinionId>,
    /// Until when it is down, and whether for upkeep.
    pub down: Option<(u64, VmPhase)>,
    last_order: Option<(usize, u64, u64)>,
}

impl FakeVm {
    pub fn new(pool: PoolId, minion: Option<MinionId>) -> Self {
        Self { pool, minion, down: None, last_order: None }
    }
}

#[derive(Debug, Default)]
pub struct FakeCloud {
    pub vms: BTreeMap<VmId, FakeVm>,
    pub moves: u64,
    pub waves: BTreeMap<u64, Vec<VmId>>,
    done: BTreeMap<(u64, VmId), u64>,
}

/// How long a VM is down for its upkeep or a move, in milliseconds.
const DOWN_MS: u64 = 2_000;
/// For so long orders for one VM must have one holder.
const HOLDER_MS: u64 = 3_000;

/// What an order did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CloudFact {
    Nothing,
    UpkeepBegan {
        minion: Option<MinionId>,
        wave: u64,
    },
    MoveBegan {
        minion: Option<MinionId>,
    },
    /// Two holders, or a token that went down.
    Broken(String),
}

impl FakeCloud {
    /// VMs of a wave that are down for it.
    pub fn down_of(&self, wave: u64) -> usize {
        let vms = self.waves.get(&wave).map(Vec::as_slice).unwrap_or_default();
        let is_down = |vm: &&VmId| {
            let down = self.vms.get(vm).and_then(|known| known.down);
            down.is_some_and(|(_, phase)| phase == VmPhase::Maintenance)
        };
        vms.iter().filter(is_down).count()
    }

    pub fn has_begun(&self, wave: u64, vm: &VmId) -> bool {
        self.done.contains_key(&(wave, vm.clone()))
    }

    /// VMs that are back.
    pub fn advance(&mut self, now: u64) -> Vec<VmId> {
        let mut back = Vec::new();
        for (name, vm) in &mut self.vms {
            if vm.down.is_some_and(|(until, _)| now >= until) {
                vm.down = None;
                back.push(name.clone());
            }
        }
        back
    }

    pub fn call(&mut self, now: u64, holder: usize, call: &CloudCall) -> (CloudAnswer, CloudFact) {
        match call {
            CloudCall::List => {
                let rows = self.vms.iter().map(|(name, vm)| VmReport {
                    vm: name.clone(),
                    pool: vm.pool.clone(),
                    phase: vm.down.map_or(VmPhase::Up, |(_, phase)| phase),
                    minion: vm.minion.clone(),
                });
                (CloudAnswer::Listed(rows.collect()), CloudFact::Nothing)
            }
            CloudCall::Maintenance { vm, wave, fencing_token: token } => {
                self.order(now, holder, *token, vm, Some(*wave), None)
            }
            CloudCall::Move { vm, pool, fencing_token: token } => {
                self.order(now, holder, *token, vm, None, Some(pool))
            }
        }
    }

    fn order(
        &mut self,
        now: u64,
        holder: usize,
        token: u64,
        name: &VmId,
        wave: Option<u64>,
        pool: Option<&PoolId>,
    ) -> (CloudAnswer, CloudFact) {
        let is_done = wave.is_some_and(|wave| self.has_begun(wave, name));
        let Some(vm) = self.vms.get_mut(name) else {
            return (CloudAnswer::Refused("no such VM".into()), CloudFact::Nothing);
        };
        if let Some((last, last_token, at)) = vm.last_order {
            let is_broken = token < last_token
                || (last != holder && (token == last_token || now < at + HOLDER_MS));
            if is_broken {
                let what = format!(
                    "{name}: edge-{holder} token {token} at {now} after edge-{last} token {last_token} at {at}"
                );
                return (CloudAnswer::Busy, CloudFact::Broken(what));
            }
        }
        vm.last_order = Some((holder, token, now));
        if is_done || pool.is_some_and(|pool| vm.pool == *pool) {
            return (CloudAnswer::Done, CloudFact::Nothing);
        }
        if vm.down.is_some() {
            return (CloudAnswer::Busy, CloudFact::Nothing);
        }
        let minion = vm.minion.take();
        if let Some(pool) = pool {
            vm.pool = pool.clone();
            vm.down = Some((now + DOWN_MS, VmPhase::Moving));
            self.moves += 1;
            return (CloudAnswer::Done, CloudFact::MoveBegan { minion });
        }
        vm.down = Some((now + DOWN_MS, VmPhase::Maintenance));
        let wave = wave.unwrap_or_default();
        self.done.insert((wave, name.clone()), now);
        (CloudAnswer::Done, CloudFact::UpkeepBegan { minion, wave })
    }
}
