//! Sets up structured logs on standard error, and writes one line for each decision.

use coordination::Decision;
use state::{DaemonSettings, LogFormat};
use tracing_subscriber::EnvFilter;

/// Starts logging to standard error, with the format and filter of the settings.
///
/// # Errors
///
/// Returns the reason why `log_filter` of the settings cannot be parsed.
pub fn start(settings: &DaemonSettings) -> Result<(), String> {
    let filter = EnvFilter::try_new(&settings.log_filter).map_err(|error| error.to_string())?;
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match settings.log_format {
        LogFormat::Plain => builder.with_ansi(false).init(),
        LogFormat::Json => builder.json().flatten_event(true).init(),
    }
    Ok(())
}

/// Logs one routing or placement decision.
pub fn log_decision(decision: &Decision) {
    tracing::info!(
        target: "decision",
        subject = decision.subject,
        id = &*decision.id,
        team = decision.team.as_ref().map_or("-", |team| team.as_str()),
        pool = decision.pool.as_ref().map_or("-", |pool| pool.as_str()),
        choice = &*decision.choice,
        reason = &*decision.reason,
    );
}
