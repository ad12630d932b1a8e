//! Lists the differences between two JSON documents.

use std::collections::BTreeSet;

use serde_json::Value;

/// Returns one line for each value that differs, with its path: `+` added, `-` removed,
/// `~` changed.
pub(crate) fn changed_lines(before: &Value, after: &Value) -> Vec<String> {
    let mut changes = Vec::new();
    collect_changes("", before, after, &mut changes);
    changes
}

fn collect_changes(path: &str, before: &Value, after: &Value, changes: &mut Vec<String>) {
    if before == after {
        return;
    }
    let (Value::Object(old), Value::Object(new)) = (before, after) else {
        changes.push(format!("~ {path}: {before} -> {after}"));
        return;
    };
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for name in names {
        let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
        match (old.get(name), new.get(name)) {
            (Some(old), Some(new)) => collect_changes(&path, old, new, changes),
            (Some(old), None) => changes.push(format!("- {path}: {old}")),
            (None, Some(new)) => changes.push(format!("+ {path}: {new}")),
            (None, None) => {}
        }
    }
}
