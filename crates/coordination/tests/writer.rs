//! Tests of the document writer with lost answers, concurrent changes,
//! withdrawals and values that arrive late.
//!
//! The tests guard against a change that is written twice, lost or reported with
//! the wrong result, and against an older document that replaces a newer one.

use coordination::mutate::claim::{ClaimMutation, ClaimResult, apply};
use coordination::{DocumentWriter, PlatformAnswer, PlatformRequest, StoredValue, Withdrawal};
use state::{ClaimDoc, ClaimRecord, ClaimState, DaemonRef, Moment, Revision};

type ClaimWriter = DocumentWriter<ClaimDoc, ClaimMutation, ClaimResult>;

/// Returns a mutation that acquires the same claim for the given request.
fn acquire_claim(request: &str) -> ClaimMutation {
    let holder: DaemonRef = "entry-1@1".parse().expect("the daemon reference is valid");
    let request = request.parse().expect("the request id is valid");
    let state = ClaimState::Held;
    let record = ClaimRecord { holder, request, state, claimed_ms: 1 };
    ClaimMutation::Acquire { key: "team/order".into(), record }
}

/// Polls the writer and returns the expected revision and the value of its write.
fn poll_write(writer: &mut ClaimWriter, now: u64) -> (Revision, Box<str>) {
    match writer.poll(Moment(now)).0 {
        Some(PlatformRequest::Put { expect, value, .. }) => (expect, value),
        other => panic!("expected a write, got {other:?}"),
    }
}

/// Returns a writer that has read its document and found the document missing.
fn create_writer_of_missing_document() -> ClaimWriter {
    let mut writer = ClaimWriter::new("claims/0", apply);
    assert!(matches!(writer.poll(Moment(1)).0, Some(PlatformRequest::Get { .. })));
    writer.handle_answer(Moment(1), PlatformAnswer::Value(None));
    writer
}

#[test]
fn a_write_with_a_lost_answer_is_recognised_and_not_repeated() {
    let mut writer = create_writer_of_missing_document();
    writer.submit(acquire_claim("a"));
    let (_, value) = poll_write(&mut writer, 2);
    assert!(writer.handle_answer(Moment(3), PlatformAnswer::Unknown).is_empty());
    assert!(matches!(writer.poll(Moment(500)).0, Some(PlatformRequest::Get { .. })));
    let stored = StoredValue { key: "claims/0".into(), revision: Revision(9), value };
    writer.handle_answer(Moment(501), PlatformAnswer::Value(Some(stored)));
    let (request, finished) = writer.poll(Moment(502));
    assert_eq!(request, None);
    assert_eq!(finished[0].result, ClaimResult::Applied);
}

#[test]
fn changes_submitted_during_a_write_wait_for_the_next_write() {
    let mut writer = create_writer_of_missing_document();
    writer.submit(acquire_claim("a"));
    poll_write(&mut writer, 2);
    writer.submit(acquire_claim("b"));
    writer.submit(acquire_claim("a"));
    assert_eq!(writer.poll(Moment(3)).0, None);
    let finished = writer.handle_answer(Moment(4), PlatformAnswer::Written(Revision(5)));
    assert_eq!(finished.len(), 1);
    let (request, finished) = writer.poll(Moment(5));
    assert_eq!(request, None);
    assert!(matches!(finished[0].result, ClaimResult::HeldByOther(_)));
    assert_eq!(finished[1].result, ClaimResult::Applied);
}

#[test]
fn withdraw_reports_whether_the_change_may_have_been_written() {
    let mut writer = create_writer_of_missing_document();
    writer.submit(acquire_claim("a"));
    assert_eq!(writer.withdraw(|_| true), Withdrawal::NotWritten);
    assert_eq!(writer.poll(Moment(2)).0, None);
    writer.submit(acquire_claim("b"));
    poll_write(&mut writer, 3);
    assert_eq!(writer.withdraw(|_| true), Withdrawal::MayBeWritten);
    writer.handle_answer(Moment(4), PlatformAnswer::Unknown);
    assert!(matches!(writer.poll(Moment(900)).0, Some(PlatformRequest::Get { .. })));
    writer.handle_answer(Moment(901), PlatformAnswer::Value(None));
    assert_eq!(writer.poll(Moment(902)).0, None);
}

#[test]
fn an_older_value_never_replaces_a_newer_value() {
    let mut writer = create_writer_of_missing_document();
    writer.submit(acquire_claim("a"));
    let (_, value) = poll_write(&mut writer, 2);
    writer.handle_answer(Moment(3), PlatformAnswer::Written(Revision(7)));
    writer.observe(Revision(6), "{\"claims\":{}}");
    assert_eq!(writer.revision(), Revision(7));
    assert_eq!(serde_json::to_string(writer.doc()).expect("JSON"), &*value);
}
