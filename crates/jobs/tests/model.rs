//! Guards the checks of a job's graph, the critical path, the stored form of progress, and the text
//! form of task names. A change of the stored or text form makes existing records unreadable.

use jobs::{JobProgress, JobSpec, RunNumber, StepSpec, TaskMark, TaskName, Timetable};
use rstest::rstest;
use state::Millis;

fn step(tasks: u32, estimate: u64, after: &[u16]) -> StepSpec {
    StepSpec { tasks, estimate: Millis(estimate), after: after.into(), ..StepSpec::default() }
}

fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec { payload: "text".into(), steps, timetable: None }
}

#[rstest]
#[case(vec![])]
#[case(vec![step(0, 1, &[])])]
#[case(vec![step(1, 1, &[0])])]
#[case(vec![step(1, 1, &[]), step(1, 1, &[1])])]
#[case(vec![step(9_000, 1, &[]), step(9_000, 1, &[]), step(9_000, 1, &[])])]
fn invalid_graphs_are_rejected(#[case] steps: Vec<StepSpec>) {
    assert!(job(steps).check().is_err());
}

/// Guards against a payload that makes each start of a task as long as a client likes.
#[rstest]
#[case(4_000, true)]
#[case(4_001, false)]
fn length_of_the_payload_is_limited(#[case] bytes: usize, #[case] is_valid: bool) {
    let payload = "a".repeat(bytes).into();
    let spec = JobSpec { payload, ..job(vec![step(1, 1, &[])]) };
    assert_eq!(spec.check().is_ok(), is_valid);
}

#[test]
fn critical_path_follows_the_graph() {
    let spec = job(vec![step(2, 300, &[]), step(1, 500, &[]), step(3, 100, &[0, 1])]);
    assert_eq!(spec.check(), Ok(()));
    assert_eq!(spec.critical_path(), Millis(600));
    let mut progress = JobProgress::default();
    progress.set_mark(0, 1, 0, TaskMark::Done);
    assert_eq!(spec.remaining_critical_path(&progress, 0), Millis(400));
}

