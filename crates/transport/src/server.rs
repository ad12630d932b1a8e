//! The HTTP server, with bounded bodies.

use std::fmt;
use std::io::Read;
use std::net::SocketAddr;

use tiny_http::{Request, Server};

/// Largest request body in bytes.
const MOST_BODY_BYTES: usize = 1 << 20;

/// A listening server. Any number of threads may receive from it.
pub struct HttpServer {
    server: Server,
}

impl HttpServer {
    /// Listens on `address`.
    ///
    /// # Errors
    ///
    /// The reason why the address cannot be listened on.
    pub fn listen(address: SocketAddr) -> Result<Self, Box<str>> {
        let server = Server::http(address);
        let server = server.map_err(|error| format!("cannot listen on {address}: {error}"))?;
        Ok(Self { server })
    }

    /// Waits for the next request; `None` once [`Self::close`] was called.
    pub fn receive(&self) -> Option<Request> {
        self.server.recv().ok()
    }

    /// Makes one thread's [`Self::receive`] return `None`.
    pub fn close(&self) {
        self.server.unblock();
    }
}

/// Why a body was not taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyFault {
    /// It is larger than a body may be.
    TooLarge,
    /// It ended before its declared length.
    Truncated {
        /// Bytes that came.
        length: usize,
        /// Bytes that were declared.
        declared: usize,
    },
    /// It could not be read.
    Unreadable(Box<str>),
}

impl fmt::Display for BodyFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => write!(f, "the body is larger than {MOST_BODY_BYTES} bytes"),
            Self::Truncated { length, declared } => {
                write!(f, "the body has {length} of {declared} bytes")
            }
            Self::Unreadable(reason) => write!(f, "the body cannot be read: {reason}"),
        }
    }
}

impl BodyFault {
    /// The HTTP status of the fault.
    pub fn status(&self) -> u16 {
        match self {
            Self::TooLarge => 413,
            _ => 400,
        }
    }
}

/// Reads a request's whole body.
///
/// # Errors
///
/// [`BodyFault`] when it is too large, cut off or unreadable.
pub fn read_body(request: &mut Request) -> Result<Vec<u8>, BodyFault> {
    let declared = request.body_length();
    if declared.is_some_and(|length| length > MOST_BODY_BYTES) {
        return Err(BodyFault::TooLarge);
    }
    let mut body = Vec::with_capacity(declared.unwrap_or(0));
    let mut reader = request.as_reader().take(MOST_BODY_BYTES as u64 + 1);
    reader
        .read_to_end(&mut body)
        .map_err(|error| BodyFault::Unreadable(error.to_string().into()))?;
    if body.len() > MOST_BODY_BYTES {
        return Err(BodyFault::TooLarge);
    }
    match declared {
        Some(declared) if declared != body.len() => {
            Err(BodyFault::Truncated { length: body.len(), declared })
        }
        _ => Ok(body),
    }
}
