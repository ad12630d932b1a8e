//! The simulated fleet, and the actions and faults that a scenario applies to the
//! fleet.
//!
//! Minions, workers, teams, pools and data centres are named by number. A failing
//! scenario is printed in its `Debug` form, as a list of steps.

use std::collections::{BTreeMap, BTreeSet};

use coordination::{ControlRequest, Event, VmAction};
use proptest::prelude::*;
use state::{
    ConfigDoc, ConfigEdit, Cores, DaemonId, DataCentreId, JobId, KeyRecord, KeyText, Mebibytes,
    Millis, PlanGrant, PlanId, PoolId, PoolPolicy, Preference, Priority, SlotCount, TeamId,
    TeamPlan, VmId, VmListing, VmPresence, VmRole,
};

use super::{ScheduledEvent, Simulation};

pub const DAEMON_COUNT: usize = 5;
pub const DATA_CENTRE_COUNT: usize = 3;
pub const SLOTS_PER_MINION: u32 = 3;
pub const CORES_PER_WORKER: u32 = 8;
/// Deadline of a request in every pool.
pub const DEADLINE_MS: u64 = 4_000;
/// Time for which a run continues after the scenario, so that pending work settles.
pub const SETTLING_TIME_MS: u64 = 20_000;

const MINION_COUNT: usize = 6;
const WORKER_COUNT: usize = 3;
/// Minimum number of available VMs in every pool.
const MIN_AVAILABLE: u32 = 1;

/// An action of an operator, or a fault. The variant names are printed as counters. Hosts (`vm`)
/// are numbered with the minions first and the workers after them.
#[derive(Debug, Clone)]
pub enum ScenarioAction {
    /// An operator sets the limit of a team.
    Limit { team: usize, limit: u32 },
    /// An operator withdraws the key of a team.
    WithdrawKey { team: usize },
    /// An operator gives a team its key again.
    GiveKey { team: usize },
    /// An operator takes a data centre out of use.
    CentreOut { data_centre: usize },
    /// An operator brings a data centre back into use.
    CentreBack { data_centre: usize },
    /// An operator requests a graceful reboot of a host.
    Reboot { vm: usize },
    /// An operator moves a minion to another service pool.
    Move { vm: usize, pool: usize },
    /// An operator drains a host.
    Drain { vm: usize },
    /// An operator returns a drained host to service.
    Return { vm: usize },
    /// A daemon crashes and restarts after a delay.
    Crash { daemon: usize, restart_delay_ms: u64 },
    /// A daemon is requested to stop gracefully; no restart is scheduled.
    Stop { daemon: usize },
    /// A daemon's process is suspended.
    Freeze { daemon: usize, duration_ms: u64 },
    /// A daemon loses its connection to the platform.
    CutPlatform { daemon: usize, duration_ms: u64 },
    /// Frames from one daemon to another are lost.
    CutLink { from: usize, to: usize, duration_ms: u64 },
    /// A daemon reaches neither the platform nor any other daemon, and receives no frames.
    Isolate { daemon: usize, duration_ms: u64 },
    /// The daemons in the bit mask reach neither the platform nor the other daemons, but still
    /// reach each other.
    Part { daemon_mask: usize, duration_ms: u64 },
    /// Every call to the platform fails.
    PlatformDown { duration_ms: u64 },
    /// The platform answers with random delays.
    PlatformSlow { duration_ms: u64 },
    /// The platform loses some answers.
    PlatformLossy { duration_ms: u64 },
    /// A minion or a worker goes down without warning.
    HostDown { vm: usize, duration_ms: u64 },
    /// Every task on a worker fails immediately.
    WorkerFails { worker: usize, duration_ms: u64 },
    /// All minions, workers and daemons of a data centre go down.
    CentreLost { data_centre: usize, duration_ms: u64 },
}

impl ScenarioAction {
    /// Returns the name of the variant.
    pub fn kind_name(&self) -> String {
        let debug_text = format!("{self:?}");
        debug_text.split([' ', '{']).next().unwrap_or("").to_owned()
    }
}

/// An action and the virtual time at which the action takes place.
#[derive(Debug, Clone)]
pub struct ScenarioStep {
    pub at_ms: u64,
    pub action: ScenarioAction,
}

