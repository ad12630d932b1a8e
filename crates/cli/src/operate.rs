//! Operators' commands.

use std::path::Path;

use eyre::{Context, Result, eyre};
use protocol::ChangeBody;
use serde_json::{Value, json};
use state::{ChangeId, ConfigDoc, ConfigEdit, SettingFault, verify};

use crate::arguments::{CentreAction, ListAction, PoolAction, VmCommand};
use crate::client::{Client, new_change};
use crate::{Ending, diff, render};

type ListParser = fn(&str) -> Result<ConfigEdit, Vec<SettingFault>>;

/// Checks or applies one of the two lists.
pub(crate) fn apply_list(
    client: &Client,
    action: &ListAction,
    parse: ListParser,
) -> Result<Ending> {
    let (ListAction::Check { file } | ListAction::Apply { file, .. }) = action;
    let Some(edit) = read_list(file, parse)? else { return Ok(Ending::Usage) };
    match action {
        ListAction::Check { .. } => {
            println!("{}: no faults", file.display());
            Ok(Ending::Done)
        }
        ListAction::Apply { dry_run: true, .. } => show_change(client, &edit),
        ListAction::Apply { .. } => {
            let latest = current(client)?.changes.last().cloned();
            change(client, vec![edit], latest)
        }
    }
}

fn read_list(file: &Path, parse: ListParser) -> Result<Option<ConfigEdit>> {
    let text = std::fs::read_to_string(file).wrap_err_with(|| file.display().to_string())?;
    match parse(&text) {
        Ok(edit) => Ok(Some(edit)),
        Err(faults) => {
            eprintln!("{} has {} faults:", file.display(), faults.len());
            for fault in faults {
                eprintln!("  {fault}");
            }
            Ok(None)
        }
    }
}

fn current(client: &Client) -> Result<ConfigDoc> {
    let reply = client.call("GET", "config", &Value::Null)?;
    if reply.status != 200 {
        return Err(eyre!("{}", render::trouble(&reply.body).trim_end()));
    }
    Ok(serde_json::from_value(reply.body["config"].clone())?)
}

fn show_change(client: &Client, edit: &ConfigEdit) -> Result<Ending> {
    let before = current(client)?;
    let mut after = before.clone();
    after.apply(&new_change()?, std::slice::from_ref(edit));
    let violations = verify::check_config(&after);
    after.changes = before.changes.clone();
    let lines = diff::lines(&serde_json::to_value(&before)?, &serde_json::to_value(&after)?);
    if client.json {
        let faults: Vec<String> = violations.iter().map(ToString::to_string).collect();
        println!("{}", json!({ "diff": lines, "faults": faults }));
    } else {
        lines.iter().for_each(|line| println!("{line}"));
        if lines.is_empty() {
            println!("nothing would change");
        }
    }
    for violation in &violations {
        eprintln!("would be refused: {violation}");
    }
    Ok(if violations.is_empty() { Ending::Done } else { Ending::Refused })
}

/// Sends one change, and says how far it got.
pub(crate) fn change(
    client: &Client,
    edits: Vec<ConfigEdit>,
    expect: Option<ChangeId>,
) -> Result<Ending> {
    let body = ChangeBody { change: new_change()?, expect, edits };
    let body = serde_json::to_value(&body)?;
    client.call_and_show("POST", "change", &body, render::change)
}

pub(crate) fn data_centre(client: &Client, action: &CentreAction) -> Result<Ending> {
    let (data_centre, out) = match action {
        CentreAction::Out { data_centre } => (data_centre.clone(), true),
        CentreAction::Back { data_centre } => (data_centre.clone(), false),
    };
    change(client, vec![ConfigEdit::DataCentre { data_centre, out }], None)
}

pub(crate) fn pool(client: &Client, action: &PoolAction) -> Result<Ending> {
    let (pool, out) = match action {
        PoolAction::Out { pool } => (pool.clone(), true),
        PoolAction::Back { pool } => (pool.clone(), false),
    };
    change(client, vec![ConfigEdit::Pool { pool, out }], None)
}

pub(crate) fn vm(client: &Client, command: &VmCommand) -> Result<Ending> {
    let (vm, action) = match command {
        VmCommand::Drain { vm } => (vm, json!({ "action": "drain" })),
        VmCommand::Reboot { vm } => (vm, json!({ "action": "reboot" })),
        VmCommand::Move { vm, to } => (vm, json!({ "action": "move", "to": to })),
        VmCommand::Return { vm } => (vm, json!({ "action": "return" })),
    };
    client.call_and_show("POST", &format!("vms/{vm}"), &action, render::change)
}

/// Shows one document.
pub(crate) fn show(client: &Client, path: &str, render: fn(&Value) -> String) -> Result<Ending> {
    client.call_and_show("GET", path, &Value::Null, render)
}
