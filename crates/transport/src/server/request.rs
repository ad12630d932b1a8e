//! Complete requests of clients, and the responses to them.

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{CONNECTION, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use tokio::sync::oneshot;

use super::counters::ClientCause;

/// Request of a client whose body has arrived completely. Dropping it without a response
/// answers the client with status 500.
#[derive(Debug)]
pub struct IncomingRequest {
    head: Parts,
    url: Box<str>,
    body: Vec<u8>,
    response: oneshot::Sender<OutgoingResponse>,
}

impl IncomingRequest {
    pub(super) fn new(
        head: Parts,
        body: Vec<u8>,
        response: oneshot::Sender<OutgoingResponse>,
    ) -> Self {
        let path = head.uri.path_and_query().map_or("", |path| path.as_str());
        let url = path.into();
        Self { head, url, body, response }
    }

    /// Returns the method, in upper case.
    pub fn method(&self) -> &str {
        self.head.method.as_str()
    }

    /// Returns path and query.
    pub fn url(&self) -> &str {
        &self.url
    }

    /// Returns the value of the header `name`, in any letter case, if it is visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// Returns the names, in lower case, and the values of all headers that are visible ASCII.
    pub fn headers(&self) -> impl Iterator<Item = (&str, &str)> {
        let headers = self.head.headers.iter();
        headers.filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)))
    }

    /// Returns the complete body.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Sends the response. It is dropped if the connection has been closed.
    pub fn respond(self, response: OutgoingResponse) {
        if self.response.send(response).is_err() {
            tracing::debug!("answer not sent: the connection is closed");
        }
    }
}

/// Response to a client, sent with `Content-Length`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingResponse {
    status: u16,
    headers: Vec<(Box<str>, Box<str>)>,
    pub(super) body: Vec<u8>,
    pub(super) closes: bool,
}

impl OutgoingResponse {
    /// Creates a response without headers.
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, headers: Vec::new(), body: body.into(), closes: false }
    }

    /// Adds a header. Headers that are not valid in HTTP are left out.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Closes the connection after the response.
    pub(super) fn closing(mut self) -> Self {
        self.closes = true;
        self
    }

    /// Converts the response for `hyper`. An informational status is no final response, which
    /// `hyper` refuses to send; the client gets status 502 then.
    pub(super) fn into_http(self) -> Response<Full<Bytes>> {
        let status = StatusCode::from_u16(self.status).ok();
        let status = status.filter(|status| !status.is_informational());
        let mut response = Response::new(Full::new(Bytes::from(self.body)));
        *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
        for (name, value) in &self.headers {
            let name = HeaderName::from_bytes(name.as_bytes());
            let value = HeaderValue::from_bytes(value.as_bytes());
            if let (Ok(name), Ok(value)) = (name, value) {
                response.headers_mut().append(name, value);
            }
        }
        if self.closes {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Returns the bytes of a response that is sent without `hyper`, on a connection on which
    /// `hyper` has sent nothing yet or has not seen a complete head.
    pub(super) fn to_raw_bytes(&self) -> Vec<u8> {
        let reason = StatusCode::from_u16(self.status).ok();
        let reason = reason.and_then(|status| status.canonical_reason()).unwrap_or("Refused");
        let mut head = format!("HTTP/1.1 {} {reason}\r\n", self.status);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        let length = self.body.len();
        head.push_str(&format!("Content-Length: {length}\r\nConnection: close\r\n\r\n"));
        [head.as_bytes(), &self.body].concat()
    }
}

/// Refusal of a request that has not been handed over, so that it has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status: 400, 408, 413 or 503.
    pub status: u16,
    /// Reason for the client.
    pub reason: &'static str,
}

/// Builds the response to a refused request in the protocol of the listening address.
pub type RefusalWriter = fn(Refusal) -> OutgoingResponse;

impl Refusal {
    /// Returns the refusal for `cause`; `None` if the client gets no response.
    pub(super) fn for_cause(cause: ClientCause) -> Option<Self> {
        let (status, reason) = match cause {
            ClientCause::Full => (503, "too many connections"),
            ClientCause::NoMemory => (503, "no memory for the request"),
            ClientCause::HeadTimeout => (408, "the head did not arrive in time"),
            ClientCause::BodyTimeout => (408, "the body did not arrive in time"),
            ClientCause::BodyTooLarge => (413, "the body is too large"),
            ClientCause::Malformed => (400, "the body cannot be read"),
            _ => return None,
        };
        Some(Self { status, reason })
    }
}
