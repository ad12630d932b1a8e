//! The fleet of the randomised runs, and what is done to it. A scenario's text
//! form is its list of steps.

use std::collections::{BTreeMap, BTreeSet};

use coordination::{ControlRequest, Event, VmAction};
use proptest::prelude::*;
use state::{
    ConfigDoc, ConfigEdit, Cores, DaemonId, DataCentreId, JobId, KeyRecord, KeyText, Mebibytes,
    Millis, PlanGrant, PlanId, PoolId, PoolPolicy, Preference, Priority, SlotCount, TeamId,
    TeamPlan, VmId, VmListing, VmPresence, VmRole,
};

use super::{Happening, World};

pub const DAEMONS: usize = 5;
pub const CENTRES: usize = 3;
pub const SLOTS: u32 = 3;
pub const WORKER_CORES: u32 = 8;
pub const DEADLINE_MS: u64 = 4_000;
/// Time after the last step for all to come to rest.
pub const SETTLE: u64 = 20_000;

const MINIONS: usize = 6;
const WORKERS: usize = 3;
const MIN_AVAILABLE: u32 = 1;

/// What is done to the system.
#[derive(Debug, Clone)]
pub enum Action {
    Limit {
        team: usize,
        limit: u32,
    },
    WithdrawKey {
        team: usize,
    },
    GiveKey {
        team: usize,
    },
    CentreOut {
        centre: usize,
    },
    CentreBack {
        centre: usize,
    },
    Reboot {
        vm: usize,
    },
    Move {
        vm: usize,
        pool: usize,
    },
    Drain {
        vm: usize,
    },
    Return {
        vm: usize,
    },
    Crash {
        daemon: usize,
        back_after: u64,
    },
    Stop {
        daemon: usize,
    },
    Freeze {
        daemon: usize,
        span: u64,
    },
    CutPlatform {
        daemon: usize,
        span: u64,
    },
    CutLink {
        from: usize,
        to: usize,
        span: u64,
    },
    Isolate {
        daemon: usize,
        span: u64,
    },
    /// The daemons of a bit mask lose the platform and all others but each other.
    Part {
        mask: usize,
        span: u64,
    },
    PlatformDown {
        span: u64,
    },
    PlatformSlow {
        span: u64,
    },
    PlatformLossy {
        span: u64,
    },
    HostDown {
        vm: usize,
        span: u64,
    },
    WorkerFails {
        worker: usize,
        span: u64,
    },
    CentreLost {
        centre: usize,
        span: u64,
    },
}

impl Action {
    pub fn name(&self) -> String {
        let text = format!("{self:?}");
        text.split([' ', '{']).next().unwrap_or("").to_owned()
    }
}

#[derive(Debug, Clone)]
pub struct Step {
    pub at: u64,
    pub action: Action,
}

#[derive(Debug, Clone)]
pub struct Scenario {
    pub length: u64,
    pub steps: Vec<Step>,
}

fn id<T: std::str::FromStr>(text: String) -> T {
    text.parse().ok().expect("an id")
}

pub fn daemon_id(number: usize) -> DaemonId {
    id(format!("entry-{number}"))
}

pub fn entry_vm(number: usize) -> VmId {
    id(format!("vm-entry-{number}"))
}

pub fn data_centre(number: usize) -> DataCentreId {
    id(format!("dc-{}", number % CENTRES))
}

pub fn teams() -> Vec<TeamId> {
    (0..3).map(team).collect()
}

pub fn team(number: usize) -> TeamId {
    id(format!("team-{number}"))
}

pub fn service_pools() -> Vec<PoolId> {
    (0..2).map(pool).collect()
}

fn pool(number: usize) -> PoolId {
    id(format!("pool-{number}"))
}

pub fn job_pool() -> PoolId {
    id("jobs".to_owned())
}

pub fn team_of_job(job: &JobId) -> TeamId {
    id(job.as_str().split('.').next().unwrap_or("").to_owned())
}

pub fn key_of(team: &TeamId) -> KeyText {
    let number = team.as_str().as_bytes()[team.as_str().len() - 1];
    KeyText::new(id(format!("key-{team}")), [number; 32])
}

fn minion(number: usize) -> VmId {
    id(format!("minion-{number}"))
}

fn worker(number: usize) -> VmId {
    id(format!("worker-{number}"))
}

fn host(number: usize) -> VmId {
    if number < MINIONS { minion(number) } else { worker(number - MINIONS) }
}

pub fn vms() -> Vec<VmListing> {
    let listing = |vm: VmId, number: usize, role, pool: PoolId| VmListing {
        address: vm.as_str().into(),
        vm,
        role,
        pool,
        data_centre: data_centre(number),
        rack: id(format!("rack-{number}")),
        slots: SlotCount(SLOTS),
        cores: Cores(WORKER_CORES),
        memory: Mebibytes(1_000),
        accelerators: 0,
        boot: 1,
        presence: VmPresence::Live,
    };
    let entries = (0..DAEMONS).map(|n| listing(entry_vm(n), n, VmRole::Entry, id("entry".into())));
    let minions = (0..MINIONS).map(|n| listing(minion(n), n, VmRole::Minion, pool(n / 3)));
    let workers = (0..WORKERS).map(|n| listing(worker(n), n, VmRole::Worker, job_pool()));
    entries.chain(minions).chain(workers).collect()
}

