//! Calls to daemons.

use std::time::Duration;

use eyre::{Context, Result, eyre};
use serde_json::Value;
use state::ChangeId;
use transport::{HttpRequest, send_http};

use crate::arguments::Options;
use crate::{CommandOutcome, render};

/// Longer than a daemon waits for a change to be in force.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Environment variable with the key to show.
const KEY_ENV_VARIABLE: &str = "POLLENFALL_KEY";

/// A daemon's answer.
pub(crate) struct DaemonReply {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

impl DaemonReply {
    pub(crate) fn outcome(&self) -> CommandOutcome {
        match self.status {
            200 => CommandOutcome::Done,
            202 | 502 | 504 => CommandOutcome::Unknown,
            _ => CommandOutcome::Refused,
        }
    }
}

/// Asks daemons in turn until one answers.
pub(crate) struct Client {
    daemons: Vec<String>,
    bearer: Option<String>,
    pub(crate) json: bool,
}

impl Client {
    pub(crate) fn new(options: &Options) -> Result<Self> {
        let key = match &options.key_file {
            Some(path) => {
                let text = std::fs::read_to_string(path);
                Some(text.wrap_err_with(|| path.display().to_string())?.trim().to_owned())
            }
            None => std::env::var(KEY_ENV_VARIABLE).ok(),
        };
        let bearer = key.map(|key| format!("Bearer {key}"));
        Ok(Self { daemons: options.daemon.clone(), bearer, json: options.json })
    }

    /// Makes one call. The same body may go to several daemons, so it must be
    /// one that a daemon recognises when it comes again.
    pub(crate) fn call(&self, method: &str, path: &str, body: &Value) -> Result<DaemonReply> {
        let body = if body.is_null() { Vec::new() } else { serde_json::to_vec(body)? };
        self.send(method, &format!("/control/{path}"), &body)
    }

    /// Sends bytes to the first daemon that takes them.
    pub(crate) fn send(&self, method: &str, path: &str, body: &[u8]) -> Result<DaemonReply> {
        let headers: Vec<(&str, &str)> =
            self.bearer.iter().map(|bearer| ("Authorization", bearer.as_str())).collect();
        let mut last = eyre!("no daemon was named; use --daemon ADDRESS");
        for daemon in &self.daemons {
            let call = HttpRequest {
                method,
                address: daemon,
                path,
                headers: &headers,
                body,
                timeout: CALL_TIMEOUT,
            };
            match send_http(&call) {
                Ok(answer) if answer.status == 503 => last = eyre!("{daemon}: takes no work now"),
                Ok(answer) => {
                    let body = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
                    return Ok(DaemonReply { status: answer.status, body });
                }
                Err(error) => last = eyre!("{daemon}: {error}"),
            }
        }
        Err(last)
    }

    /// Makes one call, and shows its answer.
    pub(crate) fn call_and_print(
        &self,
        method: &str,
        path: &str,
        body: &Value,
        render: fn(&Value) -> String,
    ) -> Result<CommandOutcome> {
        match self.call(method, path, body) {
            Ok(reply) => {
                self.show(&reply, render);
                Ok(reply.outcome())
            }
            Err(error) => {
                eprintln!("pollenfall: {error:#}");
                Ok(CommandOutcome::Unreachable)
            }
        }
    }

    pub(crate) fn show(&self, reply: &DaemonReply, render: fn(&Value) -> String) {
        if self.json {
            println!("{}", reply.body);
        } else if reply.status == 200 {
            print!("{}", render(&reply.body));
        } else {
            eprint!("{}", render::failure(&reply.body));
        }
    }
}

/// A new change's name.
pub(crate) fn generate_change_id() -> Result<ChangeId> {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).map_err(|error| eyre!("no random numbers: {error}"))?;
    let text: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    Ok(text.parse()?)
}
