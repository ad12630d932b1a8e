//! Renders daemons' answers as text for people. With `--json`, answers are printed unchanged
//! instead.

use std::fmt::Write;

use serde_json::Value;

/// Renders any document as indented JSON.
pub(crate) fn indented_json(body: &Value) -> String {
    let text = serde_json::to_string_pretty(body).unwrap_or_default();
    format!("{text}\n")
}

/// Renders the result of a change: in force, or the state that the change has reached.
pub(crate) fn change(body: &Value) -> String {
    match body["state"].as_str() {
        Some("in-force") => format!("in force everywhere, revision {}\n", body["revision"]),
        Some(state) => format!("{state}\n"),
        None => indented_json(body),
    }
}

/// Renders any answer other than a success: a change that is committed and not yet in force, the
/// reasons of a refusal, or the outcome of a request.
pub(crate) fn failure(body: &Value) -> String {
    let mut text = String::new();
    if body["state"] == "committed" {
        let _ = writeln!(text, "committed, not yet in force; waiting for {}", body["waiting"]);
    } else if let Some(reasons) = body["reasons"].as_array() {
        for reason in reasons {
            let _ = writeln!(text, "refused: {}", to_plain(reason));
        }
    } else if let Some(outcome) = body["outcome"].as_str() {
        let _ = writeln!(text, "{outcome}: {}", to_plain(&body["reason"]));
    } else {
        return indented_json(body);
    }
    text
}

/// Renders the phase of a job, or the number of a queue's jobs that have not begun.
pub(crate) fn phase(body: &Value) -> String {
    match body["pending"].as_u64() {
        Some(pending) => format!("{pending} jobs have not begun\n"),
        None => format!("{}\n", to_plain(&body["phase"])),
    }
}

/// Renders the state of one job, on one line.
pub(crate) fn job(body: &Value) -> String {
    let state = &body["record"]["state"];
    let mut text = format!("{} {}", to_plain(&body["job"]), to_plain(&state["state"]));
    for name in ["worker", "reason"] {
        if !state[name].is_null() {
            let _ = write!(text, " {name} {}", to_plain(&state[name]));
        }
    }
    let _ = writeln!(text, " attempt {}", body["record"]["attempt"]);
    text
}

/// Renders the state of the fleet as one daemon sees it.
pub(crate) fn status(body: &Value) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "daemon {} in {}",
        to_plain(&body["daemon"]),
        to_plain(&body["data_centre"])
    );
    for name in
        ["takes_work", "config_revision", "members", "heard", "out_data_centres", "out_pools"]
    {
        let _ = writeln!(text, "{:18} {}", name.replace('_', " "), to_plain(&body[name]));
    }
    write_table(
        &mut text,
        &body["vms"],
        &["vm", "pool", "data_centre", "state", "presence", "slots_in_use"],
    );
    write_table(&mut text, &body["teams"], &["team", "limit", "given", "placed", "in_use_here"]);
    text
}

/// Appends a table with one column for each name in `columns`.
fn write_table(text: &mut String, rows: &Value, columns: &[&str]) {
    let header: Vec<String> = columns.iter().map(|name| format!("{name:16}")).collect();
    let _ = writeln!(text, "\n{}", header.join(" ").trim_end());
    for row in rows.as_array().into_iter().flatten() {
        let cells: Vec<String> =
            columns.iter().map(|name| format!("{:16}", to_plain(&row[*name]))).collect();
        let _ = writeln!(text, "{}", cells.join(" ").trim_end());
    }
}

/// Renders the counters of a daemon, one line each.
pub(crate) fn measures(body: &Value) -> String {
    let mut text = String::new();
    for (name, value) in body.as_object().into_iter().flatten() {
        let _ = writeln!(text, "{:18} {}", name.replace('_', " "), to_plain(value));
    }
    text
}

/// Returns the text of a JSON string without quotes; any other value as JSON.
fn to_plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
