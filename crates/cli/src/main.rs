//! `pollenfall`: the command-line program of operators and submitters.
//!
//! Exit codes:
//! - 0: done.
//! - 1: refused; nothing changed or ran. Of `check`: a file has findings.
//! - 2: wrong usage, or a fault in a file. Of `check`: a file cannot be read.
//! - 3: not known to be done, or not yet in force.
//! - 4: no daemon could be reached.

mod arguments;
mod client;
mod diff;
mod file_check;
mod job;
mod keys;
mod operator;
mod queue;
mod render;

use std::process::ExitCode;

use arguments::{Command, Options, options};
use bpaf::{Args, ParseFailure};
use check::FileKind;
use client::Client;

/// Width of help texts, in characters.
const MAX_USAGE_WIDTH: usize = 100;

/// Outcome of a command, which sets the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CommandOutcome {
    Done,
    Refused,
    Findings,
    Usage,
    Unknown,
    Unreachable,
}

impl CommandOutcome {
    fn exit_code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused | Self::Findings => 1,
            Self::Usage => 2,
            Self::Unknown => 3,
            Self::Unreachable => 4,
        }
    }
}

fn main() -> ExitCode {
    let options: Options = match options().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(message) => return print_usage(&message),
    };
    match run(&options) {
        Ok(outcome) => ExitCode::from(outcome.exit_code()),
        Err(error) => {
            eprintln!("pollenfall: {error:#}");
            ExitCode::from(CommandOutcome::Usage.exit_code())
        }
    }
}

/// Prints a help text or the fault of a command line. `bpaf` itself would exit with 1 on a fault,
/// which means that a daemon has refused the command.
fn print_usage(message: &ParseFailure) -> ExitCode {
    message.print_message(MAX_USAGE_WIDTH);
    match message {
        ParseFailure::Stderr(_) => ExitCode::from(CommandOutcome::Usage.exit_code()),
        _ => ExitCode::SUCCESS,
    }
}

fn run(options: &Options) -> eyre::Result<CommandOutcome> {
    let client = Client::new(options)?;
    match &options.command {
        Command::Check(arguments) => file_check::run(&client, arguments),
        Command::Plans(action) => operator::apply_list(&client, action, FileKind::Plans),
        Command::Grants(action) => operator::apply_list(&client, action, FileKind::Grants),
        Command::Key(action) => keys::run(&client, action),
        Command::DataCentre(action) => operator::change_data_centre(&client, action),
        Command::Pool(action) => operator::change_pool(&client, action),
        Command::Vm(action) => operator::control_vm(&client, action),
        Command::Status => operator::print_document(&client, "status", render::status),
        Command::Measures => operator::print_document(&client, "measures", render::measures),
        Command::Config => operator::print_document(&client, "config", render::indented_json),
        Command::Job(action) => job::run(&client, action),
        Command::Queue(action) => queue::run(&client, action),
    }
}
