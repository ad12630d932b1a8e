//! Checks of the configuration that the lists yield together, on top of the version in force.

use std::collections::{BTreeSet, HashMap};

use findings::{Finding, FindingList, SourceFile};
use state::verify::{ConfigFault, find_config_faults};
use state::{ConfigDoc, ConfigEdit, PlanId, Position};

use crate::lists::entry_positions;

/// A list that was checked without errors.
pub(crate) struct CheckedList<'a> {
    pub(crate) source: &'a SourceFile,
    pub(crate) edit: ConfigEdit,
}

/// Returns the configuration after the lists have replaced those of `base`.
pub(crate) fn apply_lists(base: &ConfigDoc, lists: &[CheckedList<'_>]) -> ConfigDoc {
    let mut config = base.clone();
    lists.iter().for_each(|list| config.apply_edit(&list.edit));
    config
}

/// Checks the references between the lists. A reference into a list is checked only if that list
/// is known: from one of the files, or from the version in force.
pub(crate) fn check_lists_together(
    base: Option<&ConfigDoc>,
    lists: &[CheckedList<'_>],
) -> Vec<Finding> {
    let has_plans = lists.iter().any(|list| matches!(list.edit, ConfigEdit::Teams { .. }));
    let has_grants = lists.iter().any(|list| matches!(list.edit, ConfigEdit::Grants { .. }));
    let config = apply_lists(base.unwrap_or(&ConfigDoc::default()), lists);
    let is_known = |fault: &ConfigFault| match fault {
        ConfigFault::UnknownPlan { .. } => has_grants || base.is_some(),
        ConfigFault::UnknownTeam { .. } => has_plans || base.is_some(),
        ConfigFault::NoShare { .. } | ConfigFault::UnknownPool { .. } => true,
    };
    let mut places = Places::new(lists);
    for fault in find_config_faults(&config).iter().filter(|fault| is_known(fault)) {
        places.add(fault);
    }
    if has_grants && (has_plans || base.is_some()) {
        places.warn_of_unused_plans(&config);
    }
    places.into_findings()
}

/// Files of the lists, with the positions of their rows.
struct Places<'a> {
    teams: Option<Place<'a>>,
    plans: Option<Place<'a>>,
}

struct Place<'a> {
    list: FindingList,
    rows: HashMap<&'a str, Position>,
    /// Position of the object with the rows.
    rows_start: Position,
}

impl<'a> Place<'a> {
    fn new(source: &'a SourceFile, field: &str) -> Self {
        Self {
            list: FindingList::new(&source.name),
            rows: entry_positions(&source.value, field),
            rows_start: source.value.locate_field(&[field]),
        }
    }

    fn position(&self, row: &str) -> Position {
        self.rows.get(row).copied().unwrap_or(self.rows_start)
    }
}

impl<'a> Places<'a> {
    fn new(lists: &[CheckedList<'a>]) -> Self {
        let mut places = Self { teams: None, plans: None };
        for list in lists {
            match &list.edit {
                ConfigEdit::Teams { .. } => places.teams = Some(Place::new(list.source, "teams")),
                _ => places.plans = Some(Place::new(list.source, "plans")),
            }
        }
        places
    }

    /// Adds a fault at its row. A row of the version in force has no position: its fault is
    /// reported at the list that lacks what the row names.
    fn add(&mut self, fault: &ConfigFault) {
        let (in_plans, row) = match fault {
            ConfigFault::UnknownPlan { team, .. } | ConfigFault::NoShare { team } => {
                (false, team.as_str())
            }
            ConfigFault::UnknownTeam { team, .. } => (false, team.as_str()),
            ConfigFault::UnknownPool { plan, .. } => (true, plan.as_str()),
        };
        let (first, second) = (&mut self.teams, &mut self.plans);
        let place = if in_plans {
            second.as_mut().or(first.as_mut())
        } else {
            first.as_mut().or(second.as_mut())
        };
        if let Some(place) = place {
            place.list.error(place.position(row), fault.to_string());
        }
    }

    fn warn_of_unused_plans(&mut self, config: &ConfigDoc) {
        let Some(place) = &mut self.plans else { return };
        let held: BTreeSet<&PlanId> = config.teams.values().map(|row| &row.plan).collect();
        for plan in config.plans.keys().filter(|plan| !held.contains(plan)) {
            let position = place.position(plan.as_str());
            place.list.warn(position, format!("no team holds plan {plan}"));
        }
    }

    fn into_findings(self) -> Vec<Finding> {
        let places = [self.teams, self.plans].into_iter().flatten();
        places.flat_map(|place| place.list.into_findings()).collect()
    }
}
