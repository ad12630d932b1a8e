//! The platform's interface: a key-value service with compare-and-swap and
//! watches, a list of VMs, and reboots. Everything that would change with
//! another platform stands here and in `transport::platform`.

use coordination::{PlatformAnswer, PlatformRequest, StoredValue};
use serde::{Deserialize, Serialize};
use state::{Millis, Revision, VmListing};

/// Body of a write.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PutBody {
    /// The revision to replace; 0 for an absent key.
    pub expect: Revision,
    /// The new value.
    pub value: Box<str>,
}

/// Body of a reboot.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RebootBody {
    /// The epoch of the VM's record; a lower one than seen is refused.
    pub epoch: u64,
}

/// Answer to a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChangesBody {
    /// The revision up to which all changes are included.
    pub head: Revision,
    /// Changed keys with their values.
    pub values: Vec<StoredValue>,
}

/// Answer to a listing.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VmsBody {
    /// All VMs.
    pub vms: Vec<VmListing>,
}

/// One HTTP call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformCall {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// Body in JSON; empty for none.
    pub body: Vec<u8>,
}

/// The HTTP call of a request.
pub fn platform_call(request: &PlatformRequest, watch_wait: Millis) -> PlatformCall {
    match request {
        PlatformRequest::Get { key } => get(format!("/kv/{key}")),
        PlatformRequest::Put { key, expect, value } => {
            let body = PutBody { expect: *expect, value: value.clone() };
            PlatformCall { method: "PUT", path: format!("/kv/{key}"), body: json(&body) }
        }
        PlatformRequest::Watch { prefix, after } => {
            get(format!("/watch/{prefix}?after={after}&wait_ms={}", watch_wait.0))
        }
        PlatformRequest::ListVms => get("/vms".to_owned()),
        PlatformRequest::Reboot { vm, epoch } => {
            let body = json(&RebootBody { epoch: *epoch });
            PlatformCall { method: "POST", path: format!("/vms/{vm}/reboot"), body }
        }
    }
}

fn get(path: String) -> PlatformCall {
    PlatformCall { method: "GET", path, body: Vec::new() }
}

fn json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("a body is valid JSON")
}

/// The meaning of the platform's HTTP answer. Anything that is not understood
/// is [`PlatformAnswer::Unknown`].
pub fn platform_answer(request: &PlatformRequest, status: u16, body: &[u8]) -> PlatformAnswer {
    let understood = match (request, status) {
        (_, 503) => Some(PlatformAnswer::Refused),
        (PlatformRequest::Get { .. }, 200) => {
            parse(body).map(|value: StoredValue| PlatformAnswer::Value(Some(value)))
        }
        (PlatformRequest::Get { .. }, 404) => Some(PlatformAnswer::Value(None)),
        (PlatformRequest::Put { .. }, 200) => parse(body).map(PlatformAnswer::Written),
        (PlatformRequest::Put { .. }, 409) => Some(PlatformAnswer::Conflict),
        (PlatformRequest::Watch { .. }, 200) => parse(body).map(|body: ChangesBody| {
            PlatformAnswer::Changes { head: body.head, values: body.values }
        }),
        (PlatformRequest::ListVms, 200) => {
            parse(body).map(|body: VmsBody| PlatformAnswer::Vms(body.vms))
        }
        (PlatformRequest::Reboot { .. }, 202) => Some(PlatformAnswer::Accepted),
        (PlatformRequest::Reboot { .. }, 409) => Some(PlatformAnswer::Refused),
        _ => None,
    };
    understood.unwrap_or(PlatformAnswer::Unknown)
}

fn parse<T: for<'de> Deserialize<'de>>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}
