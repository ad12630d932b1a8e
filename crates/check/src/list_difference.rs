//! Differences between two versions of the configuration that the two lists are part of.

use std::collections::{BTreeMap, BTreeSet};

use findings::DifferenceList;
use state::{ConfigDoc, KeyId, KeyRecord, PlanGrant, PoolPolicy, Preference, Priority, TeamPlan};

/// Adds the differences between two versions, in the order of the fields of [`ConfigDoc`].
pub(crate) fn compare_configs(before: &ConfigDoc, after: &ConfigDoc, list: &mut DifferenceList) {
    for team in all_keys(&before.teams, &after.teams) {
        let rows = (before.teams.get(team), after.teams.get(team));
        compare_teams(&format!("team {team}"), rows, list);
    }
    for plan in all_keys(&before.plans, &after.plans) {
        let rows = (before.plans.get(plan), after.plans.get(plan));
        compare_plans(&format!("plan {plan}"), rows, list);
    }
    for pool in all_keys(&before.pools, &after.pools) {
        let rows = (before.pools.get(pool), after.pools.get(pool));
        compare_pools(&format!("pool {pool}"), rows, list);
    }
    for key in all_keys(&before.keys, &after.keys) {
        compare_keys(key, (before.keys.get(key), after.keys.get(key)), list);
    }
    compare_outages("data centre", &before.out_data_centres, &after.out_data_centres, list);
    compare_outages("pool", &before.out_pools, &after.out_pools, list);
    let preferences = (preference_name(before.preference), preference_name(after.preference));
    list.compare_values("fleet", "preference", &preferences.0, &preferences.1);
}

fn all_keys<'a, K: Ord, V>(
    before: &'a BTreeMap<K, V>,
    after: &'a BTreeMap<K, V>,
) -> BTreeSet<&'a K> {
    before.keys().chain(after.keys()).collect()
}

/// Entry of the earlier and of the later version.
type Rows<'a, T> = (Option<&'a T>, Option<&'a T>);

fn compare_teams(subject: &str, rows: Rows<'_, TeamPlan>, list: &mut DifferenceList) {
    let describe = |row: &TeamPlan| {
        format!("on plan {} with share {} and limit {}", row.plan, row.share, row.limit)
    };
    let Some((before, after)) = list.compare_presence(subject, rows.0, rows.1, describe) else {
        return;
    };
    list.compare_values(subject, "plan", &before.plan, &after.plan);
    list.compare_amounts(subject, "share", &before.share, &after.share);
    list.compare_amounts(subject, "limit", &before.limit, &after.limit);
}

fn compare_plans(subject: &str, rows: Rows<'_, PlanGrant>, list: &mut DifferenceList) {
    let describe = |grant: &PlanGrant| {
        let pools: Vec<&str> = grant.pools.iter().map(|pool| pool.as_str()).collect();
        format!("with priority {} and pools {}", priority_name(grant.priority), pools.join(", "))
    };
    let Some((before, after)) = list.compare_presence(subject, rows.0, rows.1, describe) else {
        return;
    };
    for pool in before.pools.difference(&after.pools) {
        list.add(subject, format!("may no longer use pool {pool}"));
    }
    for pool in after.pools.difference(&before.pools) {
        list.add(subject, format!("may now use pool {pool}"));
    }
    let priorities = (priority_name(before.priority), priority_name(after.priority));
    list.compare_values(subject, "priority", &priorities.0, &priorities.1);
}

fn compare_pools(subject: &str, rows: Rows<'_, PoolPolicy>, list: &mut DifferenceList) {
    let describe = |policy: &PoolPolicy| {
        let access = if policy.open { "open to callers without a key" } else { "for keys only" };
        format!("{access}, with min_available {}", policy.min_available)
    };
    let Some((before, after)) = list.compare_presence(subject, rows.0, rows.1, describe) else {
        return;
    };
    if before.open != after.open {
        let change =
            if after.open { "now open to callers without a key" } else { "now requires a key" };
        list.add(subject, change);
    }
    list.compare_amounts(subject, "min_available", &before.min_available, &after.min_available);
    list.compare_amounts(subject, "deadline", &before.deadline, &after.deadline);
}

/// Compares the records of a key; names its public part only.
fn compare_keys(key: &KeyId, rows: Rows<'_, KeyRecord>, list: &mut DifferenceList) {
    let subject = format!("key {key}");
    match rows {
        (Some(before), None) => list.add(&subject, format!("of team {} withdrawn", before.team)),
        (None, Some(after)) => list.add(&subject, format!("given to team {}", after.team)),
        (Some(before), Some(after)) if before.team != after.team => {
            list.compare_values(&subject, "team", &before.team, &after.team);
        }
        (Some(before), Some(after)) if before != after => {
            list.add(&subject, format!("of team {} replaced", after.team));
        }
        _ => {}
    }
}

fn compare_outages<T: Ord + std::fmt::Display>(
    kind: &str,
    before: &BTreeSet<T>,
    after: &BTreeSet<T>,
    list: &mut DifferenceList,
) {
    for place in after.difference(before) {
        list.add(&format!("{kind} {place}"), "out of service");
    }
    for place in before.difference(after) {
        list.add(&format!("{kind} {place}"), "back in service");
    }
}

fn priority_name(priority: Priority) -> &'static str {
    match priority {
        Priority::Urgent => "urgent",
        Priority::Normal => "normal",
        Priority::Overnight => "overnight",
    }
}

fn preference_name(preference: Preference) -> &'static str {
    match preference {
        Preference::Share => "share",
        Preference::Work => "work",
    }
}
