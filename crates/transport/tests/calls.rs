//! Tests of the call thread's connections, with a server on loopback.
//!
//! The server answers a request only when the test lets it, so that the number of calls that
//! are open at one time is fixed.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Barrier, Mutex};
use std::thread;
use std::time::Duration;

use transport::{CallError, CallMethod, CallRequest, CallResponse, CallSender, run_call_client};

/// Calls of an owner to one minion that are open at one time.
const BURST: usize = 10;
const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Server whose answers wait until `burst` requests have arrived.
struct BurstServer {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
}

fn start_server(burst: usize, answer: &'static [u8]) -> BurstServer {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let address = listener.local_addr().expect("read the local address");
    let connections = Arc::new(AtomicUsize::new(0));
    let (counter, barrier) = (Arc::clone(&connections), Arc::new(Barrier::new(burst)));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            counter.fetch_add(1, Ordering::SeqCst);
            let barrier = Arc::clone(&barrier);
            thread::spawn(move || serve_connection(&stream, &barrier, answer));
        }
    });
    BurstServer { address, connections }
}

fn serve_connection(mut stream: &TcpStream, barrier: &Barrier, answer: &[u8]) {
    let mut lines = BufReader::new(stream).lines();
    loop {
        let head = lines.by_ref().map_while(Result::ok).take_while(|line| !line.is_empty());
        if head.count() == 0 {
            return;
        }
        barrier.wait();
        if stream.write_all(answer).is_err() || !answer.starts_with(b"HTTP/1.1 200 OK\r\nContent-L")
        {
            return;
        }
    }
}

fn start_client() -> CallSender {
    let (start, started) = channel();
    thread::spawn(move || {
        run_call_client(
            Duration::from_secs(3_600),
            || {},
            |sender| {
                start.send(sender).expect("the test waits");
            },
        )
    });
    started.recv().expect("the client starts")
}

fn send_get(sender: &CallSender, address: SocketAddr) -> Receiver<Result<CallResponse, CallError>> {
    send_get_with_timeout(sender, address, Duration::from_secs(60))
}

fn send_get_with_timeout(
    sender: &CallSender,
    address: SocketAddr,
    timeout: Duration,
) -> Receiver<Result<CallResponse, CallError>> {
    let request = CallRequest {
        address,
        method: CallMethod::Get,
        path: "/x?y=1".into(),
        headers: Vec::new(),
        body: None,
        timeout,
    };
    let (complete, completed) = channel();
    sender.send(request, move |answer| {
        let _ = complete.send(answer);
    });
    completed
}

fn make_burst(sender: &CallSender, address: SocketAddr) {
    let calls: Vec<_> = (0..BURST).map(|_| send_get(sender, address)).collect();
    for call in calls {
        let answer = call.recv().expect("the call ends");
        assert_eq!(answer, Ok(CallResponse { status: 200, body: "ok".into() }));
    }
}

#[test]
fn second_burst_to_an_address_opens_no_connection() {
    let server = start_server(BURST, OK);
    let sender = start_client();
    for _ in 0..5 {
        make_burst(&sender, server.address);
    }
    assert_eq!(server.connections.load(Ordering::SeqCst), BURST);
}

/// Guards against calls that fail one after another, each on an idle connection that has fallen
/// silent, although a new connection would be answered.
#[test]
fn silent_idle_connections_are_not_used_after_a_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let address = listener.local_addr().expect("read the local address");
    let barrier = Arc::new(Barrier::new(BURST));
    thread::spawn(move || {
        let mut silent = Vec::new();
        for (number, stream) in listener.incoming().flatten().enumerate() {
            silent.push(stream.try_clone().expect("clone the socket"));
            let barrier = Arc::clone(&barrier);
            let is_first_burst = number < BURST;
            thread::spawn(move || answer_once(&stream, is_first_burst.then_some(&*barrier)));
        }
    });
    let sender = start_client();
    make_burst(&sender, address);
    let answer = send_get_with_timeout(&sender, address, Duration::from_millis(100)).recv();
    assert!(matches!(answer, Ok(Err(CallError::NoResponse(_)))), "{answer:?}");
    let answer = send_get_with_timeout(&sender, address, Duration::from_secs(5)).recv();
    assert_eq!(answer, Ok(Ok(CallResponse { status: 200, body: "ok".into() })));
}

/// Answers the first request on a connection, and no later one.
fn answer_once(mut stream: &TcpStream, barrier: Option<&Barrier>) {
    let lines = BufReader::new(stream).lines();
    let head = lines.map_while(Result::ok).take_while(|line| !line.is_empty());
    if head.count() > 0 {
        barrier.map(Barrier::wait);
        let _ = stream.write_all(OK);
    }
}

#[test]
fn connection_that_the_server_closes_is_not_used_again() {
    let answer = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";
    let server = start_server(1, answer);
    let sender = start_client();
    for _ in 0..4 {
        let response = send_get(&sender, server.address).recv().expect("the call ends");
        assert_eq!(response, Ok(CallResponse { status: 200, body: "ok".into() }));
    }
    assert_eq!(server.connections.load(Ordering::SeqCst), 4);
}

#[test]
fn incomplete_answer_has_unknown_outcome() {
    let server = start_server(1, b"HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 50\r\n\r\nhalf");
    let answer = send_get(&start_client(), server.address).recv().expect("the call ends");
    assert!(matches!(answer, Err(CallError::NoResponse(_))), "{answer:?}");
}

#[test]
fn refused_connection_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let address = listener.local_addr().expect("read the local address");
    drop(listener);
    let answer = send_get(&start_client(), address).recv().expect("the call ends");
    assert!(matches!(answer, Err(CallError::NotSent(_))), "{answer:?}");
}

/// Guards against a callback that waits for a lock which its own thread holds while it sends.
#[test]
fn call_that_finds_the_channel_full_completes_on_the_call_thread() {
    const CALLS: usize = 5_000;
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let address = listener.local_addr().expect("read the local address");
    drop(listener);
    let lock = Arc::new(Mutex::new(()));
    let sender = start_client();
    let guard = lock.lock().expect("no thread has panicked");
    let (complete, completed) = channel();
    for _ in 0..CALLS {
        let (lock, complete) = (Arc::clone(&lock), complete.clone());
        let request = CallRequest {
            address,
            method: CallMethod::Get,
            path: "/".into(),
            headers: Vec::new(),
            body: None,
            timeout: Duration::from_secs(60),
        };
        let sending_thread = thread::current().id();
        sender.send(request, move |answer| {
            let is_on_sending_thread = thread::current().id() == sending_thread;
            drop((!is_on_sending_thread).then(|| lock.lock()));
            let _ = complete.send((is_on_sending_thread, answer.is_err()));
        });
    }
    drop(guard);
    let results: Vec<(bool, bool)> = completed.iter().take(CALLS).collect();
    assert_eq!(results, vec![(false, true); CALLS]);
}
