//! Platform client: sends encoded platform requests over HTTP and decodes the
//! responses.

use std::time::Duration;

use coordination::timing::WATCH_TIMEOUT;
use coordination::{PlatformAnswer, PlatformRequest};
use protocol::{decode_platform_answer, encode_platform_request};

use crate::http::{HttpError, HttpRequest, send_http};

/// Timeout for one call to the platform, including the wait of a watch ([`WATCH_TIMEOUT`]).
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Makes one call to the platform at `address` (IP address and port).
///
/// Returns [`PlatformAnswer::Refused`] if the request was not sent and
/// [`PlatformAnswer::Unknown`] if no complete response arrived.
pub fn call_platform(address: &str, request: &PlatformRequest) -> PlatformAnswer {
    let call = encode_platform_request(request, WATCH_TIMEOUT);
    let response = send_http(&HttpRequest {
        method: call.method,
        address,
        path: &call.path,
        headers: &[("Content-Type", "application/json")],
        body: &call.body,
        timeout: PLATFORM_TIMEOUT,
    });
    match response {
        Ok(answer) => decode_platform_answer(request, answer.status, &answer.body),
        Err(HttpError::NotSent(_)) => PlatformAnswer::Refused,
        Err(HttpError::NoResponse(_)) => PlatformAnswer::Unknown,
    }
}
