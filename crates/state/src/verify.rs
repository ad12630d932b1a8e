//! Lists every broken invariant of a document, apart from the code that
//! changes documents. Daemons run it on each document they read or are about
//! to write; tests run it after each step.

use std::fmt;

use crate::{AllocationTable, ConfigDoc, FleetDoc, MemberDoc, SlotDoc, TeamDoc, VmState};

/// One broken invariant, as text that names the place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation(pub Box<str>);

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A plan, team, key and pool refer only to what exists, and numbers are in
/// range.
pub fn config(doc: &ConfigDoc) -> Vec<Violation> {
    let mut found = Vec::new();
    for (team, row) in &doc.teams {
        if !doc.plans.contains_key(&row.plan) {
            push(
                &mut found,
                format!("team {team} holds plan {}, which the second list does not have", row.plan),
            );
        }
        if row.share == 0 {
            push(&mut found, format!("team {team} has share 0; the least is 1"));
        }
    }
    for (plan, grant) in &doc.plans {
        for pool in grant.pools.iter().filter(|pool| !doc.pools.contains_key(*pool)) {
            push(
                &mut found,
                format!("plan {plan} may use pool {pool}, which the second list does not have"),
            );
        }
    }
    for (key, record) in &doc.keys {
        if !doc.teams.contains_key(&record.team) {
            push(
                &mut found,
                format!(
                    "key {key} speaks for team {}, which the first list does not have",
                    record.team
                ),
            );
        }
    }
    found
}

/// The parts of a limit and the placed jobs sum up to at most the limit, or
/// to no more than before it was lowered.
pub fn team(doc: &TeamDoc, before: Option<&TeamDoc>) -> Vec<Violation> {
    let mut found = Vec::new();
    let used = doc.used();
    let used_before = before.map_or(0, TeamDoc::used);
    if used > doc.allocations.capacity && used > used_before {
        push(
            &mut found,
            format!("{used} of a team's limit of {} are given out", doc.allocations.capacity),
        );
    }
    for (job, record) in &doc.jobs {
        if record.attempt < record.failures {
            push(&mut found, format!("job {job} failed more often than it was placed"));
        }
    }
    found
}

/// No minion has more slots given out than it has.
pub fn slots(doc: &SlotDoc, before: Option<&SlotDoc>) -> Vec<Violation> {
    let mut found = Vec::new();
    for (vm, holdings) in &doc.minions {
        let earlier = before.and_then(|doc| doc.minions.get(vm));
        if is_overdrawn(holdings, earlier) {
            push(
                &mut found,
                format!(
                    "{} of the {} slots of {vm} are given out",
                    holdings.allocated(),
                    holdings.capacity
                ),
            );
        }
    }
    found
}

fn is_overdrawn(holdings: &AllocationTable, before: Option<&AllocationTable>) -> bool {
    let given_before = before.map_or(0, AllocationTable::allocated);
    holdings.allocated() > holdings.capacity && holdings.allocated() > given_before
}

/// Each change of a VM's record raises its epoch, a planned stop begins only
/// while its pool has VMs to spare, and the records never go by an older
/// configuration.
pub fn fleet(doc: &FleetDoc, before: &FleetDoc, config: &ConfigDoc) -> Vec<Violation> {
    let mut found = Vec::new();
    if doc.config < before.config {
        push(&mut found, format!("VM records went back to configuration {}", doc.config));
    }
    for (vm, record) in &doc.vms {
        let Some(earlier) = before.vms.get(vm) else { continue };
        if record != earlier && record.epoch <= earlier.epoch {
            push(&mut found, format!("VM {vm} changed, and its epoch stayed {}", record.epoch));
        }
        let stops = earlier.state == VmState::Serving && record.state != VmState::Serving;
        if stops && !within_budget(doc, config, record) {
            push(
                &mut found,
                format!("stopping VM {vm} leaves pool {} under its minimum", record.pool),
            );
        }
    }
    found
}

fn within_budget(doc: &FleetDoc, config: &ConfigDoc, record: &crate::VmRecord) -> bool {
    let Some(policy) = config.pools.get(&record.pool) else { return true };
    let in_service =
        |other: &crate::VmRecord| !config.out_data_centres.contains(&other.data_centre);
    let left = doc.serving(&record.pool).filter(|(_, other)| in_service(other)).count();
    left >= policy.min_available as usize
}

/// A member's incarnation never goes back.
pub fn members(doc: &MemberDoc, before: &MemberDoc) -> Vec<Violation> {
    let mut found = Vec::new();
    for (daemon, record) in &doc.members {
        let earlier = before.members.get(daemon);
        if earlier.is_some_and(|earlier| earlier.incarnation > record.incarnation) {
            push(
                &mut found,
                format!("daemon {daemon} went back to incarnation {}", record.incarnation),
            );
        }
    }
    found
}

fn push(found: &mut Vec<Violation>, text: String) {
    found.push(Violation(text.into()));
}
