//! `pollenfall`: the command line of operators and submitters.
//!
//! Exit codes: 0 done; 1 refused, nothing changed or ran; 2 wrong usage or a
//! fault in a file; 3 not known to be done, or not yet in force; 4 no daemon
//! could be reached.

mod arguments;
mod client;
mod diff;
mod job;
mod keys;
mod operate;
mod queue;
mod render;

use std::process::ExitCode;

use arguments::{Command, Options, options};
use client::Client;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CommandOutcome {
    Done,
    Refused,
    Usage,
    Unknown,
    Unreachable,
}

impl CommandOutcome {
    fn exit_code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Unknown => 3,
            Self::Unreachable => 4,
        }
    }
}

fn main() -> ExitCode {
    let options: Options = options().run();
    match run(&options) {
        Ok(outcome) => ExitCode::from(outcome.exit_code()),
        Err(error) => {
            eprintln!("pollenfall: {error:#}");
            ExitCode::from(CommandOutcome::Usage.exit_code())
        }
    }
}

fn run(options: &Options) -> eyre::Result<CommandOutcome> {
    let client = Client::new(options)?;
    match &options.command {
        Command::Plans(action) => operate::apply_list(&client, action, state::parse_plans),
        Command::Grants(action) => operate::apply_list(&client, action, state::parse_grants),
        Command::Key(action) => keys::run(&client, action),
        Command::DataCentre(action) => operate::data_centre(&client, action),
        Command::Pool(action) => operate::pool(&client, action),
        Command::Vm(action) => operate::vm(&client, action),
        Command::Status => operate::show(&client, "status", render::status),
        Command::Measures => operate::show(&client, "measures", render::measures),
        Command::Config => operate::show(&client, "config", render::pretty),
        Command::Job(action) => job::run(&client, action),
        Command::Queue(action) => queue::run(&client, action),
    }
}
