//! Guards against clients that exhaust the memory or the descriptors of a daemon, or that keep
//! its ordinary clients from being answered.
//!
//! Each test starts a daemon on loopback addresses, lets a small crowd misbehave, and checks
//! while the crowd is still connected that the process is alive, that its memory and its open
//! descriptors are within the limits of the settings, and that one ordinary request is answered.

#[path = "untrusted_clients/crowd.rs"]
mod crowd;
// Another test program uses the rest of this module.
#[path = "untrusted_clients/process.rs"]
#[allow(dead_code)]
mod process;

use crowd::{
    Crowd, fall_silent_after, send_and_fall_silent, send_frame_parts, send_ordinary_request,
    send_without_reading,
};
use process::TestDaemon;
use rstest::rstest;

/// Memory and descriptors of the VM in the settings of the tests.
const MEMORY_MIB: u64 = 96;
const MAX_DESCRIPTORS: usize = 400;
const LIMITS: &str = "Limits.MemoryMb=96\nLimits.MaxFds=400";

/// Clients that send without end, and what each sends at most: together more than the VM has.
const SENDERS: usize = 8;
const ENDLESS_BYTES: usize = 24 << 20;
/// Bytes of pipelined requests of each client; a request of 27 bytes costs a server that
/// queues it many times its length.
const PIPELINED_BYTES: usize = 1 << 20;
/// Part of a frame that each peer sends: just less than the frame.
const LARGE_FRAME_BYTES: usize = 14 << 20;
/// More than an address serves at one time with the limits of the tests.
const SLOW_CLIENTS: usize = 60;
/// Clients that stop after most of a large body.
const BODY_CLIENTS: usize = 64;
const HALF_BODY_BYTES: usize = 800_000;
const UNREAD_REQUEST: &[u8] = b"GET /metrics HTTP/1.1\r\n\r\n";
/// Bodies within the limit on their size.
const NESTED_BODY_BYTES: usize = 900_000;
const DENSE_BODY_BYTES: usize = 1_000_000;
/// More connections than the VM has descriptors.
const MANY_CONNECTIONS: usize = 500;

/// Addresses of a daemon on the platform, in the order of [`TestDaemon::address`].
const SUBMITTERS: usize = 0;
const READINESS: usize = 1;
const INTERNAL: usize = 2;
/// Addresses of a daemon in product mode.
const CALLERS: usize = 0;
const PEERS: usize = 1;

const SUBMISSION: &str = "POST /queue/ HTTP/1.1\r\nHost: a.example\r\nDeadline-Ms: 3000\r\n\
    Content-Length: 2\r\nConnection: close\r\n\r\n{}";
const READINESS_PROBE: &str =
    "GET /api/readyz HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n";
const METRICS: &str = "GET /metrics HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n";
const HEALTH: &str = "GET /health HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n";

/// Answers of a daemon without a store.
const NOT_RUN: &str = "{\"Error\":\"not run\"}";
const NOT_READY: &str = "not ready, shared records";

fn check_platform_daemon(mut daemon: TestDaemon, crowd: Crowd) {
    check_answers(&daemon);
    check_limits(&mut daemon, MEMORY_MIB, MAX_DESCRIPTORS);
    drop(crowd);
}

fn check_answers(daemon: &TestDaemon) {
    send_ordinary_request(daemon.address(SUBMITTERS), SUBMISSION, NOT_RUN);
    send_ordinary_request(daemon.address(READINESS), READINESS_PROBE, NOT_READY);
    send_ordinary_request(daemon.address(INTERNAL), METRICS, "pollenfall_");
}

fn check_product_daemon(mut daemon: TestDaemon, crowd: Crowd) {
    send_ordinary_request(daemon.address(CALLERS), HEALTH, "alive");
    check_limits(&mut daemon, MEMORY_MIB, MAX_DESCRIPTORS);
    drop(crowd);
}

fn check_limits(daemon: &mut TestDaemon, memory_mib: u64, descriptors: usize) {
    assert!(daemon.is_alive(), "the daemon has ended");
    let (peak_kib, open) = (daemon.peak_memory_kib(), daemon.count_descriptors());
    eprintln!("peak of the memory {peak_kib} KiB, {open} open descriptors");
    assert!(peak_kib <= memory_mib << 10, "{peak_kib} KiB, allowed are {memory_mib} MiB");
    assert!(open <= descriptors, "{open} open descriptors, allowed are {descriptors}");
}

