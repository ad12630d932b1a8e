//! Queues and jobs in the product's own form, beside the metrics. The same keys are
//! asked for as on the platform's way in.

use std::sync::Arc;

use fleet::{ClientAnswer, Event};
use protocol::{QueueHead, QueueReply, queue_call, queue_fault, queue_reply};
use tiny_http::Request;
use transport::read_body;

use super::host::FleetHost;
use super::submitters;

/// Takes a request for a queue.
pub fn take(host: &Arc<FleetHost>, mut request: Request) {
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
    match queue_call(token, head, &body) {
        Ok(call) => {
            host.register_request(token, request, write_answer);
            host.post(Event::Client(call));
        }
        Err(fault) => {
            tracing::warn!(url = request.url(), ?fault, "request refused");
            write(request, &queue_fault(fault));
        }
    }
}

fn write_answer(request: Request, answer: &ClientAnswer) {
    write(request, &queue_reply(answer));
}

fn write(request: Request, reply: &QueueReply) {
    let retry_after_s = reply.retry_after.map(|delay| delay.0.div_ceil(1_000));
    submitters::send(request, reply.status, reply.body.to_string(), retry_after_s);
}
