//! Blocking HTTP client that reports whether a failed request may have been sent.
//!
//! [`send_http`] makes one call with `attohttpc` on a new connection. The client
//! returns a response only if the response is complete; every other outcome is an
//! [`HttpError`], which tells whether request bytes may have reached the server.

use std::fmt::{self, Write};
use std::io::{ErrorKind, Read};
use std::time::{Duration, Instant};

use attohttpc::header::{CONTENT_LENGTH, HeaderName};
use attohttpc::{Method, ProxySettings, RequestBuilder, Response, ResponseReader};

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: u64 = 4 << 20;
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Length of the `Debug` output of a reader that suffices to identify the reader's kind.
const DEBUG_PREFIX_BYTES: usize = 96;
/// Maximum deviation of a timeout from its nominal duration.
const TIMEOUT_TOLERANCE: Duration = Duration::from_millis(50);

/// HTTP request for [`send_http`].
#[derive(Debug)]
pub struct HttpRequest<'a> {
    /// HTTP method, in upper case.
    pub method: &'a str,
    /// IP address and port of the server.
    pub address: &'a str,
    /// Path and query, with the leading slash.
    pub path: &'a str,
    /// Header names and values.
    pub headers: &'a [(&'a str, &'a str)],
    /// Request body; may be empty.
    pub body: &'a [u8],
    /// Maximum time from the start of the call to the last byte of the response.
    pub timeout: Duration,
}

/// Complete HTTP response.
#[derive(Debug)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of `Content-Type`, or `application/octet-stream` if the header is missing or
    /// unreadable.
    pub content_type: Box<str>,
    headers: attohttpc::header::HeaderMap,
    /// Complete response body, at most 4 MiB.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// Returns the value of the header `name` if the header is present and visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Reason why a call has no complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HttpError {
    /// No byte of the request was sent.
    NotSent(Box<str>),
    /// Request bytes may have been sent, but no complete response arrived.
    NoResponse(Box<str>),
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) => write!(f, "not sent: {reason}"),
            Self::NoResponse(reason) => write!(f, "broken off: {reason}"),
        }
    }
}

impl std::error::Error for HttpError {}

/// Makes one call on a new connection, so that the response cannot belong to
/// another call.
///
/// # Errors
///
/// Returns an [`HttpError`] unless a complete response arrived. The length of
/// the body is compared with the `Content-Length` header. A body that has neither
/// that header nor chunked encoding cannot be verified as complete and is an error.
pub fn send_http(call: &HttpRequest<'_>) -> Result<HttpResponse, HttpError> {
    let started = Instant::now();
    let method = Method::from_bytes(call.method.as_bytes())
        .map_err(|error| HttpError::NotSent(error.to_string().into()))?;
    let url = format!("http://{}{}", call.address, call.path);
    let mut builder = RequestBuilder::try_new(method, url)
        .map_err(|error| HttpError::NotSent(error.to_string().into()))?
        .follow_redirects(false)
        .proxy_settings(ProxySettings::builder().build())
        .connect_timeout(CONNECT_TIMEOUT.min(call.timeout))
        .read_timeout(call.timeout)
        .timeout(call.timeout);
    for (name, value) in call.headers {
        let name = HeaderName::from_bytes(name.as_bytes())
            .map_err(|error| HttpError::NotSent(error.to_string().into()))?;
        builder = builder
            .try_header(name, *value)
            .map_err(|error| HttpError::NotSent(error.to_string().into()))?;
    }
    match builder.bytes(call.body).send() {
        Ok(response) => read_response(response, call.method == "HEAD"),
        Err(error) => Err(classify_error(&error, started.elapsed(), call.timeout)),
    }
}

/// Determines whether request bytes may have been sent before `error` occurred.
///
/// No bytes are sent on a connection that was refused, has no route or has no usable
/// local address. A timeout that occurs well before the read timeout `timeout` must be
/// the connect timeout, so no bytes were sent either.
fn classify_error(error: &attohttpc::Error, elapsed: Duration, timeout: Duration) -> HttpError {
    let reason: Box<str> = error.to_string().into();
    let attohttpc::ErrorKind::Io(io_error) = error.kind() else {
        return HttpError::NoResponse(reason);
    };
    let is_not_sent = match io_error.kind() {
        ErrorKind::ConnectionRefused
        | ErrorKind::HostUnreachable
        | ErrorKind::NetworkUnreachable
        | ErrorKind::AddrNotAvailable => true,
        ErrorKind::TimedOut | ErrorKind::WouldBlock => elapsed + TIMEOUT_TOLERANCE < timeout,
        _ => false,
    };
    if is_not_sent { HttpError::NotSent(reason) } else { HttpError::NoResponse(reason) }
}

fn read_response(response: Response, is_head_request: bool) -> Result<HttpResponse, HttpError> {
    let (status, headers, reader) = response.split();
    let declared = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    let declared_length: Option<u64> = declared.and_then(|value| value.parse().ok());
    let is_chunked = declared_length.is_none() && is_chunked(&reader);
    let has_body = !is_head_request && !matches!(status.as_u16(), 100..=199 | 204 | 304);
    let mut body =
        Vec::with_capacity(declared_length.unwrap_or(0).min(MAX_RESPONSE_BYTES) as usize);
    if has_body {
        if declared_length.is_none() && !is_chunked {
            return Err(HttpError::NoResponse("the answer declares no length".into()));
        }
        reader
            .take(MAX_RESPONSE_BYTES + 1)
            .read_to_end(&mut body)
            .map_err(|error| HttpError::NoResponse(error.to_string().into()))?;
        check_body_length(body.len() as u64, declared_length)?;
    }
    let content_type = headers.get("Content-Type").and_then(|value| value.to_str().ok());
    let content_type = content_type.unwrap_or("application/octet-stream").into();
    Ok(HttpResponse { status: status.as_u16(), content_type, headers, body })
}

/// Returns whether the response has chunked encoding, whose reader detects a
/// missing end.
///
/// `attohttpc` removes the `Transfer-Encoding` header and has no method that
/// reports the encoding, so the reader's kind is taken from its `Debug` output.
/// `tests/answers.rs` fails if `attohttpc` changes that output.
fn is_chunked(reader: &ResponseReader) -> bool {
    let mut prefix = DebugPrefix::default();
    let _ = write!(prefix, "{reader:?}");
    prefix.text.contains("Chunked(")
}

/// Writer that collects the start of a `Debug` output and then returns an error, so
/// that formatting stops.
#[derive(Default)]
struct DebugPrefix {
    text: String,
}

impl fmt::Write for DebugPrefix {
    fn write_str(&mut self, text_part: &str) -> fmt::Result {
        if self.text.len() > DEBUG_PREFIX_BYTES {
            return Err(fmt::Error);
        }
        self.text.push_str(text_part);
        Ok(())
    }
}

fn check_body_length(actual_length: u64, declared_length: Option<u64>) -> Result<(), HttpError> {
    if actual_length > MAX_RESPONSE_BYTES {
        let reason = format!("the answer is larger than {MAX_RESPONSE_BYTES} bytes");
        return Err(HttpError::NoResponse(reason.into()));
    }
    match declared_length {
        Some(declared_length) if declared_length != actual_length => {
            let reason = format!("the answer has {actual_length} of {declared_length} bytes");
            Err(HttpError::NoResponse(reason.into()))
        }
        _ => Ok(()),
    }
}
