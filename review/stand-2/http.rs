//! HTTP/1.1 server with a thread for each connection, and a client for single calls.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Debug, Clone)]
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// What the server does with a request.
pub enum Reply {
    Json(u16, String),
    /// No answer; the connection stays open and returns nothing further.
    Silent,
}

pub type Handler = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

/// A listening server. [`Server::kill`] ends it as a killed process ends.
pub struct Server {
    pub address: SocketAddr,
    is_killed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(address: &str, handler: Handler) -> std::io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let is_killed = Arc::new(AtomicBool::new(false));
        let streams = Arc::new(Mutex::new(Vec::new()));
        let server = Server { address, is_killed: is_killed.clone(), streams: streams.clone() };
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if is_killed.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    let mut streams = streams.lock().unwrap();
                    streams.push(copy);
                    if streams.len() > 4_000 {
                        streams.retain(|stream: &TcpStream| stream.peer_addr().is_ok());
                    }
                }
                let (handler, is_killed) = (handler.clone(), is_killed.clone());
                let builder = std::thread::Builder::new().stack_size(256 << 10);
                let _ = builder.spawn(move || serve(stream, &handler, &is_killed));
            }
        });
        Ok(server)
    }

    pub fn kill(&self) {
        self.is_killed.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the accepting thread, which then closes the listening address.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
    }
}

fn serve(stream: TcpStream, handler: &Handler, is_killed: &AtomicBool) {
    let Ok(copy) = stream.try_clone() else { return };
    let (mut reader, mut writer) = (BufReader::new(copy), stream);
    while let Some(request) = read_request(&mut reader) {
        let reply = handler(&request);
        if is_killed.load(Ordering::SeqCst) {
            return;
        }
        match reply {
            Reply::Json(status, body) => {
                let text = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if writer.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Silent => {
                let mut rest = [0; 1_024];
                while reader.read(&mut rest).is_ok_and(|length| length > 0) {}
                return;
            }
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let url = words.nth(1)?.to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (decode(name), decode(value))).collect();
    let mut request = Request { path: path.to_owned(), query, headers, body: Vec::new() };
    let length = request.header("Content-Length").and_then(|text| text.parse().ok()).unwrap_or(0);
    request.body = vec![0; length];
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%'
            && let Some(code) =
                text.get(at + 1..at + 3).and_then(|digits| u8::from_str_radix(digits, 16).ok())
        {
            out.push(code);
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Makes one call on a new connection. `None`: no complete answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        head.push_str("Content-Type: application/json\r\n");
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(head.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    loop {
        let left = deadline.checked_duration_since(Instant::now())?;
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
        let mut part = [0; 4_096];
        let length = stream.read(&mut part).ok()?;
        if length == 0 {
            return None;
        }
        bytes.extend_from_slice(&part[..length]);
        if let Some(answer) = parse_answer(&bytes) {
            return Some(answer);
        }
    }
}

fn parse_answer(bytes: &[u8]) -> Option<(u16, String)> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    let is_length = |line: &&str| line.to_ascii_lowercase().starts_with("content-length:");
    let length = head.lines().find(is_length).and_then(|line| line.split(':').nth(1));
    let length: usize = length.and_then(|text| text.trim().parse().ok()).unwrap_or(0);
    (body.len() >= length).then(|| (status, body[..length].to_owned()))
}