pub fn config() -> ConfigDoc {
    let plan: PlanId = id("plan".to_owned());
    let row = |limit| TeamPlan { plan: plan.clone(), share: 1, limit };
    let pools: BTreeSet<PoolId> = service_pools().into_iter().chain([job_pool()]).collect();
    let policy =
        PoolPolicy { open: false, min_available: MIN_AVAILABLE, deadline: Millis(DEADLINE_MS) };
    let key = |team: TeamId| {
        let text = key_of(&team);
        (text.id().clone(), KeyRecord::from_key_text(&text, team, "salt"))
    };
    ConfigDoc {
        teams: teams().into_iter().map(|team| (team, row(FIRST_LIMIT))).collect(),
        plans: [(plan.clone(), PlanGrant { pools: pools.clone(), priority: Priority::Normal })]
            .into(),
        pools: pools.into_iter().map(|pool| (pool, policy.clone())).collect(),
        keys: teams().into_iter().map(key).collect(),
        out_data_centres: BTreeSet::new(),
        out_pools: BTreeSet::new(),
        preference: Preference::Share,
        changes: Vec::new(),
    }
}

/// Every team's limit at the start.
pub const FIRST_LIMIT: u32 = 5;

/// Steps of all kinds, at any time.
pub fn scenarios(length: u64, most_steps: usize) -> impl Strategy<Value = Scenario> {
    let step = (2_500..length, actions()).prop_map(|(at, action)| Step { at, action });
    proptest::collection::vec(step, 3..most_steps).prop_map(move |mut steps| {
        steps.sort_by_key(|step| step.at);
        Scenario { length, steps }
    })
}

fn actions() -> impl Strategy<Value = Action> {
    let daemon = 0..DAEMONS;
    let short = || 50..2_500u64;
    let span = || prop_oneof![50..2_500u64, 2_000..25_000u64];
    prop_oneof![
        3 => (0..3usize, 0..8u32).prop_map(|(team, limit)| Action::Limit { team, limit }),
        1 => (0..3usize).prop_map(|team| Action::WithdrawKey { team }),
        2 => (0..3usize).prop_map(|team| Action::GiveKey { team }),
        2 => (0..CENTRES).prop_map(|centre| Action::CentreOut { centre }),
        2 => (0..CENTRES).prop_map(|centre| Action::CentreBack { centre }),
        3 => (0..MINIONS + WORKERS).prop_map(|vm| Action::Reboot { vm }),
        1 => (0..MINIONS, 0..2usize).prop_map(|(vm, pool)| Action::Move { vm, pool }),
        1 => (0..MINIONS + WORKERS).prop_map(|vm| Action::Drain { vm }),
        1 => (0..MINIONS + WORKERS).prop_map(|vm| Action::Return { vm }),
        2 => (daemon.clone(), span()).prop_map(|(daemon, back_after)| Action::Crash { daemon, back_after }),
        1 => daemon.clone().prop_map(|daemon| Action::Stop { daemon }),
        3 => (daemon.clone(), span()).prop_map(|(daemon, span)| Action::Freeze { daemon, span }),
        2 => (daemon.clone(), span()).prop_map(|(daemon, span)| Action::CutPlatform { daemon, span }),
        3 => (daemon.clone(), daemon.clone(), span()).prop_map(|(from, to, span)| Action::CutLink { from, to, span }),
        2 => (daemon, span()).prop_map(|(daemon, span)| Action::Isolate { daemon, span }),
        2 => (1..1usize << DAEMONS, span()).prop_map(|(mask, span)| Action::Part { mask, span }),
        2 => span().prop_map(|span| Action::PlatformDown { span }),
        1 => short().prop_map(|span| Action::PlatformSlow { span }),
        2 => span().prop_map(|span| Action::PlatformLossy { span }),
        2 => (0..MINIONS + WORKERS, span()).prop_map(|(vm, span)| Action::HostDown { vm, span }),
        1 => (0..WORKERS, span()).prop_map(|(worker, span)| Action::WorkerFails { worker, span }),
        1 => (0..CENTRES, span()).prop_map(|(centre, span)| Action::CentreLost { centre, span }),
    ]
}

