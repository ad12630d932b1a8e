//! Shows what differs between two JSON documents.

use std::collections::BTreeSet;

use serde_json::Value;

/// One line for each value that differs: `+` added, `-` removed, `~` changed.
pub(crate) fn lines(before: &Value, after: &Value) -> Vec<String> {
    let mut found = Vec::new();
    compare("", before, after, &mut found);
    found
}

fn compare(path: &str, before: &Value, after: &Value, found: &mut Vec<String>) {
    if before == after {
        return;
    }
    let (Value::Object(old), Value::Object(new)) = (before, after) else {
        found.push(format!("~ {path}: {before} -> {after}"));
        return;
    };
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for name in names {
        let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
        match (old.get(name), new.get(name)) {
            (Some(old), Some(new)) => compare(&path, old, new, found),
            (Some(old), None) => found.push(format!("- {path}: {old}")),
            (None, Some(new)) => found.push(format!("+ {path}: {new}")),
            (None, None) => {}
        }
    }
}
