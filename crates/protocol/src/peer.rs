//! Encodes and decodes frames between daemons as CBOR.

use std::fmt;

use coordination::Frame;

/// Maximum size of a frame in bytes. The largest part of a frame is a configuration, which
/// has at most a megabyte.
pub const MAX_FRAME_BYTES: usize = 2 << 20;

/// Error that describes why bytes are not a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameError {
    /// The bytes exceed the maximum size of a frame.
    TooLarge,
    /// The bytes are not a frame in CBOR; contains the decoding error.
    Malformed(Box<str>),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => write!(f, "the frame is larger than {MAX_FRAME_BYTES} bytes"),
            Self::Malformed(reason) => write!(f, "the frame is malformed: {reason}"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Encodes a frame.
pub fn encode_frame(frame: &Frame) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(frame, &mut bytes).expect("a frame can be encoded as CBOR");
    bytes
}

/// Decodes a frame.
///
/// # Errors
///
/// Returns [`FrameError`] if the bytes are too large or malformed.
pub fn decode_frame(bytes: &[u8]) -> Result<Frame, FrameError> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge);
    }
    ciborium::from_reader(bytes).map_err(|error| FrameError::Malformed(error.to_string().into()))
}
