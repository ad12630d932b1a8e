//! Serves queues and jobs over pollenfall's own HTTP protocol, on the internal address that
//! also serves the metrics.
//!
//! Callers send the same keys as on the submitters' address of the platform.

use std::sync::Arc;

use fleet::{ClientAnswer, Event};
use protocol::{QueueHead, QueueReply, decode_queue_call, encode_queue_answer, encode_queue_fault};
use transport::IncomingRequest;

use super::host::FleetHost;
use super::submitters;

/// Decodes a request for a queue or one of its jobs and posts it as an event.
pub fn handle_request(host: &Arc<FleetHost>, request: IncomingRequest) {
    let token = host.allocate_token();
    let head = QueueHead {
        method: request.method(),
        url: request.url(),
        authorization: request.header("Authorization"),
    };
    match decode_queue_call(token, head, request.body()) {
        Ok(call) => {
            host.register_request(token, request, write_answer);
            host.post(Event::Client(call));
        }
        Err(fault) => {
            submitters::log_refusal(host, request.url(), format!("{fault:?}"));
            write_reply(request, &encode_queue_fault(fault));
        }
    }
}

fn write_answer(request: IncomingRequest, answer: &ClientAnswer) {
    write_reply(request, &encode_queue_answer(answer));
}

fn write_reply(request: IncomingRequest, reply: &QueueReply) {
    let retry_after_s = reply.retry_after.map(|delay| delay.0.div_ceil(1_000));
    submitters::write_response(request, reply.status, reply.body.to_string(), retry_after_s);
}
