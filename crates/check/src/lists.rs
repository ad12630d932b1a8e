//! Checks of the two lists, each by itself.

use std::collections::{BTreeMap, HashMap};

use findings::{FindingList, SourceFile};
use state::{
    ConfigEdit, ParsedValue, PlanGrant, PlanId, PoolId, PoolPolicy, Position, TeamId, TeamPlan,
    parse_grants, parse_plans,
};

/// Sum of all shares if they are written in percent, as in the examples.
const WHOLE_SHARE: u64 = 100;

/// Checks the first list. Returns its edit unless the list has errors.
pub(crate) fn check_plans(source: &SourceFile, list: &mut FindingList) -> Option<ConfigEdit> {
    let edit = add_parse_faults(parse_plans(&source.text), list)?;
    if let ConfigEdit::Teams { teams } = &edit {
        check_limits(&source.value, teams, list);
        check_shares(&source.value, teams, list);
    }
    Some(edit)
}

/// Checks the second list. Returns its edit unless the list has errors.
pub(crate) fn check_grants(source: &SourceFile, list: &mut FindingList) -> Option<ConfigEdit> {
    let edit = add_parse_faults(parse_grants(&source.text), list)?;
    if let ConfigEdit::Grants { plans, pools, .. } = &edit {
        check_plans_without_pools(&source.value, plans, list);
        check_pools_without_callers(&source.value, plans, pools, list);
    }
    Some(edit)
}

/// Returns the position of each entry of the object in the field `name`.
pub(crate) fn entry_positions<'a>(
    value: &'a ParsedValue,
    name: &str,
) -> HashMap<&'a str, Position> {
    let entries = value.field(name).into_iter().flat_map(ParsedValue::entries);
    entries.map(|(name, position, _)| (name, position)).collect()
}

fn add_parse_faults(
    parsed: Result<ConfigEdit, Vec<state::SettingFault>>,
    list: &mut FindingList,
) -> Option<ConfigEdit> {
    parsed.map_err(|faults| list.add_faults(faults)).ok()
}

fn check_limits(value: &ParsedValue, teams: &BTreeMap<TeamId, TeamPlan>, list: &mut FindingList) {
    let positions = entry_positions(value, "teams");
    for (team, _) in teams.iter().filter(|(_, row)| row.limit == 0) {
        let position = positions.get(team.as_str()).copied().unwrap_or(Position::START);
        list.warn(position, format!("team {team} has limit 0, so none of its work can start"));
    }
}

fn check_shares(value: &ParsedValue, teams: &BTreeMap<TeamId, TeamPlan>, list: &mut FindingList) {
    let sum: u64 = teams.values().map(|row| u64::from(row.share)).sum();
    if sum > WHOLE_SHARE {
        let message = format!(
            "the shares add up to {sum}, more than the whole of {WHOLE_SHARE}: each team gets its \
             share divided by {sum}"
        );
        list.warn(value.locate_field(&["teams"]), message);
    }
}

fn check_plans_without_pools(
    value: &ParsedValue,
    plans: &BTreeMap<PlanId, PlanGrant>,
    list: &mut FindingList,
) {
    let positions = entry_positions(value, "plans");
    for (plan, _) in plans.iter().filter(|(_, grant)| grant.pools.is_empty()) {
        let position = positions.get(plan.as_str()).copied().unwrap_or(Position::START);
        list.warn(position, format!("plan {plan} may use no pool"));
    }
}

fn check_pools_without_callers(
    value: &ParsedValue,
    plans: &BTreeMap<PlanId, PlanGrant>,
    pools: &BTreeMap<PoolId, PoolPolicy>,
    list: &mut FindingList,
) {
    let used: std::collections::BTreeSet<&PoolId> =
        plans.values().flat_map(|grant| &grant.pools).collect();
    let positions = entry_positions(value, "pools");
    for (pool, _) in pools.iter().filter(|(pool, policy)| !policy.open && !used.contains(pool)) {
        let position = positions.get(pool.as_str()).copied().unwrap_or(Position::START);
        list.warn(position, format!("pool {pool} is not open, and no plan may use it"));
    }
}
