//! Guards against tasks that run twice: real daemons, and minions that restart under their ids.

use std::path::PathBuf;
use std::time::Duration;

use rstest::rstest;
use soak::{OwnerEnd, ScriptKind, SoakSettings, run_script};
use state::Millis;

/// Longest leases that deployments grant.
const SHORT_LEASE: Millis = Millis(6_000);
const LONG_LEASE: Millis = Millis(10_000);
/// Seed of all scripts.
const SEED: u64 = 1;

fn build_settings(name: &str, script: ScriptKind) -> SoakSettings {
    let folder = format!("soak-{name}-{}", std::process::id());
    SoakSettings {
        program: env!("CARGO_BIN_EXE_pollenfalld").into(),
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(folder),
        script,
        owner_end: OwnerEnd::None,
        hold_max: LONG_LEASE,
        rounds: 1,
        duration: Duration::from_secs(20),
        has_late_orders: false,
        seed: SEED,
    }
}

/// Plays a script. The logs of the daemons are kept if it fails.
fn check_script(settings: &SoakSettings) {
    let report = run_script(settings).expect("the script is played");
    let folder = &settings.folder;
    report.write_log(&folder.join("runs.log")).expect("write the log of the runs");
    let logs = folder.display();
    assert!(report.doubled_runs.is_empty(), "{report}\nsee {logs}");
    assert!(report.done_runs > 0, "no task was done: {report}\nsee {logs}");
    std::fs::remove_dir_all(folder).expect("remove the logs");
}

#[rstest]
#[case::terminated("terminated", OwnerEnd::Terminate)]
#[case::killed("killed", OwnerEnd::Kill)]
fn new_owner_starts_no_task_that_an_unknown_incarnation_still_runs(
    #[case] name: &str,
    #[case] owner_end: OwnerEnd,
) {
    let settings = build_settings(name, ScriptKind::RestartCut);
    check_script(&SoakSettings { owner_end, rounds: 2, ..settings });
}

#[test]
fn new_owner_starts_no_task_that_a_minion_missing_from_the_roster_still_runs() {
    let settings = build_settings("roster", ScriptKind::RestartAnother);
    let owner_end = OwnerEnd::Terminate;
    check_script(&SoakSettings { owner_end, hold_max: SHORT_LEASE, rounds: 3, ..settings });
}

#[rstest]
#[case::cut_soon("cut-soon", ScriptKind::CutSoon, SHORT_LEASE)]
#[case::answers_lost("answers-lost", ScriptKind::AnswersLostFirst, SHORT_LEASE)]
#[case::long_lease("long-lease", ScriptKind::RestartCut, LONG_LEASE)]
fn owner_starts_no_task_that_an_unknown_incarnation_still_runs(
    #[case] name: &str,
    #[case] script: ScriptKind,
    #[case] hold_max: Millis,
) {
    let settings = build_settings(name, script);
    check_script(&SoakSettings { hold_max, ..settings });
}
