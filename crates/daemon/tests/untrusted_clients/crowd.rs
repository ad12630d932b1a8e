//! Clients that misbehave, and one that does not.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Time after which a client stops to write to a server that does not read; also the limit on
/// connecting.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an ordinary client takes the server for hung.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay before an ordinary client that was refused tries again, and its number of attempts.
const RETRY_DELAY: Duration = Duration::from_millis(500);
const MAX_ATTEMPTS: usize = 10;
/// Delay between two bytes of a slow client.
const BYTE_DELAY: Duration = Duration::from_millis(20);
/// Length of a single write of a misbehaving client, in bytes.
const WRITE_BYTES: usize = 64 << 10;

/// Connections of a crowd, which stay open as long as this value.
#[derive(Default)]
pub struct Crowd {
    connections: Vec<TcpStream>,
}

/// Clients that send a byte now and then, as long as this value.
pub struct SlowCrowd {
    is_over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for SlowCrowd {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Crowd {
    /// Sends `bytes` over and over on each connection, one byte in each [`BYTE_DELAY`].
    pub fn send_slowly(self, bytes: &'static [u8]) -> SlowCrowd {
        let is_over = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&is_over);
        let thread = thread::spawn(move || {
            for byte in bytes.iter().cycle() {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                for mut connection in &self.connections {
                    let _ = connection.set_nonblocking(true);
                    let _ = connection.write(&[*byte]);
                }
                thread::sleep(BYTE_DELAY);
            }
        });
        SlowCrowd { is_over, thread: Some(thread) }
    }

    /// Joins two crowds.
    pub fn and(mut self, other: Self) -> Self {
        self.connections.extend(other.connections);
        self
    }
}

/// Opens `clients` connections. Each sends `start` and then `piece` over and over, up to
/// `limit` bytes, and reads nothing.
pub fn send_without_reading(
    address: SocketAddr,
    clients: usize,
    start: &[u8],
    piece: &[u8],
    limit: usize,
) -> Crowd {
    let block: Vec<u8> = piece.repeat(WRITE_BYTES.div_ceil(piece.len()));
    let connections = thread::scope(|scope| {
        let run_client = || scope.spawn(|| run_client(address, start, &block, limit));
        let threads: Vec<_> = (0..clients).map(|_| run_client()).collect();
        threads.into_iter().filter_map(|thread| thread.join().expect("a client ran").ok()).collect()
    });
    Crowd { connections }
}

fn run_client(
    address: SocketAddr,
    start: &[u8],
    block: &[u8],
    limit: usize,
) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, WRITE_TIMEOUT)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    stream.write_all(start)?;
    write_blocks(stream, block, limit)
}

fn write_blocks(mut stream: TcpStream, block: &[u8], limit: usize) -> io::Result<TcpStream> {
    let mut sent = 0;
    while sent < limit {
        if stream.write_all(block).is_err() {
            break;
        }
        sent += block.len();
    }
    Ok(stream)
}

/// Opens `clients` connections, each of which completes the WebSocket `handshake`, sends `head`
/// and then zeros, up to `limit` bytes.
pub fn send_frame_parts(
    address: SocketAddr,
    clients: usize,
    handshake: &[u8],
    head: &[u8],
    limit: usize,
) -> Crowd {
    let run_client = || -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect_timeout(&address, WRITE_TIMEOUT)?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.write_all(handshake)?;
        let mut lines = BufReader::new(stream.try_clone()?).lines();
        let first = lines.next().transpose()?.unwrap_or_default();
        assert!(first.contains("101"), "the handshake is answered by {first:?}");
        for line in lines {
            if line?.is_empty() {
                break;
            }
        }
        stream.write_all(head)?;
        write_blocks(stream, &[0; WRITE_BYTES], limit)
    };
    let connections = thread::scope(|scope| {
        let threads: Vec<_> = (0..clients).map(|_| scope.spawn(run_client)).collect();
        threads.into_iter().filter_map(|thread| thread.join().expect("a client ran").ok()).collect()
    });
    Crowd { connections }
}

/// Opens `clients` connections one after the other; each sends `start` and falls silent.
pub fn fall_silent_after(address: SocketAddr, clients: usize, start: &[u8]) -> Crowd {
    let open = |_| -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect_timeout(&address, WRITE_TIMEOUT)?;
        stream.write_all(start)?;
        Ok(stream)
    };
    Crowd { connections: (0..clients).filter_map(|index| open(index).ok()).collect() }
}

/// Sends `request` on `clients` connections one after the other, and waits until each answer
/// begins or the connection ends, so that the daemon has processed the request.
pub fn send_and_fall_silent(address: SocketAddr, clients: usize, request: &[u8]) -> Crowd {
    let send = |_| -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect_timeout(&address, WRITE_TIMEOUT)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.write_all(request)?;
        stream.read_exact(&mut [0])?;
        Ok(stream)
    };
    Crowd { connections: (0..clients).filter_map(|index| send(index).ok()).collect() }
}

/// Sends `request` until an answer contains `expected`; a client that is refused tries again,
/// as ordinary clients do.
pub fn send_ordinary_request(address: SocketAddr, request: &str, expected: &str) {
    let mut last = String::new();
    for _ in 0..MAX_ATTEMPTS {
        last = match exchange(address, request.as_bytes()) {
            Ok(answer) if answer.contains(expected) => return,
            Ok(answer) => answer,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                panic!("an ordinary request is not answered in {READ_TIMEOUT:?}")
            }
            Err(error) => error.to_string(),
        };
        thread::sleep(RETRY_DELAY);
    }
    panic!("an ordinary request is not answered: {last:?}");
}

/// Sends one request and reads until the server closes or the answer is complete.
fn exchange(address: SocketAddr, request: &[u8]) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, READ_TIMEOUT)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.write_all(request)?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    let _ = stream.shutdown(Shutdown::Both);
    Ok(String::from_utf8_lossy(&answer).into_owned())
}
