//! The document writer, when the store's answers are lost, late or refused.

use coordination::mutate::claim::{ClaimMutation, ClaimResult, apply};
use coordination::{DocumentWriter, PlatformAnswer, PlatformRequest, StoredValue, Withdrawal};
use state::{ClaimDoc, ClaimRecord, ClaimState, DaemonRef, Moment, Revision};

type ClaimWriter = DocumentWriter<ClaimDoc, ClaimMutation, ClaimResult>;

fn claim(request: &str) -> ClaimMutation {
    let holder: DaemonRef = "entry-1@1".parse().expect("a run");
    let request = request.parse().expect("an id");
    let state = ClaimState::Held;
    let record = ClaimRecord { holder, request, state, claimed_ms: 1 };
    ClaimMutation::Acquire { key: "team/order".into(), record }
}

fn put(writer: &mut ClaimWriter, now: u64) -> (Revision, Box<str>) {
    match writer.poll(Moment(now)).0 {
        Some(PlatformRequest::Put { expect, value, .. }) => (expect, value),
        other => panic!("expected a write, not {other:?}"),
    }
}

fn known_writer() -> ClaimWriter {
    let mut writer = ClaimWriter::new("claims/0", apply);
    assert!(matches!(writer.poll(Moment(1)).0, Some(PlatformRequest::Get { .. })));
    writer.handle_answer(Moment(1), PlatformAnswer::Value(None));
    writer
}

#[test]
fn a_write_whose_answer_was_lost_is_recognised_and_not_repeated() {
    let mut writer = known_writer();
    writer.submit(claim("a"));
    let (_, value) = put(&mut writer, 2);
    assert!(writer.handle_answer(Moment(3), PlatformAnswer::Unknown).is_empty());
    assert!(matches!(writer.poll(Moment(500)).0, Some(PlatformRequest::Get { .. })));
    let stored = StoredValue { key: "claims/0".into(), revision: Revision(9), value };
    writer.handle_answer(Moment(501), PlatformAnswer::Value(Some(stored)));
    let (call, finished) = writer.poll(Moment(502));
    assert_eq!(call, None);
    assert_eq!(finished[0].result, ClaimResult::Applied);
}

#[test]
fn changes_that_come_during_a_write_join_the_next_one() {
    let mut writer = known_writer();
    writer.submit(claim("a"));
    put(&mut writer, 2);
    writer.submit(claim("b"));
    writer.submit(claim("a"));
    assert_eq!(writer.poll(Moment(3)).0, None);
    let finished = writer.handle_answer(Moment(4), PlatformAnswer::Written(Revision(5)));
    assert_eq!(finished.len(), 1);
    let (call, finished) = writer.poll(Moment(5));
    assert_eq!(call, None);
    assert!(matches!(finished[0].result, ClaimResult::HeldByOther(_)));
    assert_eq!(finished[1].result, ClaimResult::Applied);
}

#[test]
fn a_withdrawn_change_says_whether_it_may_have_been_written() {
    let mut writer = known_writer();
    writer.submit(claim("a"));
    assert_eq!(writer.withdraw(|_| true), Withdrawal::NotWritten);
    assert_eq!(writer.poll(Moment(2)).0, None);
    writer.submit(claim("b"));
    put(&mut writer, 3);
    assert_eq!(writer.withdraw(|_| true), Withdrawal::MayBeWritten);
    writer.handle_answer(Moment(4), PlatformAnswer::Unknown);
    assert!(matches!(writer.poll(Moment(900)).0, Some(PlatformRequest::Get { .. })));
    writer.handle_answer(Moment(901), PlatformAnswer::Value(None));
    assert_eq!(writer.poll(Moment(902)).0, None);
}

#[test]
fn an_older_value_never_replaces_a_newer_one() {
    let mut writer = known_writer();
    writer.submit(claim("a"));
    let (_, value) = put(&mut writer, 2);
    writer.handle_answer(Moment(3), PlatformAnswer::Written(Revision(7)));
    writer.observe(Revision(6), "{\"claims\":{}}");
    assert_eq!(writer.revision(), Revision(7));
    assert_eq!(serde_json::to_string(writer.doc()).expect("JSON"), &*value);
}