/// The steps of one run, ordered by time. Steps end at `duration_ms`; the run then settles for
/// [`SETTLING_TIME_MS`].
#[derive(Debug, Clone)]
pub struct Scenario {
    pub duration_ms: u64,
    pub steps: Vec<ScenarioStep>,
}

fn parse_id<T: std::str::FromStr>(text: String) -> T {
    text.parse().ok().expect("the id is valid")
}

pub fn daemon_id(number: usize) -> DaemonId {
    parse_id(format!("entry-{number}"))
}

pub fn entry_vm_id(number: usize) -> VmId {
    parse_id(format!("vm-entry-{number}"))
}

pub fn data_centre_id(number: usize) -> DataCentreId {
    parse_id(format!("dc-{}", number % DATA_CENTRE_COUNT))
}

pub fn team_ids() -> Vec<TeamId> {
    (0..3).map(team_id).collect()
}

pub fn team_id(number: usize) -> TeamId {
    parse_id(format!("team-{number}"))
}

pub fn service_pool_ids() -> Vec<PoolId> {
    (0..2).map(pool_id).collect()
}

fn pool_id(number: usize) -> PoolId {
    parse_id(format!("pool-{number}"))
}

pub fn job_pool_id() -> PoolId {
    parse_id("jobs".to_owned())
}

pub fn team_of_job(job: &JobId) -> TeamId {
    parse_id(job.as_str().split('.').next().unwrap_or("").to_owned())
}

/// Returns the secret key of a team, whose bytes are derived from the team's last digit.
pub fn key_of(team: &TeamId) -> KeyText {
    let number = team.as_str().as_bytes()[team.as_str().len() - 1];
    KeyText::new(parse_id(format!("key-{team}")), [number; 32])
}

fn minion_id(number: usize) -> VmId {
    parse_id(format!("minion-{number}"))
}

fn worker_id(number: usize) -> VmId {
    parse_id(format!("worker-{number}"))
}

/// Returns the VM of a host number: minions come first, then workers.
fn host_id(number: usize) -> VmId {
    if number < MINION_COUNT { minion_id(number) } else { worker_id(number - MINION_COUNT) }
}

/// Returns the VMs of the fleet at the start: three minions for each service pool, all workers
/// in the job pool, and one entry VM for each daemon.
pub fn vm_listings() -> Vec<VmListing> {
    let listing = |vm: VmId, number: usize, role, pool: PoolId| VmListing {
        address: vm.as_str().into(),
        vm,
        role,
        pool,
        data_centre: data_centre_id(number),
        rack: parse_id(format!("rack-{number}")),
        slots: SlotCount(SLOTS_PER_MINION),
        cores: Cores(CORES_PER_WORKER),
        memory: Mebibytes(1_000),
        accelerators: 0,
        boot: 1,
        presence: VmPresence::Live,
    };
    let entries = (0..DAEMON_COUNT)
        .map(|index| listing(entry_vm_id(index), index, VmRole::Entry, parse_id("entry".into())));
    let minions = (0..MINION_COUNT)
        .map(|index| listing(minion_id(index), index, VmRole::Minion, pool_id(index / 3)));
    let workers = (0..WORKER_COUNT)
        .map(|index| listing(worker_id(index), index, VmRole::Worker, job_pool_id()));
    entries.chain(minions).chain(workers).collect()
}

/// Returns the configuration at the start, in which every team may use every pool.
pub fn initial_config() -> ConfigDoc {
    let plan: PlanId = parse_id("plan".to_owned());
    let team_plan = |limit| TeamPlan { plan: plan.clone(), share: 1, limit };
    let pools: BTreeSet<PoolId> = service_pool_ids().into_iter().chain([job_pool_id()]).collect();
    let policy =
        PoolPolicy { open: false, min_available: MIN_AVAILABLE, deadline: Millis(DEADLINE_MS) };
    let key_entry = |team: TeamId| {
        let text = key_of(&team);
        (text.id().clone(), KeyRecord::from_key_text(&text, team, "salt"))
    };
    ConfigDoc {
        teams: team_ids().into_iter().map(|team| (team, team_plan(INITIAL_TEAM_LIMIT))).collect(),
        plans: [(plan.clone(), PlanGrant { pools: pools.clone(), priority: Priority::Normal })]
            .into(),
        pools: pools.into_iter().map(|pool| (pool, policy.clone())).collect(),
        keys: team_ids().into_iter().map(key_entry).collect(),
        out_data_centres: BTreeSet::new(),
        out_pools: BTreeSet::new(),
        preference: Preference::Share,
        changes: Vec::new(),
    }
}

