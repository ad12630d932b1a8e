//! Reads the operators' two lists.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use crate::{
    ConfigEdit, Millis, ObjectReader, PlanGrant, PoolPolicy, Preference, Priority, SettingFault,
    TeamPlan, parse_value,
};

const MAX_SHARE: u64 = 1_000_000;
const MAX_LIMIT: u64 = 1_000_000;
const MAX_MIN_AVAILABLE: u64 = 100_000;
const DEADLINE_RANGE_MS: std::ops::RangeInclusive<u64> = 10..=30_000;
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// A word that is not one of those allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WordError(&'static str);

impl fmt::Display for WordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected one of: {}", self.0)
    }
}

impl FromStr for Priority {
    type Err = WordError;

    fn from_str(text: &str) -> Result<Self, WordError> {
        match text {
            "urgent" => Ok(Self::Urgent),
            "normal" => Ok(Self::Normal),
            "overnight" => Ok(Self::Overnight),
            _ => Err(WordError("urgent, normal, overnight")),
        }
    }
}

impl FromStr for Preference {
    type Err = WordError;

    fn from_str(text: &str) -> Result<Self, WordError> {
        match text {
            "share" => Ok(Self::Share),
            "work" => Ok(Self::Work),
            _ => Err(WordError("share, work")),
        }
    }
}

/// Reads the first list: customers' plans.
///
/// # Errors
///
/// Every fault of the text, in order of lines.
pub fn parse_plans(text: &str) -> Result<ConfigEdit, Vec<SettingFault>> {
    read_list(text, "the list of customers' plans", |reader| {
        let mut teams = BTreeMap::new();
        reader.entries("teams", |team, row| {
            if let Some(plan) = read_team(row) {
                teams.insert(team, plan);
            }
        });
        ConfigEdit::Teams { teams }
    })
}

/// Reads the second list: what each plan may use.
///
/// # Errors
///
/// Every fault of the text, in order of lines.
pub fn parse_grants(text: &str) -> Result<ConfigEdit, Vec<SettingFault>> {
    read_list(text, "the list of what plans may use", |reader| {
        let mut plans = BTreeMap::new();
        let mut pools = BTreeMap::new();
        reader.entries("plans", |plan, row| {
            if let Some(grant) = read_grant(row) {
                plans.insert(plan, grant);
            }
        });
        reader.entries("pools", |pool, row| {
            if let Some(policy) = read_policy(row) {
                pools.insert(pool, policy);
            }
        });
        let preference = reader.optional("preference").unwrap_or_default();
        ConfigEdit::Grants { plans, pools, preference }
    })
}

fn read_list(
    text: &str,
    name: &str,
    read: impl FnOnce(&mut ObjectReader<'_>) -> ConfigEdit,
) -> Result<ConfigEdit, Vec<SettingFault>> {
    let outline = parse_value(text).map_err(|fault| vec![fault])?;
    let mut faults = Vec::new();
    let mut reader = ObjectReader::new(&outline, name, &mut faults);
    let edit = read(&mut reader);
    reader.finish();
    faults.sort();
    if faults.is_empty() { Ok(edit) } else { Err(faults) }
}

fn read_team(row: &mut ObjectReader<'_>) -> Option<TeamPlan> {
    let plan = row.parsed("plan");
    let share = row.number("share", 1..=MAX_SHARE);
    let limit = row.number("limit", 0..=MAX_LIMIT);
    Some(TeamPlan { plan: plan?, share: share? as u32, limit: limit? as u32 })
}

fn read_grant(row: &mut ObjectReader<'_>) -> Option<PlanGrant> {
    let pools = row.list("pools").into_iter().collect();
    let priority = row.parsed("priority");
    Some(PlanGrant { pools, priority: priority? })
}

fn read_policy(row: &mut ObjectReader<'_>) -> Option<PoolPolicy> {
    let open = row.flag_or("open", false);
    let min_available = row.number("min_available", 0..=MAX_MIN_AVAILABLE);
    let deadline = row.number_or("deadline_ms", DEADLINE_RANGE_MS, DEFAULT_DEADLINE_MS);
    Some(PoolPolicy { open, min_available: min_available? as u32, deadline: Millis(deadline) })
}