/// Case (a): heads over the limit, heads without an end, endless empty lines.
#[rstest]
#[case::long_line(b"GET /", b"a")]
#[case::many_headers(b"GET / HTTP/1.1\r\n", b"x-a: b\r\n")]
#[case::empty_lines(b"", b"\r\n")]
#[case::no_request(b"", b"\x00\xff")]
fn endless_heads_stay_within_the_memory(
    #[values(SUBMITTERS, READINESS, INTERNAL)] address: usize,
    #[case] start: &[u8],
    #[case] piece: &[u8],
) {
    let daemon = TestDaemon::start_on_platform(LIMITS, None);
    let address = daemon.address(address);
    let crowd = send_without_reading(address, SENDERS, start, piece, ENDLESS_BYTES);
    check_platform_daemon(daemon, crowd);
}

/// Cases (b) and (c): many pipelined requests without the usual headers, responses unread.
#[rstest]
#[case::submitters(SUBMITTERS, b"GET /queue/ HTTP/1.1\r\n\r\n")]
#[case::submissions(SUBMITTERS, b"POST /queue/ HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}")]
#[case::readiness(READINESS, b"GET /api/readyz HTTP/1.1\r\n\r\n")]
#[case::metrics(INTERNAL, b"GET /metrics HTTP/1.1\r\n\r\n")]
#[case::queues(INTERNAL, b"GET /queues/a HTTP/1.1\r\n\r\n")]
fn unread_responses_stay_within_the_memory(#[case] address: usize, #[case] request: &[u8]) {
    let daemon = TestDaemon::start_on_platform(LIMITS, None);
    let address = daemon.address(address);
    let crowd = send_without_reading(address, SENDERS, b"", request, PIPELINED_BYTES);
    check_platform_daemon(daemon, crowd);
}

/// Case (d): connections that are silent, or stop halfway through a head or a body.
#[rstest]
#[case::silent(b"")]
#[case::half_a_head(b"POST /queue/ HTTP/1.1\r\nHost: a")]
#[case::half_a_body(b"POST /queue/ HTTP/1.1\r\nContent-Length: 5000\r\n\r\n{")]
#[case::half_a_chunk(b"POST /queue/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3e8\r\n{")]
fn silent_clients_occupy_no_reader(
    #[values(SUBMITTERS, READINESS, INTERNAL)] address: usize,
    #[case] start: &[u8],
) {
    let daemon = TestDaemon::start_on_platform(LIMITS, None);
    let crowd = fall_silent_after(daemon.address(address), SENDERS, start);
    check_platform_daemon(daemon, crowd);
}

/// Case (d): connections that send a byte now and then, as many as an address serves.
#[rstest]
#[case::submitters_head(SUBMITTERS, b"", b"GET /queue/ HTTP/1.1\r\nHost: ")]
#[case::submitters_lines(SUBMITTERS, b"", b"\r\n")]
#[case::submitters_body(SUBMITTERS, b"POST /queue/ HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", b"a")]
#[case::readiness(READINESS, b"", b"GET /api/readyz HTTP/1.1\r\nHost: ")]
#[case::internal(INTERNAL, b"", b"GET /metrics HTTP/1.1\r\nHost: ")]
fn slow_clients_occupy_no_reader(
    #[case] address: usize,
    #[case] start: &[u8],
    #[case] bytes: &'static [u8],
) {
    let daemon = TestDaemon::start_on_platform(LIMITS, None);
    let crowd = fall_silent_after(daemon.address(address), SLOW_CLIENTS, start);
    let slow = crowd.send_slowly(bytes);
    check_platform_daemon(daemon, Crowd::default());
    drop(slow);
}

/// The whole crowd at once, on all addresses, with the limits of the tests and with those of the
/// smallest VM of the larger deployments.
#[rstest]
#[case(LIMITS, MANY_CONNECTIONS, MEMORY_MIB, MAX_DESCRIPTORS)]
#[case("Limits.MemoryMb=160\nLimits.MaxFds=4100", 2_000, 160, 4_100)]
fn the_whole_crowd_stays_within_the_limits(
    #[case] limits: &str,
    #[case] connections: usize,
    #[case] memory_mib: u64,
    #[case] descriptors: usize,
) {
    let mut daemon = TestDaemon::start_on_platform(limits, None);
    let mut crowd = Crowd::default();
    for index in [SUBMITTERS, READINESS, INTERNAL] {
        let address = daemon.address(index);
        let half_body = b"POST /queues/a/b HTTP/1.1\r\nContent-Length: 900000\r\n\r\n{";
        crowd = crowd
            .and(fall_silent_after(address, connections, b""))
            .and(send_without_reading(address, SENDERS, b"GET /", b"a", ENDLESS_BYTES))
            .and(send_without_reading(address, SENDERS, b"", UNREAD_REQUEST, PIPELINED_BYTES))
            .and(send_without_reading(address, BODY_CLIENTS, half_body, b" ", HALF_BODY_BYTES))
            .and(fall_silent_after(address, connections, b"GET /queue/ HTTP/1.1\r\nHost: a"));
    }
    check_answers(&daemon);
    check_limits(&mut daemon, memory_mib, descriptors);
    drop(crowd);
}

