//! Parsers for the operators' two lists: the plans of the teams, and the grants of the plans.

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

/// Error for a word that is not allowed; holds the allowed words.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownWordError(&'static str);

impl fmt::Display for UnknownWordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected one of: {}", self.0)
    }
}

impl FromStr for Priority {
    type Err = UnknownWordError;

    fn from_str(text: &str) -> Result<Self, UnknownWordError> {
        match text {
            "urgent" => Ok(Self::Urgent),
            "normal" => Ok(Self::Normal),
            "overnight" => Ok(Self::Overnight),
            _ => Err(UnknownWordError("urgent, normal, overnight")),
        }
    }
}

impl FromStr for Preference {
    type Err = UnknownWordError;

    fn from_str(text: &str) -> Result<Self, UnknownWordError> {
        match text {
            "share" => Ok(Self::Share),
            "work" => Ok(Self::Work),
            _ => Err(UnknownWordError("share, work")),
        }
    }
}

/// Parses the first list: the plan of each team.
///
/// # Errors
///
/// Returns all faults of the text in order of lines, or the syntax fault alone if the text cannot
/// be parsed.
pub fn parse_plans(text: &str) -> Result<ConfigEdit, Vec<SettingFault>> {
    parse_list(text, "the list of customers' plans", |reader| {
        let mut teams = BTreeMap::new();
        reader.read_entries("teams", |team, row| {
            if let Some(plan) = read_team_plan(row) {
                teams.insert(team, plan);
            }
        });
        ConfigEdit::Teams { teams }
    })
}

/// Parses the second list: what each plan may use, and how each pool is run.
///
/// # Errors
///
/// Returns all faults of the text in order of lines, or the syntax fault alone if the text cannot
/// be parsed.
pub fn parse_grants(text: &str) -> Result<ConfigEdit, Vec<SettingFault>> {
    parse_list(text, "the list of what plans may use", |reader| {
        let mut plans = BTreeMap::new();
        let mut pools = BTreeMap::new();
        reader.read_entries("plans", |plan, row| {
            if let Some(grant) = read_plan_grant(row) {
                plans.insert(plan, grant);
            }
        });
        reader.read_entries("pools", |pool, row| {
            if let Some(policy) = read_pool_policy(row) {
                pools.insert(pool, policy);
            }
        });
        let preference = reader.optional_value("preference").unwrap_or_default();
        ConfigEdit::Grants { plans, pools, preference }
    })
}

fn parse_list(
    text: &str,
    name: &str,
    read_edit: impl FnOnce(&mut ObjectReader<'_>) -> ConfigEdit,
) -> Result<ConfigEdit, Vec<SettingFault>> {
    let value = parse_value(text).map_err(|fault| vec![fault])?;
    let mut faults = Vec::new();
    let mut reader = ObjectReader::new(&value, name, &mut faults);
    let edit = read_edit(&mut reader);
    reader.report_unknown_fields();
    faults.sort();
    if faults.is_empty() { Ok(edit) } else { Err(faults) }
}

fn read_team_plan(row: &mut ObjectReader<'_>) -> Option<TeamPlan> {
    let plan = row.required_value("plan");
    let share = row.required_number("share", 1..=MAX_SHARE);
    let limit = row.required_number("limit", 0..=MAX_LIMIT);
    Some(TeamPlan { plan: plan?, share: share? as u32, limit: limit? as u32 })
}

fn read_plan_grant(row: &mut ObjectReader<'_>) -> Option<PlanGrant> {
    let pools = row.required_list("pools").into_iter().collect();
    let priority = row.required_value("priority");
    Some(PlanGrant { pools, priority: priority? })
}

fn read_pool_policy(row: &mut ObjectReader<'_>) -> Option<PoolPolicy> {
    let open = row.bool_or_default("open", false);
    let min_available = row.required_number("min_available", 0..=MAX_MIN_AVAILABLE);
    let deadline = row.number_or_default("deadline_ms", DEADLINE_RANGE_MS, DEFAULT_DEADLINE_MS);
    Some(PoolPolicy { open, min_available: min_available? as u32, deadline: Millis(deadline) })
}
