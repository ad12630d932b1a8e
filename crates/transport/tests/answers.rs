//! Answers are handed on only when they are whole, and "not sent" is certain.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use rstest::rstest;
use transport::{HttpCall, HttpFailure, send_http};

/// Serves one connection with fixed bytes, and closes it.
fn serve_once(bytes: &'static [u8]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        if let Ok((mut stream, _)) = listener.accept() {
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(bytes);
        }
    });
    address
}

fn get(address: &str) -> Result<Vec<u8>, HttpFailure> {
    let call = HttpCall {
        method: "GET",
        address,
        path: "/x",
        headers: &[],
        body: b"",
        timeout: Duration::from_secs(20),
    };
    send_http(&call).map(|answer| answer.body)
}

#[rstest]
#[case::length(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")]
#[case::chunked(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")]
fn a_whole_answer_is_handed_on(#[case] bytes: &'static [u8]) {
    assert_eq!(get(&serve_once(bytes)), Ok(b"whole".to_vec()));
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
fn anything_else_is_broken_off(#[case] bytes: &'static [u8]) {
    let outcome = get(&serve_once(bytes));
    assert!(matches!(outcome, Err(HttpFailure::Broken(_))), "{outcome:?}");
}

#[test]
fn a_refused_connection_sent_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    drop(listener);
    assert!(matches!(get(&address), Err(HttpFailure::NotSent(_))));
}