/// A body over the limit, with a declared length and without.
#[rstest]
#[case::declared(b"POST /queue/ HTTP/1.1\r\nContent-Length: 999999999\r\n\r\n", b"aaaaaaaa")]
#[case::chunked(b"POST /queue/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", b"4\r\naaaa\r\n")]
#[case::endless_chunk(b"POST /queue/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", b"0")]
fn endless_bodies_stay_within_the_memory(#[case] start: &[u8], #[case] piece: &[u8]) {
    let daemon = TestDaemon::start_on_platform(LIMITS, None);
    let address = daemon.address(SUBMITTERS);
    let crowd = send_without_reading(address, SENDERS, start, piece, ENDLESS_BYTES);
    check_platform_daemon(daemon, crowd);
}

/// A body that is nested more deeply than a recursive parser has stack for.
#[rstest]
#[case::submission(SUBMITTERS, "POST /queue/")]
#[case::queue(INTERNAL, "PUT /queues/a/b")]
fn nested_bodies_end_no_daemon(
    #[case] address: usize,
    #[case] line: &str,
    #[values("[", "{\"steps\":[")] part: &str,
) {
    let daemon = TestDaemon::start_on_platform(LIMITS, None);
    let body = part.repeat(NESTED_BODY_BYTES / part.len());
    let request = format!("{line} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let crowd = send_and_fall_silent(daemon.address(address), 1, request.as_bytes());
    check_platform_daemon(daemon, crowd);
}

/// A body whose values take many times its length in memory once they are decoded.
#[rstest]
#[case::steps(SUBMITTERS, "POST /queue/", r#"{"Spec":"","Steps":["#, "{},", "{}]}")]
#[case::fields(SUBMITTERS, "POST /queue/", r#"{"Spec":"","Steps":[{"a":["#, "0,", "0]}]}")]
#[case::queue(INTERNAL, "PUT /queues/a/b", r#"{"payload":"","steps":["#, r#"{"tasks":1},"#, "{}]}")]
#[case::queue_values(INTERNAL, "PUT /queues/a/b", "[", "0,", "0]")]
fn dense_bodies_stay_within_the_memory(
    #[case] address: usize,
    #[case] line: &str,
    #[case] start: &str,
    #[case] part: &str,
    #[case] end: &str,
) {
    let daemon = TestDaemon::start_on_platform(LIMITS, None);
    let body = format!("{start}{}{end}", part.repeat(DENSE_BODY_BYTES / part.len()));
    let head = format!("{line} HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body.len());
    let request = head + &body;
    let crowd = send_and_fall_silent(daemon.address(address), SENDERS, request.as_bytes());
    check_platform_daemon(daemon, crowd);
}

/// Case (e): more connections than descriptors, silent or halfway through a head.
#[rstest]
#[case::silent(b"")]
#[case::half_a_head(b"GET /queue/ HTTP/1.1\r\nHost: a")]
fn more_connections_than_descriptors_are_bounded(
    #[values(SUBMITTERS, READINESS, INTERNAL)] address: usize,
    #[case] start: &[u8],
) {
    let daemon = TestDaemon::start_on_platform(LIMITS, None);
    let crowd = fall_silent_after(daemon.address(address), MANY_CONNECTIONS, start);
    check_platform_daemon(daemon, crowd);
}

/// Case (e) with settings that name more descriptors than the operating system grants: the
/// daemon goes on when it gets none for a new connection.
#[test]
fn missing_descriptors_stop_no_listener() {
    let descriptor_limit = MAX_DESCRIPTORS as u32;
    let limits = "Limits.MemoryMb=96\nLimits.MaxFds=8192";
    let daemon = TestDaemon::start_on_platform(limits, Some(descriptor_limit));
    let crowd = fall_silent_after(daemon.address(SUBMITTERS), MANY_CONNECTIONS, b"");
    check_platform_daemon(daemon, crowd);
}

/// A deadline that no clock can reach neither ends the daemon nor keeps the request for good.
#[test]
fn an_endless_deadline_is_answered() {
    let daemon = TestDaemon::start_on_platform(LIMITS, None);
    let address = daemon.address(SUBMITTERS);
    let request = SUBMISSION.replace("3000", &u64::MAX.to_string());
    send_ordinary_request(address, &request, NOT_RUN);
    let crowd = fall_silent_after(address, SENDERS, request.as_bytes());
    check_platform_daemon(daemon, crowd);
}

/// Cases (a), (b) and (d) on the callers' address of the product.
#[rstest]
#[case::long_line(b"GET /", b"a", ENDLESS_BYTES)]
#[case::empty_lines(b"", b"\r\n", ENDLESS_BYTES)]
#[case::pipelined(b"", b"GET /health HTTP/1.1\r\n\r\n", PIPELINED_BYTES)]
#[case::half_a_body(b"POST /call/a/ HTTP/1.1\r\nContent-Length: 5000\r\n\r\n{", b"{", 0)]
fn callers_of_the_product_stay_within_the_memory(
    #[case] start: &[u8],
    #[case] piece: &[u8],
    #[case] limit: usize,
) {
    let daemon = TestDaemon::start_product();
    let crowd = send_without_reading(daemon.address(CALLERS), SENDERS, start, piece, limit);
    check_product_daemon(daemon, crowd);
}

/// Bodies of control requests whose values take many times their length once they are decoded,
/// from clients without a key.
#[rstest]
#[case::job("POST /control/jobs", r#"{"a":["#, "0,", "0]}")]
#[case::vm("POST /control/vms/vm-1", r#"{"a":["#, "0,", "0]}")]
#[case::change("POST /control/change", r#"{"a":["#, "0,", "0]}")]
#[case::edits("POST /control/change", r#"{"change":"a","expect":1,"edits":["#, "{},", "{}]}")]
#[case::edit("POST /control/change", r#"{"change":"a","expect":1,"edits":[{"a":["#, "0,", "0]}]}")]
fn dense_control_bodies_stay_within_the_memory(
    #[case] line: &str,
    #[case] start: &str,
    #[case] part: &str,
    #[case] end: &str,
) {
    let daemon = TestDaemon::start_product();
    let body = format!("{start}{}{end}", part.repeat(DENSE_BODY_BYTES / part.len()));
    let head = format!("{line} HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body.len());
    let request = head + &body;
    let crowd = send_and_fall_silent(daemon.address(CALLERS), SENDERS, request.as_bytes());
    check_product_daemon(daemon, crowd);
}

const HANDSHAKE: &str = "GET /peer HTTP/1.1\r\nHost: a.example\r\nUpgrade: websocket\r\n\
    Connection: Upgrade\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\
    Sec-WebSocket-Version: 13\r\n\r\n";

/// Peers that send heads without an end.
#[test]
fn endless_handshakes_stay_within_the_memory() {
    let daemon = TestDaemon::start_product();
    let peers = daemon.address(PEERS);
    let crowd = send_without_reading(peers, SENDERS, b"GET /", b"a", ENDLESS_BYTES);
    check_product_daemon(daemon, crowd);
}

/// Peers that send frames that are larger than any frame of a daemon, or messages of such parts.
#[rstest]
#[case::large_frame(&[0x82, 0xff, 0, 0, 0, 0, 0, 0xef, 0xff, 0xff, 1, 2, 3, 4])]
#[case::many_parts(&[0x02, 0xff, 0, 0, 0, 0, 0, 0xef, 0xff, 0xff, 1, 2, 3, 4])]
fn large_frames_stay_within_the_memory(#[case] head: &[u8]) {
    let daemon = TestDaemon::start_product();
    let peers = daemon.address(PEERS);
    let handshake = HANDSHAKE.as_bytes();
    let crowd = send_frame_parts(peers, SENDERS, handshake, head, LARGE_FRAME_BYTES);
    check_product_daemon(daemon, crowd);
}

/// Case (e) on the addresses of the product.
#[rstest]
fn connections_of_the_product_are_bounded(#[values(CALLERS, PEERS)] address: usize) {
    let daemon = TestDaemon::start_product();
    let crowd = fall_silent_after(daemon.address(address), MANY_CONNECTIONS, b"");
    check_product_daemon(daemon, crowd);
}
