//! Commands for queues and jobs of steps.

use std::path::Path;
use std::thread;
use std::time::Duration;

use eyre::{Context, Result, eyre};
use serde_json::Value;
use state::{JobId, QueueId};

use crate::arguments::QueueAction;
use crate::client::Client;
use crate::{Ending, render};

/// How often a watched job is looked up.
const WATCH_PERIOD: Duration = Duration::from_millis(500);

pub(crate) fn run(client: &Client, action: &QueueAction) -> Result<Ending> {
    match action {
        QueueAction::Check { file } => check(file),
        QueueAction::Submit { queue, job, file } => {
            let text = read_job(file)?;
            call(client, "PUT", &path_of(queue, Some(job)), text.as_bytes())
        }
        QueueAction::Show { queue, job } => call(client, "GET", &path_of(queue, job.as_ref()), &[]),
        QueueAction::Cancel { queue, job } => {
            call(client, "DELETE", &path_of(queue, Some(job)), &[])
        }
        QueueAction::Watch { queue, job } => watch(client, &path_of(queue, Some(job))),
    }
}

fn path_of(queue: &QueueId, job: Option<&JobId>) -> String {
    match job {
        Some(job) => format!("/queues/{queue}/{job}"),
        None => format!("/queues/{queue}"),
    }
}

/// A job's text, checked before any daemon sees it.
fn read_job(file: &Path) -> Result<String> {
    let name = file.display();
    let text = std::fs::read_to_string(file).wrap_err_with(|| name.to_string())?;
    jobs::parse_job(&text).map_err(|fault| eyre!("{name}: {fault}"))?;
    Ok(text)
}

fn check(file: &Path) -> Result<Ending> {
    read_job(file)?;
    println!("{}: no faults", file.display());
    Ok(Ending::Done)
}

fn call(client: &Client, method: &str, path: &str, body: &[u8]) -> Result<Ending> {
    match client.send(method, path, body) {
        Ok(reply) => {
            client.show(&reply, render::phase);
            Ok(reply.ending())
        }
        Err(error) => {
            eprintln!("pollenfall: {error:#}");
            Ok(Ending::Unreachable)
        }
    }
}

fn watch(client: &Client, path: &str) -> Result<Ending> {
    let mut last = Value::Null;
    loop {
        let reply = client.send("GET", path, &[])?;
        if reply.status != 200 {
            client.show(&reply, render::phase);
            return Ok(reply.ending());
        }
        let phase = reply.body["phase"].clone();
        if phase != last {
            client.show(&reply, render::phase);
            last = phase.clone();
        }
        match phase.as_str() {
            Some("complete") => return Ok(Ending::Done),
            Some("failed" | "cancelled") => return Ok(Ending::Refused),
            _ => thread::sleep(WATCH_PERIOD),
        }
    }
}
