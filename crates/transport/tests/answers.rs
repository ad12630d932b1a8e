//! Tests that `send_http` returns only complete responses.
//!
//! A response that is cut off, malformed or of unknown length must be an error, and
//! `NotSent` may only be reported if no byte of the request was sent: a request that is
//! wrongly reported as not sent would be repeated although the server carried it out.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use rstest::rstest;
use transport::{HttpError, HttpRequest, send_http};

/// Starts a server that answers one connection with `bytes` and closes the connection.
///
/// Returns the IP address and port of the server.
fn start_one_shot_server(bytes: &'static [u8]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let address = listener.local_addr().expect("read the local address").to_string();
    thread::spawn(move || {
        if let Ok((mut stream, _)) = listener.accept() {
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(bytes);
        }
    });
    address
}

fn send_get(address: &str) -> Result<Vec<u8>, HttpError> {
    let call = HttpRequest {
        method: "GET",
        address,
        path: "/x",
        headers: &[],
        body: b"",
        timeout: Duration::from_secs(20),
    };
    send_http(&call).map(|response| response.body)
}

#[rstest]
#[case::length(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")]
#[case::chunked(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")]
fn returns_complete_response(#[case] bytes: &'static [u8]) {
    assert_eq!(send_get(&start_one_shot_server(bytes)), Ok(b"whole".to_vec()));
}

#[rstest]
#[case::nothing(b"")]
#[case::head_cut(b"HTTP/1.1 200 OK\r\nContent-Le")]
#[case::body_cut(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf")]
#[case::chunk_cut(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n50\r\nhalf")]
#[case::last_chunk_missing(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")]
#[case::no_length(b"HTTP/1.1 200 OK\r\n\r\nhow much more?")]
#[case::two_lengths(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nhalf")]
#[case::no_http(b"SSH-2.0-other\r\n")]
fn reports_incomplete_response_as_failure(#[case] bytes: &'static [u8]) {
    let outcome = send_get(&start_one_shot_server(bytes));
    assert!(matches!(outcome, Err(HttpError::NoResponse(_))), "{outcome:?}");
}

#[test]
fn reports_refused_connection_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let address = listener.local_addr().expect("read the local address").to_string();
    drop(listener);
    assert!(matches!(send_get(&address), Err(HttpError::NotSent(_))));
}
