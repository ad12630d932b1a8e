//! Frames between daemons, in CBOR.

use std::fmt;

use coordination::Frame;

/// Largest frame in bytes; a configuration is at most a megabyte.
const MOST_FRAME_BYTES: usize = 2 << 20;

/// Says why bytes are not a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameError {
    /// It is larger than a frame may be.
    TooLarge,
    /// It is not a frame in CBOR.
    Malformed(Box<str>),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => write!(f, "the frame is larger than {MOST_FRAME_BYTES} bytes"),
            Self::Malformed(reason) => write!(f, "the frame is malformed: {reason}"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Writes a frame.
pub fn encode_frame(frame: &Frame) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(frame, &mut bytes).expect("a frame is valid CBOR");
    bytes
}

/// Reads a frame.
///
/// # Errors
///
/// [`FrameError`] when the bytes are none.
pub fn decode_frame(bytes: &[u8]) -> Result<Frame, FrameError> {
    if bytes.len() > MOST_FRAME_BYTES {
        return Err(FrameError::TooLarge);
    }
    ciborium::from_reader(bytes).map_err(|error| FrameError::Malformed(error.to_string().into()))
}
