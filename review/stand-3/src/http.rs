//! HTTP/1.1 server and client over loopback.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::json::Json;

/// Request to a stand-in.
pub struct Request {
    pub method: String,
    pub path: String,
    query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
    pub body: Option<Json>,
}

impl Request {
    pub fn query(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(known, _)| known == name).map(|(_, value)| &**value)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let is_it = |known: &str| known.eq_ignore_ascii_case(name);
        self.headers.iter().find(|(known, _)| is_it(known)).map(|(_, value)| &**value)
    }
}

/// Answer of a stand-in.
pub enum Reply {
    Json(u16, Json),
    /// The connection is closed without an answer.
    Closed,
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let length = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length = length.map_or(Some(0), |(_, value)| value.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = tail.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match code.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) if *first == b'%' => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    let (method, url) = (words.next()?.to_owned(), words.next()?);
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), decode(value))).collect();
    let body = std::str::from_utf8(&body).ok().and_then(Json::parse);
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

/// Returns a loopback address of this process alone, so that a port which is free stays free until a daemon
/// binds it.
pub fn loopback() -> Ipv4Addr {
    let id = std::process::id();
    Ipv4Addr::new(127, 1 + (id >> 16) as u8 % 250, (id >> 8) as u8, 1 + id as u8 % 250)
}

/// Starts a server on a free port of the loopback address. `handle` may block.
pub fn serve(handle: impl Fn(&Request) -> Reply + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((loopback(), 0)).expect("a loopback port");
    let address = listener.local_addr().expect("the address of a listener");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || serve_connection(stream, &*handle));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handle: &dyn Fn(&Request) -> Reply) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Reply::Json(status, body) = handle(&request) else { return None };
        let body = body.to_string();
        let head = format!(
            "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all(&[head.as_bytes(), body.as_bytes()].concat()).ok()?;
    }
    None
}

/// Makes one call on a connection of its own; `None` without a complete answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Option<&str>,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    let body = body.unwrap_or_default();
    head.push_str(&format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    ));
    stream.write_all(&[head.as_bytes(), body.as_bytes()].concat()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
