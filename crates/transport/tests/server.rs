//! Tests of the HTTP server with clients on loopback.
//!
//! The tests guard against a server that treats ordinary clients otherwise than HTTP says, that
//! hands over a request which it also refuses, and that lets a client exceed a limit.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;
use state::{AddressLimits, ClientAddress, ClientLimits, ClientTimeouts};
use transport::{ClientCause, HttpServer, OutgoingResponse, Refusal};

/// Time after which a test takes the server for hung.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(300);
const SEED: [u8; 32] = [7; 32];

/// Server that answers each request with its method, URL and the length of its body.
struct TestServer {
    server: Arc<HttpServer>,
    /// Number of requests that were handed over.
    received: Arc<AtomicUsize>,
}

fn limits() -> AddressLimits {
    ClientLimits::default().of(ClientAddress::Requests)
}

fn write_refusal(refusal: Refusal) -> OutgoingResponse {
    OutgoingResponse::new(refusal.status, refusal.reason).with_header("X-Refused", "yes")
}

impl TestServer {
    fn start(limits: AddressLimits) -> Self {
        let address = "127.0.0.1:0".parse().expect("an address");
        let server = HttpServer::listen(address, ClientAddress::Requests, limits, write_refusal);
        let server = Arc::new(server.expect("the server listens"));
        let received = Arc::new(AtomicUsize::new(0));
        let (receiver, counter) = (Arc::clone(&server), Arc::clone(&received));
        thread::spawn(move || {
            while let Some(request) = receiver.receive() {
                counter.fetch_add(1, Ordering::SeqCst);
                if request.url() == "/dropped" {
                    continue;
                }
                let length = request.body().len();
                let text = format!("{} {} {length}", request.method(), request.url());
                request.respond(OutgoingResponse::new(200, text).with_header("X-Ordinary", "yes"));
            }
        });
        Self { server, received }
    }

    fn address(&self) -> SocketAddr {
        self.server.local_address()
    }

    fn received(&self) -> usize {
        self.received.load(Ordering::SeqCst)
    }

    /// Sends `bytes` on a new connection and reads until the server closes it.
    fn exchange(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect();
        // The server may close before it has read everything.
        let _ = stream.write_all(bytes);
        read_to_end(&mut stream)
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address()).expect("connect");
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("set the timeout");
        stream
    }
}

fn read_to_end(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    if let Err(error) = stream.read_to_end(&mut answer) {
        assert_ne!(error.kind(), std::io::ErrorKind::WouldBlock, "the server hangs");
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Returns the answers without the date.
fn without_date(answer: &str) -> String {
    let lines = answer.split("\r\n").filter(|line| !line.starts_with("Date: "));
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn one_connection_serves_several_requests() {
    let server = TestServer::start(limits());
    let first = "POST /a?b=c HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello";
    let second =
        "PUT /d HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n";
    let third = "GET /e HTTP/1.0\r\nConnection: close\r\n\r\n";
    let answer = server.exchange([first, second, third].concat().as_bytes());
    insta::assert_snapshot!(without_date(&answer));
}

#[test]
fn head_has_the_length_and_no_body() {
    let server = TestServer::start(limits());
    let answer = server.exchange(b"HEAD /a HTTP/1.1\r\nConnection: close\r\n\r\n");
    insta::assert_snapshot!(without_date(&answer));
}

#[test]
fn a_client_that_expects_it_is_told_to_continue() {
    let server = TestServer::start(limits());
    let mut stream = server.connect();
    let head = b"POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\
        Connection: close\r\n\r\n";
    stream.write_all(head).expect("send the head");
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).expect("read the interim response");
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"abc").expect("send the body");
    assert!(read_to_end(&mut stream).ends_with("POST /a 3"));
}

#[test]
fn a_half_closed_connection_gets_its_answer() {
    let server = TestServer::start(limits());
    let mut stream = server.connect();
    stream.write_all(b"GET /a HTTP/1.1\r\n\r\n").expect("send the request");
    stream.shutdown(Shutdown::Write).expect("close the sending side");
    assert!(read_to_end(&mut stream).ends_with("GET /a 0"));
}

#[test]
fn a_body_of_the_largest_size_is_served() {
    let limits = limits();
    let server = TestServer::start(limits);
    let length = limits.body_bytes;
    let head = format!("POST /a HTTP/1.1\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n");
    let answer = server.exchange(&[head.as_bytes(), &vec![b'a'; length]].concat());
    assert!(answer.ends_with(&format!("POST /a {length}")), "{answer}");
}

#[test]
fn a_request_without_a_response_is_answered() {
    let server = TestServer::start(limits());
    let answer = server.exchange(b"GET /dropped HTTP/1.1\r\nConnection: close\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 500"), "{answer}");
}

