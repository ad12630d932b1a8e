//! Verifier of the invariants of the stored documents, independent of the code that changes the
//! documents.
//!
//! Each function returns all violations in one document, and compares the document with its
//! previous version where an invariant concerns a change. Daemons verify the configuration, the
//! members, and the team and slot documents before they write them, and also verify each newer
//! configuration that they adopt and each members document that the watch returns. Only the tests
//! of the `coordination` crate call [`check_fleet`], and claims have no check; tests verify the
//! documents after each step.

use std::fmt;

use crate::{
    AllocationTable, ConfigDoc, FleetDoc, KeyId, MemberDoc, PlanId, PoolId, SlotDoc, TeamDoc,
    TeamId, VmState,
};

/// Violated invariant, described by a text that names the affected entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation(pub Box<str>);

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Violated invariant of the configuration, with the affected entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigFault {
    /// The team has a plan that the second list does not have.
    UnknownPlan {
        /// Team with the plan.
        team: TeamId,
        /// Plan that is missing.
        plan: PlanId,
    },
    /// The team has share 0.
    NoShare {
        /// Team without a share.
        team: TeamId,
    },
    /// The plan may use a pool that the second list does not have.
    UnknownPool {
        /// Plan that names the pool.
        plan: PlanId,
        /// Pool that is missing.
        pool: PoolId,
    },
    /// The key authenticates a team that the first list does not have.
    UnknownTeam {
        /// Public part of the key.
        key: KeyId,
        /// Team that is missing.
        team: TeamId,
    },
}

impl fmt::Display for ConfigFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownPlan { team, plan } => {
                write!(f, "team {team} holds plan {plan}, which the second list does not have")
            }
            Self::NoShare { team } => write!(f, "team {team} has share 0; the least is 1"),
            Self::UnknownPool { plan, pool } => {
                write!(f, "plan {plan} may use pool {pool}, which the second list does not have")
            }
            Self::UnknownTeam { key, team } => {
                write!(f, "key {key} speaks for team {team}, which the first list does not have")
            }
        }
    }
}

/// Verifies that teams, plans and keys refer only to existing plans, pools and teams, and that each
/// share is at least 1.
pub fn check_config(doc: &ConfigDoc) -> Vec<Violation> {
    let to_violation = |fault: &ConfigFault| Violation(fault.to_string().into());
    find_config_faults(doc).iter().map(to_violation).collect()
}

/// Returns what [`check_config`] reports, with the affected entries.
pub fn find_config_faults(doc: &ConfigDoc) -> Vec<ConfigFault> {
    let mut faults = Vec::new();
    for (team, row) in &doc.teams {
        if !doc.plans.contains_key(&row.plan) {
            faults.push(ConfigFault::UnknownPlan { team: team.clone(), plan: row.plan.clone() });
        }
        if row.share == 0 {
            faults.push(ConfigFault::NoShare { team: team.clone() });
        }
    }
    for (plan, grant) in &doc.plans {
        for pool in grant.pools.iter().filter(|pool| !doc.pools.contains_key(*pool)) {
            faults.push(ConfigFault::UnknownPool { plan: plan.clone(), pool: pool.clone() });
        }
    }
    for (key, record) in &doc.keys {
        if !doc.teams.contains_key(&record.team) {
            let (key, team) = (key.clone(), record.team.clone());
            faults.push(ConfigFault::UnknownTeam { key, team });
        }
    }
    faults
}

/// Verifies that the allocations and the placed jobs of a team sum up to at most the limit, and
/// that no job has more failures than placements. After the limit was lowered, the sum may exceed
/// the limit but must not grow.
pub fn check_team(doc: &TeamDoc, previous: Option<&TeamDoc>) -> Vec<Violation> {
    let mut violations = Vec::new();
    let used = doc.used_capacity();
    let previously_used = previous.map_or(0, TeamDoc::used_capacity);
    if used > doc.allocations.capacity && used > previously_used {
        add_violation(
            &mut violations,
            format!("{used} of a team's limit of {} are given out", doc.allocations.capacity),
        );
    }
    for (job, record) in &doc.jobs {
        if record.attempt < record.failures {
            add_violation(
                &mut violations,
                format!("job {job} failed more often than it was placed"),
            );
        }
    }
    violations
}

/// Verifies that each minion has at most its own number of slots allocated. After that number was
/// lowered, the allocated slots may exceed it but must not increase.
pub fn check_slots(doc: &SlotDoc, previous: Option<&SlotDoc>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (vm, allocations) in &doc.minions {
        let previous_allocations = previous.and_then(|doc| doc.minions.get(vm));
        if is_over_allocated(allocations, previous_allocations) {
            add_violation(
                &mut violations,
                format!(
                    "{} of the {} slots of {vm} are given out",
                    allocations.allocated(),
                    allocations.capacity
                ),
            );
        }
    }
    violations
}

fn is_over_allocated(allocations: &AllocationTable, previous: Option<&AllocationTable>) -> bool {
    let previously_allocated = previous.map_or(0, AllocationTable::allocated);
    allocations.allocated() > allocations.capacity && allocations.allocated() > previously_allocated
}

/// Verifies that each change of a VM record raises the record's epoch, that a planned stop of a VM
/// leaves the VM's pool its minimum number of available VMs, and that the records are never based
/// on an older configuration than before.
pub fn check_fleet(doc: &FleetDoc, previous: &FleetDoc, config: &ConfigDoc) -> Vec<Violation> {
    let mut violations = Vec::new();
    if doc.config < previous.config {
        add_violation(
            &mut violations,
            format!("VM records went back to configuration {}", doc.config),
        );
    }
    for (vm, record) in &doc.vms {
        let Some(previous_record) = previous.vms.get(vm) else { continue };
        if record != previous_record && record.epoch <= previous_record.epoch {
            add_violation(
                &mut violations,
                format!("VM {vm} changed, and its epoch stayed {}", record.epoch),
            );
        }
        let begins_planned_stop =
            previous_record.state == VmState::Serving && record.state != VmState::Serving;
        if begins_planned_stop && !keeps_min_available(doc, config, record) {
            add_violation(
                &mut violations,
                format!("stopping VM {vm} leaves pool {} under its minimum", record.pool),
            );
        }
    }
    violations
}

fn keeps_min_available(doc: &FleetDoc, config: &ConfigDoc, record: &crate::VmRecord) -> bool {
    let Some(policy) = config.pools.get(&record.pool) else { return true };
    let is_in_service =
        |other: &crate::VmRecord| !config.out_data_centres.contains(&other.data_centre);
    let available = doc.serving_vms(&record.pool).filter(|(_, other)| is_in_service(other)).count();
    available >= policy.min_available as usize
}

/// Verifies that the incarnation of a member never decreases.
pub fn check_members(doc: &MemberDoc, previous: &MemberDoc) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (daemon, record) in &doc.members {
        let previous_record = previous.members.get(daemon);
        if previous_record
            .is_some_and(|previous_record| previous_record.incarnation > record.incarnation)
        {
            add_violation(
                &mut violations,
                format!("daemon {daemon} went back to incarnation {}", record.incarnation),
            );
        }
    }
    violations
}

fn add_violation(violations: &mut Vec<Violation>, text: String) {
    violations.push(Violation(text.into()));
}
