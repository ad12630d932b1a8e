//! HTTP server of the stand-ins, whose clients are trusted, with a limit on the size of request
//! bodies.

use std::fmt;
use std::io::Read;
use std::net::SocketAddr;

use tiny_http::{Request, Server};

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Listening HTTP server; any number of threads may receive requests from it.
pub(crate) struct HttpServer {
    server: Server,
}

impl HttpServer {
    /// Binds `address` and starts to listen.
    ///
    /// # Errors
    ///
    /// Returns the error message if `address` cannot be bound.
    pub(crate) fn listen(address: SocketAddr) -> Result<Self, Box<str>> {
        let server = Server::http(address);
        let server = server.map_err(|error| format!("cannot listen on {address}: {error}"))?;
        Ok(Self { server })
    }

    /// Waits for the next request; returns `None` if the server fails.
    pub(crate) fn receive(&self) -> Option<Request> {
        self.server.recv().ok()
    }
}

/// Reason why a request body was rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The body is larger than 1 MiB.
    TooLarge,
    /// The body ended before its declared length.
    Truncated {
        /// Number of bytes received.
        received: usize,
        /// Length in bytes that the `Content-Length` header declares.
        declared: usize,
    },
    /// The body could not be read; holds the error message.
    Unreadable(Box<str>),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => write!(f, "the body is larger than {MAX_BODY_BYTES} bytes"),
            Self::Truncated { received, declared } => {
                write!(f, "the body has {received} of {declared} bytes")
            }
            Self::Unreadable(reason) => write!(f, "the body cannot be read: {reason}"),
        }
    }
}

/// Reads the complete body of `request`.
///
/// # Errors
///
/// Returns a [`BodyError`] if the body is too large, truncated or unreadable.
pub(crate) fn read_body(request: &mut Request) -> Result<Vec<u8>, BodyError> {
    let declared_length = request.body_length();
    if declared_length.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(BodyError::TooLarge);
    }
    let mut body = Vec::with_capacity(declared_length.unwrap_or(0));
    let mut reader = request.as_reader().take(MAX_BODY_BYTES as u64 + 1);
    reader
        .read_to_end(&mut body)
        .map_err(|error| BodyError::Unreadable(error.to_string().into()))?;
    if body.len() > MAX_BODY_BYTES {
        return Err(BodyError::TooLarge);
    }
    match declared_length {
        Some(declared) if declared != body.len() => {
            Err(BodyError::Truncated { received: body.len(), declared })
        }
        _ => Ok(body),
    }
}
