//! Sets up structured logs on standard error, and writes one line for each decision.
//!
//! The lines go through the [`LogQueue`], so no thread waits for their reader.

use coordination::Decision;
use state::{DaemonSettings, LogFormat};
use tracing_subscriber::EnvFilter;

use crate::log_queue::LogQueue;

/// Starts logging to standard error, with the format and filter of the settings, and returns the queue
/// of the lines.
///
/// # Errors
///
/// Returns the reason why `log_filter` of the settings cannot be parsed, or why the thread of the
/// queue cannot be started.
pub fn start(settings: &DaemonSettings) -> Result<LogQueue, String> {
    let filter =
        EnvFilter::try_new(&settings.log_filter).map_err(|error| format!("log_filter: {error}"))?;
    let queue = LogQueue::start(std::io::stderr())
        .map_err(|error| format!("cannot start the log thread: {error}"))?;
    let writer = queue.clone();
    let builder =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(move || writer.clone());
    match settings.log_format {
        LogFormat::Plain => builder.with_ansi(false).init(),
        LogFormat::Json => builder.json().flatten_event(true).init(),
    }
    LogQueue::redirect_panics();
    Ok(queue)
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