#[test]
fn a_client_that_reads_late_gets_every_response() {
    let server = TestServer::start(limits());
    let mut stream = server.connect();
    let requests = b"GET /a HTTP/1.1\r\n\r\n".repeat(2_000);
    let mut writer = stream.try_clone().expect("share the connection");
    let writing = thread::spawn(move || {
        writer.write_all(&requests).expect("the server reads on");
        writer.shutdown(Shutdown::Write).expect("close the sending side");
    });
    let answer = read_to_end(&mut stream);
    writing.join().expect("the writer ends");
    assert_eq!(answer.matches("GET /a 0").count(), 2_000);
}

/// A refusal says that the request has not run, so the request must not be handed over.
#[rstest]
#[case::head("431", &format!("GET /{} HTTP/1.1\r\n\r\n", "a".repeat(9_000)))]
#[case::headers("431", &format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(200)))]
#[case::malformed("400", "GET\x00/ HTTP/1.1\r\n\r\n")]
#[case::length("400", "POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n")]
#[case::declared("413", "POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n")]
#[case::chunk("400", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")]
#[case::cut_off("400", "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc")]
fn faulty_requests_are_refused_and_not_handed_over(#[case] status: &str, #[case] request: &str) {
    let server = TestServer::start(limits());
    let mut stream = server.connect();
    stream.write_all(request.as_bytes()).expect("send the request");
    stream.shutdown(Shutdown::Write).expect("close the sending side");
    let answer = read_to_end(&mut stream);
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer:?}");
    assert_eq!(server.received(), 0);
}

#[test]
fn a_chunked_body_over_the_limit_is_refused() {
    let server = TestServer::start(AddressLimits { body_bytes: 10_000, ..limits() });
    let chunks = "3e8\r\n".to_owned() + &"a".repeat(1_000) + "\r\n";
    let request = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned()
        + &chunks.repeat(20)
        + "0\r\n\r\n";
    let answer = server.exchange(request.as_bytes());
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains("X-Refused: yes"), "{answer}");
    assert_eq!(server.received(), 0);
}

#[rstest]
#[case::head("GET / HTTP/1.1\r\n", "HTTP/1.1 408", ClientCause::HeadTimeout)]
#[case::body(
    "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\na",
    "HTTP/1.1 408",
    ClientCause::BodyTimeout
)]
#[case::silent("", "", ClientCause::IdleTimeout)]
fn slow_clients_are_closed(
    #[case] request: &str,
    #[case] answer_start: &str,
    #[case] cause: ClientCause,
) {
    let mut timeouts = ClientTimeouts::default();
    match cause {
        ClientCause::HeadTimeout => timeouts.head = SHORT,
        ClientCause::BodyTimeout => timeouts.body = SHORT,
        _ => timeouts.idle = SHORT,
    }
    let server = TestServer::start(AddressLimits { timeouts, ..limits() });
    let answer = server.exchange(request.as_bytes());
    assert!(answer.starts_with(answer_start), "{answer}");
    assert_eq!(answer.is_empty(), answer_start.is_empty(), "{answer}");
    assert_eq!(server.server.counters().count(cause), 1);
    assert_eq!(server.received(), 0);
}

