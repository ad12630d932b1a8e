//! Properties of the parsers of bytes from outside: frames of peers, control requests and jobs.
//!
//! The tests guard against bytes that end the process by a panic or a stack overflow, and against
//! bodies that are decoded although they exceed a bound.

use std::fmt::Write;

use coordination::{Frame, FrameBody, PeerStatus};
use fleet::ReplyToken;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use protocol::{
    MAX_FRAME_BYTES, QueueHead, decode_control_request, decode_frame, decode_queue_call,
    encode_frame,
};
use rstest::rstest;
use state::{DaemonRef, Incarnation, Moment};

const SEED: [u8; 32] = [11; 32];
const CASES: u32 = 300;

fn check<S: Strategy>(strategy: S, property: impl Fn(S::Value)) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(CASES), rng);
    let result = runner.run(&strategy, |value| {
        property(value);
        Ok(())
    });
    assert!(result.is_ok(), "{}", result.expect_err("a failed case"));
}

fn encoded_frame() -> Vec<u8> {
    let from: DaemonRef = "entry-1@1700000000000".parse().expect("valid daemon reference");
    encode_frame(&Frame {
        from,
        to: Incarnation(1_700_000_000_000),
        sent: Moment(100_000),
        echo: Moment(99_500),
        status: PeerStatus::default(),
        body: FrameBody::Beat,
    })
}

#[test]
fn random_bytes_are_no_frame_and_no_panic() {
    check(proptest::collection::vec(any::<u8>(), 0..2_000), |bytes| {
        let _ = decode_frame(&bytes);
    });
}

#[test]
fn changed_frames_cause_no_panic() {
    let changes = proptest::collection::vec((any::<usize>(), any::<u8>()), 1..6);
    check(changes, |changes| {
        let mut bytes = encoded_frame();
        for (position, byte) in changes {
            let length = bytes.len();
            bytes[position % length] = byte;
        }
        let _ = decode_frame(&bytes);
    });
}

/// Heads of CBOR items that declare more than there is, and nesting without an end.
#[rstest]
#[case::nested_arrays(0x81)]
#[case::nested_maps(0xa1)]
#[case::endless_arrays(0x9f)]
#[case::endless_texts(0x7f)]
#[case::tags(0xc0)]
fn repeated_heads_are_refused(#[case] head: u8) {
    assert!(decode_frame(&vec![head; MAX_FRAME_BYTES]).is_err());
}

#[test]
fn frames_over_the_limit_are_refused() {
    let mut bytes = encoded_frame();
    bytes.resize(MAX_FRAME_BYTES + 1, 0);
    assert!(decode_frame(&bytes).is_err());
}

/// Texts that are put together from the parts of JSON.
fn json_text() -> impl Strategy<Value = String> {
    let part = prop_oneof![
        Just("{"),
        Just("}"),
        Just("["),
        Just("]"),
        Just(","),
        Just(":"),
        Just("\"steps\":[{\"tasks\":18446744073709551615}]"),
        Just("\"payload\":\"\""),
        Just("\"\\u0000\""),
        Just("/*"),
        Just("1e999"),
        Just("-"),
        Just("\u{1f33b}"),
    ];
    proptest::collection::vec((part, 1_usize..400), 0..12).prop_map(|parts| {
        parts.into_iter().fold(String::new(), |mut text, (part, count)| {
            let _ = write!(text, "{}", part.repeat(count));
            text
        })
    })
}

fn decode_job(body: &[u8]) {
    let head = QueueHead { method: "PUT", url: "/queues/a/b", authorization: None };
    let _ = decode_queue_call(ReplyToken(1), head, body);
}

#[test]
fn json_texts_cause_no_panic() {
    check(json_text(), |text| {
        decode_job(text.as_bytes());
        for path in ["jobs", "change", "vms/a"] {
            let _ = decode_control_request("POST", path, text.as_bytes(), None);
        }
    });
}

#[rstest]
#[case::arrays("[")]
#[case::objects("{\"a\":")]
#[case::comments("/*")]
fn deep_texts_cause_no_stack_overflow(#[case] part: &str) {
    let text = part.repeat(200_000 / part.len());
    decode_job(text.as_bytes());
    for path in ["jobs", "change", "vms/a"] {
        assert!(decode_control_request("POST", path, text.as_bytes(), None).is_err());
    }
}

#[test]
fn paths_and_keys_cause_no_panic() {
    check((".{0,60}", proptest::option::of(".{0,60}")), |(url, authorization)| {
        let url = format!("/queues/{url}");
        let head = QueueHead { method: "GET", url: &url, authorization: authorization.as_deref() };
        let _ = decode_queue_call(ReplyToken(1), head, b"");
        let _ = decode_control_request("GET", &url, b"", None);
    });
}