/// Limit of every team at the start.
pub const INITIAL_TEAM_LIMIT: u32 = 5;

/// Generates scenarios of 3 to `max_steps - 1` steps with random actions, from 2.5 s on.
pub fn scenario_strategy(duration_ms: u64, max_steps: usize) -> impl Strategy<Value = Scenario> {
    let step = (2_500..duration_ms, action_strategy())
        .prop_map(|(at_ms, action)| ScenarioStep { at_ms, action });
    proptest::collection::vec(step, 3..max_steps).prop_map(move |mut steps| {
        steps.sort_by_key(|step| step.at_ms);
        Scenario { duration_ms, steps }
    })
}

/// Generates random actions; the number before each strategy is its weight.
fn action_strategy() -> impl Strategy<Value = ScenarioAction> {
    let daemon = 0..DAEMON_COUNT;
    let short_duration = || 50..2_500u64;
    let any_duration = || prop_oneof![50..2_500u64, 2_000..25_000u64];
    prop_oneof![
        3 => (0..3usize, 0..8u32).prop_map(|(team, limit)| ScenarioAction::Limit { team, limit }),
        1 => (0..3usize).prop_map(|team| ScenarioAction::WithdrawKey { team }),
        2 => (0..3usize).prop_map(|team| ScenarioAction::GiveKey { team }),
        2 => (0..DATA_CENTRE_COUNT)
            .prop_map(|data_centre| ScenarioAction::CentreOut { data_centre }),
        2 => (0..DATA_CENTRE_COUNT)
            .prop_map(|data_centre| ScenarioAction::CentreBack { data_centre }),
        3 => (0..MINION_COUNT + WORKER_COUNT).prop_map(|vm| ScenarioAction::Reboot { vm }),
        1 => (0..MINION_COUNT, 0..2usize).prop_map(|(vm, pool)| ScenarioAction::Move { vm, pool }),
        1 => (0..MINION_COUNT + WORKER_COUNT).prop_map(|vm| ScenarioAction::Drain { vm }),
        1 => (0..MINION_COUNT + WORKER_COUNT).prop_map(|vm| ScenarioAction::Return { vm }),
        2 => (daemon.clone(), any_duration())
            .prop_map(|(daemon, restart_delay_ms)|
                ScenarioAction::Crash { daemon, restart_delay_ms }),
        1 => daemon.clone().prop_map(|daemon| ScenarioAction::Stop { daemon }),
        3 => (daemon.clone(), any_duration())
            .prop_map(|(daemon, duration_ms)| ScenarioAction::Freeze { daemon, duration_ms }),
        2 => (daemon.clone(), any_duration())
            .prop_map(|(daemon, duration_ms)| ScenarioAction::CutPlatform { daemon, duration_ms }),
        3 => (daemon.clone(), daemon.clone(), any_duration())
            .prop_map(|(from, to, duration_ms)| ScenarioAction::CutLink { from, to, duration_ms }),
        2 => (daemon, any_duration())
            .prop_map(|(daemon, duration_ms)| ScenarioAction::Isolate { daemon, duration_ms }),
        2 => (1..1usize << DAEMON_COUNT, any_duration())
            .prop_map(|(daemon_mask, duration_ms)|
                ScenarioAction::Part { daemon_mask, duration_ms }),
        2 => any_duration().prop_map(|duration_ms| ScenarioAction::PlatformDown { duration_ms }),
        1 => short_duration().prop_map(|duration_ms| ScenarioAction::PlatformSlow { duration_ms }),
        2 => any_duration().prop_map(|duration_ms| ScenarioAction::PlatformLossy { duration_ms }),
        2 => (0..MINION_COUNT + WORKER_COUNT, any_duration())
            .prop_map(|(vm, duration_ms)| ScenarioAction::HostDown { vm, duration_ms }),
        1 => (0..WORKER_COUNT, any_duration())
            .prop_map(|(worker, duration_ms)| ScenarioAction::WorkerFails { worker, duration_ms }),
        1 => (0..DATA_CENTRE_COUNT, any_duration())
            .prop_map(|(data_centre, duration_ms)|
                ScenarioAction::CentreLost { data_centre, duration_ms }),
    ]
}

