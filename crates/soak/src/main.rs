//! Command line of `soak`. The doc comments are its help texts.
//!
//! Exit codes: 0 if no task ran twice, 1 if one did, 2 if the script could not be played.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::{Args, Bpaf, ParseFailure};
use soak::{OwnerEnd, ScriptKind, SoakReport, SoakSettings, run_script};
use state::Millis;

/// Exit code after a script that could not be played.
const NOT_PLAYED: u8 = 2;
/// Width of help texts, in characters.
const MAX_USAGE_WIDTH: usize = 100;

/// Starts real daemons beside stand-ins of the platform, plays a script of faults, and checks that
/// no task runs twice.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct SoakOptions {
    /// Path of pollenfalld.
    #[bpaf(long, argument("FILE"), fallback("target/release/pollenfalld".into()))]
    program: PathBuf,
    /// Folder for the settings and the logs of the daemons, and for the log of the runs.
    #[bpaf(long, argument("FOLDER"))]
    folder: PathBuf,
    /// What happens to the daemons when restart-cut or restart-another cuts minions off: none,
    /// term or kill.
    #[bpaf(long, argument("END"), fallback(OwnerEnd::None))]
    owner_end: OwnerEnd,
    /// Longest lease of a minion, in milliseconds.
    #[bpaf(long, argument("MS"), fallback(Millis(10_000)))]
    hold_max_ms: Millis,
    /// Rounds of the script.
    #[bpaf(long, argument("COUNT"), fallback(3))]
    rounds: u32,
    /// Time for which the script soak injects faults in each round, in seconds.
    #[bpaf(long, argument("S"), fallback(60))]
    duration_s: u64,
    /// The script soak delays no orders.
    #[bpaf(long)]
    without_late_orders: bool,
    /// Seed of the script.
    #[bpaf(long, argument("SEED"), fallback(1))]
    seed: u64,
    /// Script: restart-cut, restart-another, cut-soon, answers-lost-first, late-orders or soak.
    #[bpaf(positional("SCRIPT"))]
    script: ScriptKind,
}

fn main() -> ExitCode {
    let options = match soak_options().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(message) => return print_usage(&message),
    };
    match play(options) {
        Ok(report) if report.doubled_runs.is_empty() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("soak: {error:#}");
            ExitCode::from(NOT_PLAYED)
        }
    }
}

fn print_usage(message: &ParseFailure) -> ExitCode {
    message.print_message(MAX_USAGE_WIDTH);
    match message {
        ParseFailure::Stderr(_) => ExitCode::from(NOT_PLAYED),
        _ => ExitCode::SUCCESS,
    }
}

fn play(options: SoakOptions) -> eyre::Result<SoakReport> {
    let log = options.folder.join("runs.log");
    let report = run_script(&SoakSettings {
        program: options.program,
        folder: options.folder,
        script: options.script,
        owner_end: options.owner_end,
        hold_max: options.hold_max_ms,
        rounds: options.rounds,
        duration: Duration::from_secs(options.duration_s),
        has_late_orders: !options.without_late_orders,
        seed: options.seed,
    })?;
    report.write_log(&log)?;
    println!("{report}");
    Ok(report)
}
