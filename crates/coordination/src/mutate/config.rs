//! Changes of the configuration.

use state::{ChangeId, ConfigDoc, ConfigEdit, verify};

/// One operator's change.
#[derive(Debug, Clone)]
pub struct ConfigMutation {
    /// Its name.
    pub change: ChangeId,
    /// The latest change that the operator saw, if the change builds on it. A
    /// change that replaces a list must, or it would undo what another operator
    /// changed in between.
    pub expect: Option<ChangeId>,
    /// Its steps.
    pub edits: Vec<ConfigEdit>,
}

/// What came of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigResult {
    /// It is part of the document.
    Applied,
    /// Another change came in between.
    Overtaken {
        /// The latest change.
        latest: Option<ChangeId>,
    },
    /// It would break the lists.
    Invalid(Vec<Box<str>>),
}

/// Applies a change as a whole, or not at all.
pub fn apply(doc: &mut ConfigDoc, mutation: &ConfigMutation) -> ConfigResult {
    if doc.has_change(&mutation.change) {
        return ConfigResult::Applied;
    }
    let latest = doc.changes.last();
    let replaces_list = mutation.edits.iter().any(ConfigEdit::replaces_list);
    let builds_on_latest = mutation.expect.as_ref() == latest;
    if (replaces_list || mutation.expect.is_some()) && !builds_on_latest {
        return ConfigResult::Overtaken { latest: latest.cloned() };
    }
    let mut next = doc.clone();
    next.apply(&mutation.change, &mutation.edits);
    let violations = verify::config(&next);
    if !violations.is_empty() {
        return ConfigResult::Invalid(violations.into_iter().map(|found| found.0).collect());
    }
    *doc = next;
    ConfigResult::Applied
}