#[test]
fn the_connection_that_was_idle_longest_gives_way() {
    let server = TestServer::start(AddressLimits { connections: 2, ..limits() });
    let mut first = server.connect();
    first.write_all(b"GET /a HTTP/1.1\r\n\r\n").expect("send a request");
    let mut start = [0; 12];
    first.read_exact(&mut start).expect("read the answer");
    let mut second = server.connect();
    second.write_all(b"GET /b HTTP/1.1\r\n\r\n").expect("send a request");
    second.read_exact(&mut start).expect("read the answer");
    let answer = server.exchange(b"GET /c HTTP/1.1\r\nConnection: close\r\n\r\n");
    assert!(answer.ends_with("GET /c 0"), "{answer}");
    read_to_end(&mut first);
    assert_eq!(server.server.counters().count(ClientCause::IdleEvicted), 1);
    second.write_all(b"GET /d HTTP/1.1\r\nConnection: close\r\n\r\n").expect("still open");
    assert!(read_to_end(&mut second).ends_with("GET /d 0"));
}

#[test]
fn a_connection_over_the_bound_is_refused_while_the_others_work() {
    let address = "127.0.0.1:0".parse().expect("an address");
    let limits = AddressLimits { connections: 1, ..limits() };
    let server = HttpServer::listen(address, ClientAddress::Requests, limits, write_refusal);
    let server = server.expect("the server listens");
    let connect = || TcpStream::connect(server.local_address()).expect("connect");
    let mut first = connect();
    first.write_all(b"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n").expect("send a request");
    let request = server.receive().expect("the request arrives");
    let answer = read_to_end(&mut connect());
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    request.respond(OutgoingResponse::new(200, "served"));
    assert!(read_to_end(&mut first).ends_with("served"));
    assert_eq!(server.counters().count(ClientCause::Full), 1);
}

#[test]
fn bodies_stay_within_the_memory_of_the_address() {
    let server = TestServer::start(AddressLimits { memory_bytes: 200 << 10, ..limits() });
    let length = 500_000;
    let head = format!("POST / HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
    let answer = server.exchange(&[head.as_bytes(), &vec![b'a'; length]].concat());
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(server.received(), 0);
    assert_eq!(server.server.counters().count(ClientCause::NoMemory), 1);
}

#[test]
fn a_closed_server_ends_its_receivers() {
    let server = TestServer::start(limits());
    server.server.close();
    assert!(server.server.receive().is_none());
}

/// Parts of requests, which random texts are put together from.
fn request_part() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        Just(b"GET / HTTP/1.1\r\n".to_vec()),
        Just(b"POST /a HTTP/1.1\r\nContent-Length: 5\r\n".to_vec()),
        Just(b"Transfer-Encoding: chunked\r\n".to_vec()),
        Just(b"Expect: 100-continue\r\n".to_vec()),
        Just(b"Connection: close\r\n".to_vec()),
        Just(b"\r\n".to_vec()),
        Just(b"5\r\nabcde\r\n".to_vec()),
        Just(b"ffffffffffffffff\r\n".to_vec()),
        Just(b"0\r\n\r\n".to_vec()),
        proptest::collection::vec(any::<u8>(), 0..300),
        (0_usize..20_000).prop_map(|length| vec![b'a'; length]),
    ]
}

/// Neither a panic of the connection's thread nor memory that is not given back.
#[test]
fn random_bytes_do_no_harm() {
    let server = TestServer::start(AddressLimits { memory_bytes: 1 << 20, ..limits() });
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(64), rng);
    let parts = proptest::collection::vec(request_part(), 0..8);
    let result = runner.run(&parts, |parts| {
        let mut stream = server.connect();
        let _ = stream.write_all(&parts.concat());
        let _ = stream.shutdown(Shutdown::Write);
        read_to_end(&mut stream);
        prop_assert!(server.server.counters().memory_bytes() <= 1 << 20);
        let answer = server.exchange(b"GET /z HTTP/1.1\r\nConnection: close\r\n\r\n");
        prop_assert!(answer.ends_with("GET /z 0"));
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
}
