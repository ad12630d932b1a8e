//! HTTP client for daemons, which tries the daemons of the command line in turn until one
//! answers.

use std::time::Duration;

use eyre::{Context, Result, eyre};
use serde_json::Value;
use state::ChangeId;
use transport::{HttpRequest, send_http};

use crate::arguments::Options;
use crate::{CommandOutcome, render};

/// Timeout of one call, longer than a daemon waits for a change to be in force.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Environment variable with the key that authenticates requests.
const KEY_ENV_VARIABLE: &str = "POLLENFALL_KEY";

/// HTTP status and JSON body of a daemon's answer; a body that is not JSON reads as null.
pub(crate) struct DaemonReply {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

impl DaemonReply {
    /// Returns the outcome of a command with this answer: 202, 502 and 504 leave the effect
    /// unknown.
    pub(crate) fn outcome(&self) -> CommandOutcome {
        match self.status {
            200 => CommandOutcome::Done,
            202 | 502 | 504 => CommandOutcome::Unknown,
            _ => CommandOutcome::Refused,
        }
    }
}

/// Addresses of the daemons, and the key and output format of the command line.
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

    /// Returns whether the command line names a daemon.
    pub(crate) fn has_daemon(&self) -> bool {
        !self.daemons.is_empty()
    }

    /// Sends one control request. Several daemons may receive the same body, so the body must let
    /// a daemon recognise a repeated request.
    pub(crate) fn send_control(
        &self,
        method: &str,
        path: &str,
        body: &Value,
    ) -> Result<DaemonReply> {
        let body = if body.is_null() { Vec::new() } else { serde_json::to_vec(body)? };
        self.send_request(method, &format!("/control/{path}"), &body)
    }

    /// Sends one request to the daemons in turn, until one answers with a status other than 503.
    pub(crate) fn send_request(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<DaemonReply> {
        let headers: Vec<(&str, &str)> =
            self.bearer.iter().map(|bearer| ("Authorization", bearer.as_str())).collect();
        let mut last_error = eyre!("no daemon was named; use --daemon ADDRESS");
        for daemon in &self.daemons {
            let request = HttpRequest {
                method,
                address: daemon,
                path,
                headers: &headers,
                body,
                timeout: CALL_TIMEOUT,
            };
            match send_http(&request) {
                Ok(answer) if answer.status == 503 => {
                    last_error = eyre!("{daemon}: the daemon accepts no work at present")
                }
                Ok(answer) => {
                    let body = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
                    return Ok(DaemonReply { status: answer.status, body });
                }
                Err(error) => last_error = eyre!("{daemon}: {error}"),
            }
        }
        Err(last_error)
    }

    /// Sends one control request and prints the answer.
    pub(crate) fn call_and_print(
        &self,
        method: &str,
        path: &str,
        body: &Value,
        render: fn(&Value) -> String,
    ) -> Result<CommandOutcome> {
        match self.send_control(method, path, body) {
            Ok(reply) => {
                self.print_reply(&reply, render);
                Ok(reply.outcome())
            }
            Err(error) => {
                eprintln!("pollenfall: {error:#}");
                Ok(CommandOutcome::Unreachable)
            }
        }
    }

    /// Prints a success to standard output and a failure to standard error; with `--json`, any
    /// answer to standard output.
    pub(crate) fn print_reply(&self, reply: &DaemonReply, render: fn(&Value) -> String) {
        if self.json {
            println!("{}", reply.body);
        } else if reply.status == 200 {
            print!("{}", render(&reply.body));
        } else {
            eprint!("{}", render::failure(&reply.body));
        }
    }
}

/// Generates a random change ID of 16 hexadecimal digits.
pub(crate) fn generate_change_id() -> Result<ChangeId> {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes)
        .map_err(|error| eyre!("cannot get random numbers from the system: {error}"))?;
    let text: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    Ok(text.parse()?)
}
