//! Stand-in of the platform's list of machines, all of which are up.

use std::sync::Arc;

use serde_json::{Value, json};

use crate::http_server::{ServedRequest, ServerReply};
use crate::minion::StandinMinion;

/// Answers a call for the list; orders for machines are refused.
pub(crate) fn handle_machine_call(
    minions: &[Arc<StandinMinion>],
    request: &ServedRequest,
) -> ServerReply {
    if &*request.path != "/api/machines" {
        return ServerReply::empty(400);
    }
    let entries: Vec<Value> = minions.iter().map(|minion| minion.machine_entry()).collect();
    ServerReply::json(200, &json!({ "Machines": entries, "NextToken": "" }))
}
