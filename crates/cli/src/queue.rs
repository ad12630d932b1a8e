//! Commands for queues and their jobs of steps.

use std::path::Path;
use std::thread;
use std::time::Duration;

use check::FileKind;
use eyre::Result;
use serde_json::Value;
use state::{JobId, QueueId};

use crate::arguments::QueueAction;
use crate::client::Client;
use crate::{CommandOutcome, file_check, render};

/// How often a watched job's phase is read.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

pub(crate) fn run(client: &Client, action: &QueueAction) -> Result<CommandOutcome> {
    match action {
        QueueAction::Check { file } => check_job(file),
        QueueAction::Submit { queue, job, file } => {
            let Some(text) = file_check::read_checked(file, FileKind::Job)? else {
                return Ok(CommandOutcome::Usage);
            };
            send_and_print(client, "PUT", &queue_path(queue, Some(job)), text.as_bytes())
        }
        QueueAction::Show { queue, job } => {
            send_and_print(client, "GET", &queue_path(queue, job.as_ref()), &[])
        }
        QueueAction::Cancel { queue, job } => {
            send_and_print(client, "DELETE", &queue_path(queue, Some(job)), &[])
        }
        QueueAction::Watch { queue, job } => watch(client, &queue_path(queue, Some(job))),
    }
}

fn queue_path(queue: &QueueId, job: Option<&JobId>) -> String {
    match job {
        Some(job) => format!("/queues/{queue}/{job}"),
        None => format!("/queues/{queue}"),
    }
}

fn check_job(file: &Path) -> Result<CommandOutcome> {
    if file_check::read_checked(file, FileKind::Job)?.is_none() {
        return Ok(CommandOutcome::Usage);
    }
    println!("{}: no faults", file.display());
    Ok(CommandOutcome::Done)
}

fn send_and_print(
    client: &Client,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<CommandOutcome> {
    match client.send_request(method, path, body) {
        Ok(reply) => {
            client.print_reply(&reply, render::phase);
            Ok(reply.outcome())
        }
        Err(error) => {
            eprintln!("pollenfall: {error:#}");
            Ok(CommandOutcome::Unreachable)
        }
    }
}

fn watch(client: &Client, path: &str) -> Result<CommandOutcome> {
    let mut last_phase = Value::Null;
    loop {
        let reply = client.send_request("GET", path, &[])?;
        if reply.status != 200 {
            client.print_reply(&reply, render::phase);
            return Ok(reply.outcome());
        }
        let phase = reply.body["phase"].clone();
        if phase != last_phase {
            client.print_reply(&reply, render::phase);
            last_phase = phase.clone();
        }
        match phase.as_str() {
            Some("complete") => return Ok(CommandOutcome::Done),
            Some("failed" | "cancelled") => return Ok(CommandOutcome::Refused),
            _ => thread::sleep(WATCH_INTERVAL),
        }
    }
}
