//! HTTP/1.1 over plain sockets: a server with one thread a connection, and a client that
//! opens a connection for each call.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::json::Json;

/// Request as the server received it.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        header.map(|(_, value)| value.as_str())
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

/// What the server does with a request.
pub enum Reply {
    /// Sends an answer.
    Answer(u16, Json),
    /// Closes the connection without an answer.
    Close,
    /// Sends nothing, on this connection also later, until the caller closes it.
    Silence,
}

/// Serves the connections of `listener` on threads of their own, while `is_open` holds.
pub fn serve(
    listener: TcpListener,
    is_open: impl Fn() -> bool + Send + Sync + 'static,
    handle: impl Fn(Request) -> Reply + Send + Sync + 'static,
) {
    listener.set_nonblocking(true).expect("a listener can be made non-blocking");
    let (is_open, handle) = (Arc::new(is_open), Arc::new(handle));
    thread::spawn(move || {
        while is_open() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let (is_open, handle) = (Arc::clone(&is_open), Arc::clone(&handle));
                    thread::spawn(move || serve_connection(stream, &*is_open, &*handle));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    thread::sleep(Duration::from_millis(1));
                }
                Err(_) => return,
            }
        }
    });
}

fn serve_connection(
    stream: TcpStream,
    is_open: &dyn Fn() -> bool,
    handle: &dyn Fn(Request) -> Reply,
) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(100)));
    let Ok(writer) = stream.try_clone() else { return };
    let (mut reader, mut writer) = (BufReader::new(stream), writer);
    loop {
        // Waits for the next request, and notices a server that has been closed meanwhile.
        match reader.fill_buf() {
            Ok([]) => return,
            Ok(_) => {}
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                if !is_open() {
                    return;
                }
                continue;
            }
            Err(_) => return,
        }
        let Some(request) = read_request(&mut reader) else { return };
        match handle(request) {
            Reply::Answer(status, body) => {
                let body = body.to_string();
                let head = format!(
                    "HTTP/1.1 {status} .\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                if !is_open() || writer.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Close => return,
            Reply::Silence => loop {
                match reader.fill_buf() {
                    Ok([]) => return,
                    Ok(bytes) => {
                        let length = bytes.len();
                        reader.consume(length);
                    }
                    Err(error)
                        if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                    Err(_) => return,
                }
            },
        }
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    loop {
        match reader.read_until(b'\n', &mut line) {
            Ok(0) => return None,
            Ok(_) if line.ends_with(b"\n") => break,
            Ok(_) => {}
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return None,
        }
    }
    Some(String::from_utf8_lossy(&line).trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let length = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("Content-Length"));
    let length: usize = length.map_or(Some(0), |(_, value)| value.parse().ok())?;
    let mut body = vec![0; length];
    let mut filled = 0;
    while filled < length {
        match reader.read(&mut body[filled..]) {
            Ok(0) => return None,
            Ok(count) => filled += count,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return None,
        }
    }
    Some(body)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let to_pair = |pair: &str| {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        (percent_decode(name), percent_decode(value))
    };
    let query = query.split('&').filter(|pair| !pair.is_empty()).map(to_pair).collect();
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut position = 0;
    while position < bytes.len() {
        let code =
            text.get(position + 1..position + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match code {
            Some(code) if bytes[position] == b'%' => {
                decoded.push(code);
                position += 3;
            }
            _ => {
                decoded.push(bytes[position]);
                position += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Makes a call on a new connection, and returns the status and the body of the answer;
/// `None` if there is no complete answer within `timeout`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut request = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        let length = body.len();
        request
            .push_str(&format!("Content-Type: application/json\r\nContent-Length: {length}\r\n"));
    }
    request.push_str("\r\n");
    request.push_str(body);
    let mut writer = stream.try_clone().ok()?;
    writer.write_all(request.as_bytes()).ok()?;
    let mut answer = Vec::new();
    BufReader::new(stream).read_to_end(&mut answer).ok()?;
    let head_end = answer.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&answer[..head_end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let body = answer[head_end + 4..].to_vec();
    let is_length = |line: &&str| line.to_ascii_lowercase().starts_with("content-length:");
    if let Some(line) = head.lines().find(is_length) {
        let length: usize = line.split(':').nth(1)?.trim().parse().ok()?;
        if body.len() < length {
            return None;
        }
    }
    Some((status, body))
}
