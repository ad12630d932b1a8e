//! One HTTP call with `attohttpc`, and what is certain of its fate.

use std::fmt::{self, Write};
use std::io::{ErrorKind, Read};
use std::time::{Duration, Instant};

use attohttpc::header::{CONTENT_LENGTH, HeaderName};
use attohttpc::{Method, ProxySettings, RequestBuilder, Response, ResponseReader};

/// Largest answer that is taken, in bytes.
const MOST_ANSWER_BYTES: u64 = 4 << 20;
/// Longest time for a connection to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Enough of a reader's `Debug` form to name its kind, in bytes.
const PROBE_BYTES: usize = 96;
/// How far a timeout may be off.
const TIMER_SLACK: Duration = Duration::from_millis(50);

/// One call.
#[derive(Debug)]
pub struct HttpCall<'a> {
    /// Method.
    pub method: &'a str,
    /// IP address and port.
    pub address: &'a str,
    /// Path and query, with the leading slash.
    pub path: &'a str,
    /// Headers.
    pub headers: &'a [(&'a str, &'a str)],
    /// Body.
    pub body: &'a [u8],
    /// Longest time from start to the answer's last byte.
    pub timeout: Duration,
}

/// A whole answer.
#[derive(Debug)]
pub struct HttpAnswer {
    /// Status.
    pub status: u16,
    /// Content type.
    pub content_type: Box<str>,
    /// Value of the header asked for by name, if it came.
    headers: attohttpc::header::HeaderMap,
    /// Body, complete to its last byte.
    pub body: Vec<u8>,
}

impl HttpAnswer {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Why there is no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HttpFailure {
    /// No byte was sent.
    NotSent(Box<str>),
    /// Something may have been sent.
    Broken(Box<str>),
}

impl fmt::Display for HttpFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) => write!(f, "not sent: {reason}"),
            Self::Broken(reason) => write!(f, "broken off: {reason}"),
        }
    }
}

impl std::error::Error for HttpFailure {}

/// Makes one call over a connection of its own, so that an answer can only be
/// to this call.
///
/// # Errors
///
/// [`HttpFailure`] unless a whole answer came: its length is checked against
/// what the server declared, and an answer without a declared length is not
/// known to be whole.
pub fn send_http(call: &HttpCall<'_>) -> Result<HttpAnswer, HttpFailure> {
    let started = Instant::now();
    let method = Method::from_bytes(call.method.as_bytes())
        .map_err(|error| HttpFailure::NotSent(error.to_string().into()))?;
    let url = format!("http://{}{}", call.address, call.path);
    let mut builder = RequestBuilder::try_new(method, url)
        .map_err(|error| HttpFailure::NotSent(error.to_string().into()))?
        .follow_redirects(false)
        .proxy_settings(ProxySettings::builder().build())
        .connect_timeout(CONNECT_TIMEOUT.min(call.timeout))
        .read_timeout(call.timeout)
        .timeout(call.timeout);
    for (name, value) in call.headers {
        let name = HeaderName::from_bytes(name.as_bytes())
            .map_err(|error| HttpFailure::NotSent(error.to_string().into()))?;
        builder = builder
            .try_header(name, *value)
            .map_err(|error| HttpFailure::NotSent(error.to_string().into()))?;
    }
    match builder.bytes(call.body).send() {
        Ok(response) => read_answer(response, call.method == "HEAD"),
        Err(error) => Err(classify(&error, started.elapsed(), call.timeout)),
    }
}

/// A refused connection carried nothing. A timeout that came before the read
/// timeout could have is that of the connection.
fn classify(error: &attohttpc::Error, elapsed: Duration, timeout: Duration) -> HttpFailure {
    let reason: Box<str> = error.to_string().into();
    let attohttpc::ErrorKind::Io(io) = error.kind() else {
        return HttpFailure::Broken(reason);
    };
    let never_connected = match io.kind() {
        ErrorKind::ConnectionRefused
        | ErrorKind::HostUnreachable
        | ErrorKind::NetworkUnreachable
        | ErrorKind::AddrNotAvailable => true,
        ErrorKind::TimedOut | ErrorKind::WouldBlock => elapsed + TIMER_SLACK < timeout,
        _ => false,
    };
    if never_connected { HttpFailure::NotSent(reason) } else { HttpFailure::Broken(reason) }
}

fn read_answer(response: Response, no_body: bool) -> Result<HttpAnswer, HttpFailure> {
    let (status, headers, reader) = response.split();
    let declared = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    let declared: Option<u64> = declared.and_then(|value| value.parse().ok());
    let is_chunked = declared.is_none() && is_chunked(&reader);
    let has_body = !no_body && !matches!(status.as_u16(), 100..=199 | 204 | 304);
    let mut body = Vec::with_capacity(declared.unwrap_or(0).min(MOST_ANSWER_BYTES) as usize);
    if has_body {
        if declared.is_none() && !is_chunked {
            return Err(HttpFailure::Broken("the answer declares no length".into()));
        }
        reader
            .take(MOST_ANSWER_BYTES + 1)
            .read_to_end(&mut body)
            .map_err(|error| HttpFailure::Broken(error.to_string().into()))?;
        check_length(body.len() as u64, declared)?;
    }
    let content_type = headers.get("Content-Type").and_then(|value| value.to_str().ok());
    let content_type = content_type.unwrap_or("application/octet-stream").into();
    Ok(HttpAnswer { status: status.as_u16(), content_type, headers, body })
}

/// Whether an answer came in chunks, whose reader notices a missing end.
///
/// The library removes the header that says so and has no call that tells; its
/// reader's `Debug` form names the kind. A test holds the library to that.
fn is_chunked(reader: &ResponseReader) -> bool {
    let mut probe = DebugProbe::default();
    let _ = write!(probe, "{reader:?}");
    probe.text.contains("Chunked(")
}

/// Takes the first characters of a `Debug` form and stops there.
#[derive(Default)]
struct DebugProbe {
    text: String,
}

impl fmt::Write for DebugProbe {
    fn write_str(&mut self, piece: &str) -> fmt::Result {
        if self.text.len() > PROBE_BYTES {
            return Err(fmt::Error);
        }
        self.text.push_str(piece);
        Ok(())
    }
}

fn check_length(length: u64, declared: Option<u64>) -> Result<(), HttpFailure> {
    if length > MOST_ANSWER_BYTES {
        let reason = format!("the answer is larger than {MOST_ANSWER_BYTES} bytes");
        return Err(HttpFailure::Broken(reason.into()));
    }
    match declared {
        Some(declared) if declared != length => {
            let reason = format!("the answer has {length} of {declared} bytes");
            Err(HttpFailure::Broken(reason.into()))
        }
        _ => Ok(()),
    }
}
