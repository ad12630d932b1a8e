//! Changes of the configuration document.

use state::{ChangeId, ConfigDoc, ConfigEdit, verify};

/// Change of the configuration by an operator.
#[derive(Debug, Clone)]
pub struct ConfigMutation {
    /// Id of the change, by which a repeat is recognised.
    pub change: ChangeId,
    /// Latest change that the operator saw, if the new change builds on it. A
    /// change that replaces a list must build on the latest change, because it
    /// would otherwise undo a change that another operator made in between.
    pub expect: Option<ChangeId>,
    /// Edits of the configuration, in order of application.
    pub edits: Vec<ConfigEdit>,
}

/// Result of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigResult {
    /// The change is part of the document.
    Applied,
    /// Another change was applied after the one that this change builds on.
    Overtaken {
        /// Latest change of the document.
        latest: Option<ChangeId>,
    },
    /// The changed configuration would be invalid for these reasons.
    Invalid(Vec<Box<str>>),
}

/// Applies a change as a whole or not at all.
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
    let violations = verify::check_config(&next);
    if !violations.is_empty() {
        return ConfigResult::Invalid(
            violations.into_iter().map(|violation| violation.0).collect(),
        );
    }
    *doc = next;
    ConfigResult::Applied
}