impl Simulation {
    /// Applies an action and counts the action by its name.
    pub fn apply_action(&mut self, action: &ScenarioAction) {
        if self.is_tracing {
            eprintln!("{:>7} == {action:?}", self.now);
        }
        self.checker.increment_counter(&action.kind_name());
        let until = |duration_ms: u64| self.now + duration_ms;
        match *action {
            ScenarioAction::Limit { team: number, limit } => {
                self.change_team_limit(team_id(number), limit)
            }
            ScenarioAction::WithdrawKey { team: number } => {
                let key = key_of(&team_id(number)).id().clone();
                self.send_change(ConfigEdit::WithdrawKey { key });
            }
            ScenarioAction::GiveKey { team: number } => {
                let text = key_of(&team_id(number));
                let record = KeyRecord::from_key_text(&text, team_id(number), "salt");
                self.send_change(ConfigEdit::GiveKey { key: text.id().clone(), record });
            }
            ScenarioAction::CentreOut { data_centre } => {
                self.set_data_centre_out(data_centre, true)
            }
            ScenarioAction::CentreBack { data_centre } => {
                self.set_data_centre_out(data_centre, false)
            }
            ScenarioAction::Reboot { vm } => self.request_vm_action(vm, VmAction::Reboot),
            ScenarioAction::Move { vm, pool: to } => {
                self.request_vm_action(vm, VmAction::Move { to: pool_id(to) })
            }
            ScenarioAction::Drain { vm } => self.request_vm_action(vm, VmAction::Drain),
            ScenarioAction::Return { vm } => self.request_vm_action(vm, VmAction::Return),
            ScenarioAction::Crash { daemon, restart_delay_ms } => {
                self.crash_daemon(daemon, restart_delay_ms)
            }
            ScenarioAction::Stop { daemon } => {
                let incarnation = self.daemons[daemon].incarnation;
                self.schedule_after(
                    0,
                    ScheduledEvent::DaemonEvent {
                        to: daemon,
                        incarnation,
                        event: Box::new(Event::Stop),
                    },
                );
            }
            ScenarioAction::Freeze { daemon, duration_ms } => {
                self.daemons[daemon].suspended_until = until(duration_ms)
            }
            ScenarioAction::CutPlatform { daemon, duration_ms } => {
                self.daemons[daemon].platform_cut_until = until(duration_ms);
            }
            ScenarioAction::CutLink { from, to, duration_ms } => {
                let until = until(duration_ms);
                self.daemons[from].cut_links.insert(to, until);
            }
            ScenarioAction::Isolate { daemon, duration_ms } => {
                self.isolate_daemon(daemon, duration_ms)
            }
            ScenarioAction::Part { daemon_mask, duration_ms } => {
                self.partition_daemons(daemon_mask, duration_ms)
            }
            ScenarioAction::PlatformDown { duration_ms } => {
                self.platform.down_until = until(duration_ms)
            }
            ScenarioAction::PlatformSlow { duration_ms } => {
                self.platform.slow_until = until(duration_ms)
            }
            ScenarioAction::PlatformLossy { duration_ms } => {
                self.platform.lossy_until = until(duration_ms)
            }
            ScenarioAction::HostDown { vm, duration_ms } => {
                self.take_host_down(&host_id(vm), duration_ms)
            }
            ScenarioAction::WorkerFails { worker: number, duration_ms } => {
                let until = until(duration_ms);
                self.hosts.failing_until.insert(worker_id(number), until);
            }
            ScenarioAction::CentreLost { data_centre, duration_ms } => {
                self.fail_data_centre(data_centre, duration_ms)
            }
        }
    }

