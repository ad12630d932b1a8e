//! Encodes requests to the platform and decodes the answers.
//!
//! The platform provides a key-value store with compare-and-swap and watches, a list of
//! VMs, and reboots of VMs. All code that depends on the platform's interface is in this
//! module and in `transport::platform`.

use coordination::{PlatformAnswer, PlatformRequest, StoredValue};
use serde::{Deserialize, Serialize};
use state::{Millis, Revision, VmListing};

/// Body of a request to write a key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PutBody {
    /// Expected current revision; 0 if the key must be absent.
    pub expect: Revision,
    /// New value of the key.
    pub value: Box<str>,
}

/// Body of a request to reboot a VM.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RebootBody {
    /// Epoch of the VM record. The platform refuses an epoch lower than the highest that
    /// it has received for the VM.
    pub epoch: u64,
}

/// Body of the answer to a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChangesBody {
    /// Revision up to which all changes are included.
    pub head: Revision,
    /// Changed keys with their values.
    pub values: Vec<StoredValue>,
}

/// Body of the answer to a request for the list of VMs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VmsBody {
    /// All VMs that the platform lists.
    pub vms: Vec<VmListing>,
}

/// HTTP request to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformCall {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query of the URL.
    pub path: String,
    /// Body as JSON; empty if the request has no body.
    pub body: Vec<u8>,
}

/// Encodes a request to the platform. `watch_wait` is the time for which the platform holds
/// a watch open.
pub fn encode_platform_request(request: &PlatformRequest, watch_wait: Millis) -> PlatformCall {
    match request {
        PlatformRequest::Get { key } => build_get_call(format!("/kv/{key}")),
        PlatformRequest::Put { key, expect, value } => {
            let body = PutBody { expect: *expect, value: value.clone() };
            PlatformCall { method: "PUT", path: format!("/kv/{key}"), body: encode_json(&body) }
        }
        PlatformRequest::Watch { prefix, after } => {
            build_get_call(format!("/watch/{prefix}?after={after}&wait_ms={}", watch_wait.0))
        }
        PlatformRequest::ListVms => build_get_call("/vms".to_owned()),
        PlatformRequest::Reboot { vm, epoch } => {
            let body = encode_json(&RebootBody { epoch: *epoch });
            PlatformCall { method: "POST", path: format!("/vms/{vm}/reboot"), body }
        }
    }
}

fn build_get_call(path: String) -> PlatformCall {
    PlatformCall { method: "GET", path, body: Vec::new() }
}

fn encode_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("a request body can be encoded as JSON")
}

/// Decodes the platform's HTTP answer to a request. An unexpected status or a malformed
/// body is [`PlatformAnswer::Unknown`].
pub fn decode_platform_answer(
    request: &PlatformRequest,
    status: u16,
    body: &[u8],
) -> PlatformAnswer {
    let decoded = match (request, status) {
        (_, 503) => Some(PlatformAnswer::Refused),
        (PlatformRequest::Get { .. }, 200) => {
            parse_body(body).map(|value: StoredValue| PlatformAnswer::Value(Some(value)))
        }
        (PlatformRequest::Get { .. }, 404) => Some(PlatformAnswer::Value(None)),
        (PlatformRequest::Put { .. }, 200) => parse_body(body).map(PlatformAnswer::Written),
        (PlatformRequest::Put { .. }, 409) => Some(PlatformAnswer::Conflict),
        (PlatformRequest::Watch { .. }, 200) => parse_body(body).map(|body: ChangesBody| {
            PlatformAnswer::Changes { head: body.head, values: body.values }
        }),
        (PlatformRequest::ListVms, 200) => {
            parse_body(body).map(|body: VmsBody| PlatformAnswer::Vms(body.vms))
        }
        (PlatformRequest::Reboot { .. }, 202) => Some(PlatformAnswer::Accepted),
        (PlatformRequest::Reboot { .. }, 409) => Some(PlatformAnswer::Refused),
        _ => None,
    };
    decoded.unwrap_or(PlatformAnswer::Unknown)
}

fn parse_body<T: for<'de> Deserialize<'de>>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}
