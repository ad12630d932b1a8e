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