#[test]
fn progress_has_one_letter_per_task() {
    let spec = job(vec![step(3, 1, &[]), step(1, 1, &[0])]);
    let mut progress = JobProgress::default();
    progress.set_mark(0, 0, 2, TaskMark::Done);
    progress.set_mark(0, 0, 0, TaskMark::Open(2));
    let text = serde_json::to_string(&progress).expect("progress serialises");
    insta::assert_snapshot!(text, @r#"{"0.0":"2.d"}"#);
    let decoded: JobProgress = serde_json::from_str(&text).expect("progress deserialises");
    assert_eq!(decoded, progress);
    assert!(!progress.is_step_done(&spec, 0, 0));
    progress.set_mark(0, 0, 2, TaskMark::Open(1));
    assert_eq!(progress.mark(0, 0, 2), TaskMark::Done, "a done task stays done");
    progress.discount_failure(0, 0, 0);
    assert_eq!(progress.mark(0, 0, 0), TaskMark::Open(1));
}

#[test]
fn a_job_is_complete_when_every_occurrence_is_done() {
    let mut spec = job(vec![step(1, 1, &[])]);
    spec.timetable = Some(Timetable { first_due_ms: 1_000, interval: Millis(500), occurrences: 2 });
    assert_eq!(spec.due_ms(1), 1_500);
    let mut progress = JobProgress::default();
    progress.set_mark(0, 0, 0, TaskMark::Done);
    assert!(!progress.is_complete(&spec));
    progress.set_mark(1, 0, 0, TaskMark::Done);
    assert!(progress.is_complete(&spec));
}

/// Guards against a count of failed runs that stops below the limit on attempts.
#[rstest]
#[case(9, r#"{"0.0":".9"}"#)]
#[case(10, r#"{"0.0":".9","0.0.1":"10"}"#)]
#[case(u32::MAX, r#"{"0.0":".9","0.0.1":"4294967295"}"#)]
fn any_number_of_failed_runs_is_kept(#[case] failures: u32, #[case] expected: &str) {
    let mut progress = JobProgress::default();
    progress.set_mark(0, 0, 1, TaskMark::Open(failures));
    let text = serde_json::to_string(&progress).expect("progress serialises");
    assert_eq!(text, expected);
    let mut decoded: JobProgress = serde_json::from_str(&text).expect("progress deserialises");
    assert_eq!(decoded.mark(0, 0, 1), TaskMark::Open(failures));
    decoded.discount_failure(0, 0, 1);
    assert_eq!(decoded.mark(0, 0, 1), TaskMark::Open(failures - 1));
    decoded.set_mark(0, 0, 1, TaskMark::Done);
    let text = serde_json::to_string(&decoded).expect("progress serialises");
    assert_eq!(text, r#"{"0.0":".d"}"#);
}

fn timetabled_job(occurrences: u32) -> JobSpec {
    let mut spec = job(vec![step(2, 1, &[]), step(1, 1, &[0])]);
    spec.timetable = Some(Timetable { first_due_ms: 0, interval: Millis(1), occurrences });
    spec
}

fn finish_occurrence(progress: &mut JobProgress, spec: &JobSpec, occurrence: u32) {
    for (step, index) in [(0, 0), (0, 1), (1, 0)] {
        progress.set_mark(occurrence, step, index, TaskMark::Done);
    }
    progress.close_if_done(spec, occurrence);
}

/// Guards against a stored record that grows with each occurrence that is done.
#[test]
fn progress_keeps_no_marks_of_occurrences_that_are_done() {
    let spec = timetabled_job(100_000);
    let mut progress = JobProgress::default();
    assert!(progress.is_empty());
    for occurrence in 0..50_000 {
        assert_eq!(progress.open_next(), occurrence);
        if occurrence != 7 {
            finish_occurrence(&mut progress, &spec, occurrence);
        }
    }
    progress.set_mark(7, 0, 1, TaskMark::Done);
    assert_eq!((progress.open_next(), progress.open_next()), (50_000, 50_001));
    let text = serde_json::to_string(&progress).expect("progress serialises");
    insta::assert_snapshot!(text, @r#"{"7.0":".d","50000.0":"","50001.0":"","opened":"50002"}"#);
    let decoded: JobProgress = serde_json::from_str(&text).expect("progress deserialises");
    assert_eq!(decoded, progress);
    assert_eq!(decoded.mark(6, 1, 0), TaskMark::Done);
    assert_eq!(decoded.mark(7, 1, 0), TaskMark::Open(0), "its occurrence is open");
    assert_eq!(decoded.mark(50_002, 0, 0), TaskMark::Open(0), "its occurrence was not opened");
    assert_eq!(decoded.open_tasks(&spec, 7, 0), 1);
    assert_eq!(decoded.open_occurrences().into_iter().collect::<Vec<_>>(), [7, 50_000, 50_001]);
    assert!(!decoded.is_empty() && !decoded.is_complete(&spec));
}

/// Guards against occurrences that run again because an earlier version has stored their marks.
#[test]
fn progress_of_earlier_versions_is_read() {
    let spec = timetabled_job(3);
    let text = r#"{"0.0":"dd","0.1":"d","1.0":"dd","2.0":"2."}"#;
    let mut progress: JobProgress = serde_json::from_str(text).expect("progress deserialises");
    let mut is_done = Vec::new();
    for _ in 0..3 {
        let occurrence = progress.open_next();
        is_done.push(progress.close_if_done(&spec, occurrence));
    }
    assert_eq!(is_done, [true, false, false]);
    assert_eq!(progress.mark(2, 0, 0), TaskMark::Open(2));
    progress.set_mark(1, 1, 0, TaskMark::Done);
    progress.close_if_done(&spec, 1);
    assert!(!progress.is_complete(&spec));
    finish_occurrence(&mut progress, &spec, 2);
    assert!(progress.is_complete(&spec));
}

#[rstest]
#[case("5c0e7a21d94b36f8.0.1.17", true)]
#[case("a.b.0.1.17", true)]
#[case("5c0e.0.1", false)]
#[case("5c0e.0.1.x", false)]
#[case("", false)]
fn task_names_round_trip_through_text(#[case] text: &str, #[case] is_valid: bool) {
    let name = text.parse::<TaskName>();
    assert_eq!(name.is_ok(), is_valid);
    if let Ok(name) = name {
        assert_eq!(name.to_string(), text);
    }
    assert!(RunNumber(2) > RunNumber(1));
}
