//! Tests of the HTTP interface to queues.
//!
//! The snapshots guard against a change of the decoded requests and of the encoded
//! answers. Requests to other paths or with other methods must be refused.

use fleet::{ClientAnswer, ReplyToken};
use jobs::JobPhase;
use protocol::{
    QueueCallFault, QueueHead, decode_queue_call, encode_queue_answer, encode_queue_fault,
};
use rstest::rstest;
use state::Millis;

const JOB: &str = r#"{ "payload": "x", "steps": [{ "tasks": 2 }] } // two tasks"#;

#[rstest]
#[case("submit", "PUT", "/queues/labels/1f", JOB)]
#[case("submit_broken", "PUT", "/queues/labels/1f", "{")]
#[case("show_job", "GET", "/queues/labels/1f?now", "")]
#[case("show_queue", "GET", "/queues/labels", "")]
#[case("cancel", "DELETE", "/queues/labels/1f", "")]
fn requests_are_decoded(
    #[case] name: &str,
    #[case] method: &str,
    #[case] url: &str,
    #[case] body: &str,
) {
    let head = QueueHead { method, url, authorization: Some("Bearer key-1") };
    let call = decode_queue_call(ReplyToken(1), head, body.as_bytes());
    insta::assert_debug_snapshot!(format!("queue_call_{name}"), call);
}

#[rstest]
#[case("GET", "/queue/labels", QueueCallFault::Path)]
#[case("GET", "/queues/", QueueCallFault::Path)]
#[case("GET", "/queues/no such name", QueueCallFault::Path)]
#[case("POST", "/queues/labels/1f", QueueCallFault::Method)]
fn invalid_requests_are_refused(
    #[case] method: &str,
    #[case] url: &str,
    #[case] fault: QueueCallFault,
) {
    let head = QueueHead { method, url, authorization: None };
    assert_eq!(decode_queue_call(ReplyToken(1), head, b""), Err(fault));
    assert!(encode_queue_fault(fault).status >= 400);
}

#[rstest]
#[case("accepted", ClientAnswer::Accepted)]
#[case("phase", ClientAnswer::Phase(JobPhase::Active))]
#[case("cancelled", ClientAnswer::Cancelled)]
#[case("no_job", ClientAnswer::NoJob)]
#[case("pending", ClientAnswer::Pending(12))]
#[case("no_queue", ClientAnswer::NoQueue)]
#[case("bad_key", ClientAnswer::BadKey)]
#[case("malformed", ClientAnswer::Malformed("a reason".into()))]
#[case("not_done", ClientAnswer::NotDone { retry_after: Millis(1_000) })]
#[case("unknown", ClientAnswer::Unknown)]
fn answers_are_encoded(#[case] name: &str, #[case] answer: ClientAnswer) {
    insta::assert_debug_snapshot!(format!("queue_reply_{name}"), encode_queue_answer(&answer));
}
