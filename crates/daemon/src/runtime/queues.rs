//! Serves queues and jobs over pollenfall's own HTTP protocol, on the internal address that
//! also serves the metrics.
//!
//! Callers send the same keys as on the submitters' address of the platform.

use std::sync::Arc;

use fleet::{ClientAnswer, Event};
use protocol::{QueueHead, QueueReply, decode_queue_call, encode_queue_answer, encode_queue_fault};
use tiny_http::Request;
use transport::read_body;

use super::host::FleetHost;
use super::submitters;

/// Decodes a request for a queue or one of its jobs and posts it as an event.
pub fn handle_request(host: &Arc<FleetHost>, mut request: Request) {
    let body = match read_body(&mut request) {
        Ok(body) => body,
        Err(fault) => {
            tracing::warn!(url = request.url(), %fault, "request refused");
            return write_answer(request, &ClientAnswer::Malformed(fault.to_string().into()));
        }
    };
    let token = host.allocate_token();
    let header = request.headers().iter().find(|header| header.field.equiv("Authorization"));
    let head = QueueHead {
        method: request.method().as_str(),
        url: request.url(),
        authorization: header.map(|header| header.value.as_str()),
    };
    match decode_queue_call(token, head, &body) {
        Ok(call) => {
            host.register_request(token, request, write_answer);
            host.post(Event::Client(call));
        }
        Err(fault) => {
            tracing::warn!(url = request.url(), ?fault, "request refused");
            write_reply(request, &encode_queue_fault(fault));
        }
    }
}

fn write_answer(request: Request, answer: &ClientAnswer) {
    write_reply(request, &encode_queue_answer(answer));
}

fn write_reply(request: Request, reply: &QueueReply) {
    let retry_after_s = reply.retry_after.map(|delay| delay.0.div_ceil(1_000));
    submitters::write_response(request, reply.status, reply.body.to_string(), retry_after_s);
}