    /// Sends the current list of teams with one limit changed.
    fn change_team_limit(&mut self, team: TeamId, limit: u32) {
        let config: ConfigDoc = self.platform.read("shared/config");
        let mut teams: BTreeMap<TeamId, TeamPlan> = config.teams;
        if let Some(plan) = teams.get_mut(&team) {
            plan.limit = limit;
        }
        self.send_change(ConfigEdit::Teams { teams });
    }

    fn set_data_centre_out(&mut self, data_centre: usize, is_out: bool) {
        self.send_change(ConfigEdit::DataCentre {
            data_centre: data_centre_id(data_centre),
            out: is_out,
        });
    }

    /// Sends a configuration change as an operator. An edit that replaces a whole list names the
    /// last change that the operator has read, so that the daemon can detect a conflict.
    fn send_change(&mut self, edit: ConfigEdit) {
        let number = self.checker.next_control_number();
        let change = parse_id(format!("change-{number}"));
        self.checker.record_change_sent(self.now, number, &edit);
        let config: ConfigDoc = self.platform.read("shared/config");
        let expect = edit.replaces_list().then(|| config.changes.last().cloned()).flatten();
        let request = ControlRequest::Change { change, expect, edits: vec![edit] };
        self.send_control_request(coordination::ReplyToken(number), request, 0);
    }

    fn request_vm_action(&mut self, vm: usize, action: VmAction) {
        let number = self.checker.next_control_number();
        let request = ControlRequest::Vm { vm: host_id(vm), action };
        self.send_control_request(coordination::ReplyToken(number), request, 0);
    }

    /// Ends a daemon's process and schedules its restart.
    fn crash_daemon(&mut self, daemon: usize, restart_delay_ms: u64) {
        if self.daemons[daemon].core.is_none() {
            return;
        }
        self.daemons[daemon].core = None;
        let restart_ms = self.now + restart_delay_ms;
        self.schedule_at(restart_ms, ScheduledEvent::DaemonStart { daemon });
    }

    fn isolate_daemon(&mut self, daemon: usize, duration_ms: u64) {
        self.partition_daemons(1 << daemon, duration_ms);
    }

    /// Cuts the daemons in the bit mask off from the platform, and all links in both directions
    /// between these daemons and the others.
    fn partition_daemons(&mut self, daemon_mask: usize, duration_ms: u64) {
        let until = self.now + duration_ms;
        let is_in_mask = |daemon: usize| daemon_mask >> daemon & 1 == 1;
        for daemon in 0..DAEMON_COUNT {
            if is_in_mask(daemon) {
                self.daemons[daemon].platform_cut_until = until;
            }
            for other in (0..DAEMON_COUNT).filter(|other| is_in_mask(*other) != is_in_mask(daemon))
            {
                self.daemons[daemon].cut_links.insert(other, until);
            }
        }
    }

    /// Ends all work on a host and keeps the host down for `duration_ms`. A host that is down
    /// already stays as it is.
    fn take_host_down(&mut self, vm: &VmId, duration_ms: u64) {
        let is_already_down = self.hosts.down_until.get(vm).is_some_and(|until| *until > self.now);
        if is_already_down {
            return;
        }
        self.hosts.end_all_work(vm);
        if let Some(listing) = self.platform.vms.get_mut(vm) {
            listing.presence = VmPresence::Rebooting;
        }
        self.hosts.down_until.insert(vm.clone(), u64::MAX);
        self.schedule_after(duration_ms, ScheduledEvent::RebootEnd { vm: vm.clone() });
    }

    /// Takes all minions and workers of a data centre down and crashes its daemons.
    fn fail_data_centre(&mut self, data_centre: usize, duration_ms: u64) {
        let lost_vms: Vec<VmId> = vm_listings()
            .into_iter()
            .filter(|listing| listing.data_centre == data_centre_id(data_centre))
            .filter(|listing| listing.role != VmRole::Entry)
            .map(|listing| listing.vm)
            .collect();
        for vm in lost_vms {
            self.take_host_down(&vm, duration_ms);
        }
        for daemon in (0..DAEMON_COUNT).filter(|daemon| daemon % DATA_CENTRE_COUNT == data_centre) {
            self.crash_daemon(daemon, duration_ms);
        }
    }
}
