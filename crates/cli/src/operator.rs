//! Commands of operators: lists, data centres, pools, VMs and views of a daemon.

use std::path::Path;

use check::FileKind;
use eyre::{Result, eyre};
use protocol::ChangeBody;
use serde_json::{Value, json};
use state::{ChangeId, ConfigDoc, ConfigEdit, parse_grants, parse_plans, verify};

use crate::arguments::{DataCentreAction, ListAction, PoolAction, VmCommand};
use crate::client::{Client, generate_change_id};
use crate::{CommandOutcome, diff, file_check, render};

/// Checks or applies the list of plans or the list of grants.
pub(crate) fn apply_list(
    client: &Client,
    action: &ListAction,
    kind: FileKind,
) -> Result<CommandOutcome> {
    let (ListAction::Check { file } | ListAction::Apply { file, .. }) = action;
    let Some(edit) = read_list(file, kind)? else { return Ok(CommandOutcome::Usage) };
    match action {
        ListAction::Check { .. } => {
            println!("{}: no faults", file.display());
            Ok(CommandOutcome::Done)
        }
        ListAction::Apply { dry_run: true, .. } => preview_change(client, &edit),
        ListAction::Apply { .. } => {
            let latest_change = fetch_config(client)?.changes.last().cloned();
            submit_change(client, vec![edit], latest_change)
        }
    }
}

/// Reads a list from a file; prints the findings, and returns `None` if there are errors.
fn read_list(file: &Path, kind: FileKind) -> Result<Option<ConfigEdit>> {
    let Some(text) = file_check::read_checked(file, kind)? else { return Ok(None) };
    let parse = if kind == FileKind::Plans { parse_plans } else { parse_grants };
    Ok(parse(&text).ok())
}

pub(crate) fn fetch_config(client: &Client) -> Result<ConfigDoc> {
    let reply = client.send_control("GET", "config", &Value::Null)?;
    if reply.status != 200 {
        return Err(eyre!("{}", render::failure(&reply.body).trim_end()));
    }
    Ok(serde_json::from_value(reply.body["config"].clone())?)
}

/// Prints what an edit would change, and why daemons would refuse it.
fn preview_change(client: &Client, edit: &ConfigEdit) -> Result<CommandOutcome> {
    let before = fetch_config(client)?;
    let mut after = before.clone();
    after.apply(&generate_change_id()?, std::slice::from_ref(edit));
    let violations = verify::check_config(&after);
    after.changes = before.changes.clone();
    let changed_lines =
        diff::changed_lines(&serde_json::to_value(&before)?, &serde_json::to_value(&after)?);
    if client.json {
        let faults: Vec<String> = violations.iter().map(ToString::to_string).collect();
        println!("{}", json!({ "diff": changed_lines, "faults": faults }));
    } else {
        changed_lines.iter().for_each(|line| println!("{line}"));
        if changed_lines.is_empty() {
            println!("nothing would change");
        }
    }
    for violation in &violations {
        eprintln!("would be refused: {violation}");
    }
    Ok(if violations.is_empty() { CommandOutcome::Done } else { CommandOutcome::Refused })
}

/// Submits one change and prints whether it is in force, committed or refused.
pub(crate) fn submit_change(
    client: &Client,
    edits: Vec<ConfigEdit>,
    expect: Option<ChangeId>,
) -> Result<CommandOutcome> {
    let body = ChangeBody { change: generate_change_id()?, expect, edits };
    let body = serde_json::to_value(&body)?;
    client.call_and_print("POST", "change", &body, render::change)
}

pub(crate) fn change_data_centre(
    client: &Client,
    action: &DataCentreAction,
) -> Result<CommandOutcome> {
    let (data_centre, out) = match action {
        DataCentreAction::Out { data_centre } => (data_centre.clone(), true),
        DataCentreAction::Back { data_centre } => (data_centre.clone(), false),
    };
    submit_change(client, vec![ConfigEdit::DataCentre { data_centre, out }], None)
}

pub(crate) fn change_pool(client: &Client, action: &PoolAction) -> Result<CommandOutcome> {
    let (pool, out) = match action {
        PoolAction::Out { pool } => (pool.clone(), true),
        PoolAction::Back { pool } => (pool.clone(), false),
    };
    submit_change(client, vec![ConfigEdit::Pool { pool, out }], None)
}

pub(crate) fn control_vm(client: &Client, command: &VmCommand) -> Result<CommandOutcome> {
    let (vm, action) = match command {
        VmCommand::Drain { vm } => (vm, json!({ "action": "drain" })),
        VmCommand::Reboot { vm } => (vm, json!({ "action": "reboot" })),
        VmCommand::Move { vm, to } => (vm, json!({ "action": "move", "to": to })),
        VmCommand::Return { vm } => (vm, json!({ "action": "return" })),
    };
    client.call_and_print("POST", &format!("vms/{vm}"), &action, render::change)
}

/// Prints one document of a daemon.
pub(crate) fn print_document(
    client: &Client,
    path: &str,
    render: fn(&Value) -> String,
) -> Result<CommandOutcome> {
    client.call_and_print("GET", path, &Value::Null, render)
}
