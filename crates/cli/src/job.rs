//! Commands of submitters: submit, show, watch and cancel a job that runs one command.

use std::thread;
use std::time::Duration;

use eyre::Result;
use protocol::JobBody;
use serde_json::Value;
use state::{Cores, JobId, JobSpec, Mebibytes, Millis};

use crate::arguments::JobAction;
use crate::client::Client;
use crate::{CommandOutcome, render};

/// How often a watched job's state is read.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

pub(crate) fn run(client: &Client, action: &JobAction) -> Result<CommandOutcome> {
    match action {
        JobAction::Submit { .. } => submit(client, action),
        JobAction::Show { job } => send_and_print(client, "GET", job),
        JobAction::Cancel { job } => send_and_print(client, "DELETE", job),
        JobAction::Watch { job } => watch(client, job),
    }
}

fn submit(client: &Client, action: &JobAction) -> Result<CommandOutcome> {
    let JobAction::Submit { pool, cores, memory, accelerators, run_ms, job, command } = action
    else {
        return Ok(CommandOutcome::Usage);
    };
    let spec = JobSpec {
        pool: pool.clone(),
        cores: Cores(*cores),
        memory: Mebibytes(*memory),
        accelerators: *accelerators,
        run_time: Millis(*run_ms),
        command: command.as_str().into(),
    };
    let body = serde_json::to_value(JobBody { job: job.clone(), spec })?;
    client.call_and_print("POST", "jobs", &body, render::job)
}

fn send_and_print(client: &Client, method: &str, job: &JobId) -> Result<CommandOutcome> {
    client.call_and_print(method, &format!("jobs/{job}"), &Value::Null, render::job)
}

fn watch(client: &Client, job: &JobId) -> Result<CommandOutcome> {
    let mut last_state = Value::Null;
    loop {
        let reply = client.send_control("GET", &format!("jobs/{job}"), &Value::Null)?;
        let state = reply.body["record"]["state"].clone();
        if reply.status != 200 {
            client.print_reply(&reply, render::job);
            return Ok(reply.outcome());
        }
        if state != last_state {
            client.print_reply(&reply, render::job);
            last_state = state.clone();
        }
        match state["state"].as_str() {
            Some("done") => return Ok(CommandOutcome::Done),
            Some("failed" | "impossible" | "cancelled") => return Ok(CommandOutcome::Refused),
            _ => thread::sleep(WATCH_INTERVAL),
        }
    }
}
