//! Guards against daemons that wait for the reader of their log.
//!
//! A daemon writes to a pipe that nobody reads, or whose reader is gone. Once the pipe is full, the
//! daemon must answer its clients and probes, refuse clients over its limits, count the lines that it
//! drops, and stop when it is told to.

// These modules have more than this test program uses.
#[path = "untrusted_clients/crowd.rs"]
#[allow(dead_code)]
mod crowd;
#[path = "untrusted_clients/process.rs"]
#[allow(dead_code)]
mod process;

use std::time::Duration;

use crowd::{fall_silent_after, send_ordinary_request};
use process::{LogReader, TestDaemon};
use rstest::rstest;

const LIMITS: &str = "Limits.MemoryMb=96\nLimits.MaxFds=400";
/// Requests whose lines are longer together than what a pipe holds.
const REQUESTS: usize = 1_500;
/// More connections than an address serves with these limits.
const CROWD: usize = 250;
/// Time after SIGTERM in which the platform waits for the end of a process.
const GRACE: Duration = Duration::from_secs(6);

/// Addresses of a daemon on the platform.
const SUBMITTERS: usize = 0;
const READINESS: usize = 1;
const INTERNAL: usize = 2;

const READINESS_PROBE: &str =
    "GET /api/readyz HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n";
const METRICS: &str = "GET /metrics HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n";
const NOT_RUN: &str = "{\"Error\":\"not run\"}";
const NOT_READY: &str = "not ready, shared records";

/// Sends a submission with a long path, which the line of its answer holds.
fn send_submission(daemon: &TestDaemon) {
    let path = "a".repeat(240);
    let submission = format!(
        "POST /queue/{path} HTTP/1.1\r\nHost: a.example\r\nDeadline-Ms: 3000\r\n\
         Content-Length: 2\r\nConnection: close\r\n\r\n{{}}"
    );
    send_ordinary_request(daemon.address(SUBMITTERS), &submission, NOT_RUN);
}

#[rstest]
#[case::silent(LogReader::Silent)]
#[case::closed(LogReader::Closed)]
fn daemon_waits_for_no_reader_of_its_log(#[case] reader: LogReader) {
    let mut daemon = TestDaemon::start_with_log(LIMITS, None, reader);
    for _ in 0..REQUESTS {
        send_submission(&daemon);
    }
    // The thread that accepts connections logs a line about the ones that it refuses.
    let crowd = fall_silent_after(daemon.address(SUBMITTERS), CROWD, b"");
    drop(crowd);
    send_submission(&daemon);
    send_ordinary_request(daemon.address(READINESS), READINESS_PROBE, NOT_READY);
    send_ordinary_request(daemon.address(INTERNAL), METRICS, "pollenfall_dropped_lines_total ");
    assert!(daemon.is_alive(), "the daemon has ended");
    assert!(daemon.stops_within(GRACE), "the daemon has not stopped in time");
}