impl World {
    pub fn act(&mut self, action: &Action) {
        if self.verbose {
            eprintln!("{:>7} == {action:?}", self.now);
        }
        self.checker.count(&action.name());
        let until = |span: u64| self.now + span;
        match *action {
            Action::Limit { team: number, limit } => self.change_limit(team(number), limit),
            Action::WithdrawKey { team: number } => {
                let key = key_of(&team(number)).id().clone();
                self.change(ConfigEdit::WithdrawKey { key });
            }
            Action::GiveKey { team: number } => {
                let text = key_of(&team(number));
                let record = KeyRecord::from_key_text(&text, team(number), "salt");
                self.change(ConfigEdit::GiveKey { key: text.id().clone(), record });
            }
            Action::CentreOut { centre } => self.take_centre(centre, true),
            Action::CentreBack { centre } => self.take_centre(centre, false),
            Action::Reboot { vm } => self.vm_action(vm, VmAction::Reboot),
            Action::Move { vm, pool: to } => self.vm_action(vm, VmAction::Move { to: pool(to) }),
            Action::Drain { vm } => self.vm_action(vm, VmAction::Drain),
            Action::Return { vm } => self.vm_action(vm, VmAction::Return),
            Action::Crash { daemon, back_after } => self.crash(daemon, back_after),
            Action::Stop { daemon } => {
                let run = self.daemons[daemon].run;
                self.after(0, Happening::Event { to: daemon, run, event: Box::new(Event::Stop) });
            }
            Action::Freeze { daemon, span } => self.daemons[daemon].frozen_until = until(span),
            Action::CutPlatform { daemon, span } => {
                self.daemons[daemon].platform_cut_until = until(span);
            }
            Action::CutLink { from, to, span } => {
                let until = until(span);
                self.daemons[from].cut.insert(to, until);
            }
            Action::Isolate { daemon, span } => self.isolate(daemon, span),
            Action::Part { mask, span } => self.part(mask, span),
            Action::PlatformDown { span } => self.store.down_until = until(span),
            Action::PlatformSlow { span } => self.store.slow_until = until(span),
            Action::PlatformLossy { span } => self.store.lossy_until = until(span),
            Action::HostDown { vm, span } => self.host_down(&host(vm), span),
            Action::WorkerFails { worker: number, span } => {
                let until = until(span);
                self.hosts.failing_until.insert(worker(number), until);
            }
            Action::CentreLost { centre, span } => self.lose_centre(centre, span),
        }
    }

    fn change_limit(&mut self, team: TeamId, limit: u32) {
        let config: ConfigDoc = self.store.read("shared/config");
        let mut teams: BTreeMap<TeamId, TeamPlan> = config.teams;
        if let Some(row) = teams.get_mut(&team) {
            row.limit = limit;
        }
        self.change(ConfigEdit::Teams { teams });
    }

    fn take_centre(&mut self, centre: usize, out: bool) {
        self.change(ConfigEdit::DataCentre { data_centre: data_centre(centre), out });
    }

    fn change(&mut self, edit: ConfigEdit) {
        let number = self.checker.next_control();
        let change = id(format!("change-{number}"));
        self.checker.change_sent(self.now, number, &edit);
        let seen: ConfigDoc = self.store.read("shared/config");
        let expect = edit.replaces_list().then(|| seen.changes.last().cloned()).flatten();
        let request = ControlRequest::Change { change, expect, edits: vec![edit] };
        self.send_control(coordination::ReplyToken(number), request, 0);
    }

    fn vm_action(&mut self, vm: usize, action: VmAction) {
        let number = self.checker.next_control();
        let request = ControlRequest::Vm { vm: host(vm), action };
        self.send_control(coordination::ReplyToken(number), request, 0);
    }

    fn crash(&mut self, daemon: usize, back_after: u64) {
        if self.daemons[daemon].core.is_none() {
            return;
        }
        self.daemons[daemon].core = None;
        let at = self.now + back_after;
        self.at(at, Happening::Start { daemon });
    }

    fn isolate(&mut self, daemon: usize, span: u64) {
        self.part(1 << daemon, span);
    }

    /// Parts some daemons from the platform and from the other daemons.
    fn part(&mut self, mask: usize, span: u64) {
        let until = self.now + span;
        let is_inside = |daemon: usize| mask >> daemon & 1 == 1;
        for daemon in 0..DAEMONS {
            if is_inside(daemon) {
                self.daemons[daemon].platform_cut_until = until;
            }
            for other in (0..DAEMONS).filter(|other| is_inside(*other) != is_inside(daemon)) {
                self.daemons[daemon].cut.insert(other, until);
            }
        }
    }

    fn host_down(&mut self, vm: &VmId, span: u64) {
        let already = self.hosts.down_until.get(vm).is_some_and(|until| *until > self.now);
        if already {
            return;
        }
        self.hosts.lose(vm);
        if let Some(listing) = self.store.vms.get_mut(vm) {
            listing.presence = VmPresence::Rebooting;
        }
        self.hosts.down_until.insert(vm.clone(), u64::MAX);
        self.after(span, Happening::RebootEnds { vm: vm.clone() });
    }

    fn lose_centre(&mut self, centre: usize, span: u64) {
        let lost: Vec<VmId> = vms()
            .into_iter()
            .filter(|listing| listing.data_centre == data_centre(centre))
            .filter(|listing| listing.role != VmRole::Entry)
            .map(|listing| listing.vm)
            .collect();
        for vm in lost {
            self.host_down(&vm, span);
        }
        for daemon in (0..DAEMONS).filter(|daemon| daemon % CENTRES == centre) {
            self.crash(daemon, span);
        }
    }
}
