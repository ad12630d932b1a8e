//! The adapter to the platform.

use std::time::Duration;

use coordination::timing::WATCH_TIMEOUT;
use coordination::{PlatformAnswer, PlatformRequest};
use protocol::{platform_answer, platform_call};

use crate::http::{HttpCall, HttpFailure, send_http};

/// Longest time for one call to the platform, its watch's wait included.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Makes one call to the platform at `address`.
pub fn call_platform(address: &str, request: &PlatformRequest) -> PlatformAnswer {
    let call = platform_call(request, WATCH_TIMEOUT);
    let answer = send_http(&HttpCall {
        method: call.method,
        address,
        path: &call.path,
        headers: &[("Content-Type", "application/json")],
        body: &call.body,
        timeout: PLATFORM_TIMEOUT,
    });
    match answer {
        Ok(answer) => platform_answer(request, answer.status, &answer.body),
        Err(HttpFailure::NotSent(_)) => PlatformAnswer::Refused,
        Err(HttpFailure::Broken(_)) => PlatformAnswer::Unknown,
    }
}
