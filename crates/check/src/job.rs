//! Checks of a job file.

use findings::{FindingList, SourceFile};
use jobs::{JobSpec, StepSpec, parse_job_file};
use state::{PathStep, Position};

/// Longest estimate that is not reported, in milliseconds: 30 days.
const LONGEST_ESTIMATE_MS: u64 = 30 * 24 * 3_600_000;

/// Checks one job. Returns the job unless the file has errors of format.
pub(crate) fn check_job(source: &SourceFile, list: &mut FindingList) -> Option<JobSpec> {
    list.add_faults(source.value.repeated_field_faults());
    let job = parse_job_file(&source.text).map_err(|faults| list.add_faults(faults)).ok()?;
    for (index, step) in job.steps.iter().enumerate() {
        let mut check = StepCheck { source, list, index, step };
        check.check_dependencies(&job);
        check.check_placement();
        check.check_long_running();
        check.check_estimate();
    }
    check_timetable(source, &job, list);
    Some(job)
}

/// Check of one step.
struct StepCheck<'a> {
    source: &'a SourceFile,
    list: &'a mut FindingList,
    index: usize,
    step: &'a StepSpec,
}

/// Returns the position of a step's field, or of the step if it does not have the field.
pub(crate) fn step_position(source: &SourceFile, index: usize, field: &str) -> Position {
    let path =
        [PathStep::Field("steps".into()), PathStep::Item(index), PathStep::Field(field.into())];
    source.value.locate(&path)
}

impl StepCheck<'_> {
    fn at(&self, field: &str) -> Position {
        step_position(self.source, self.index, field)
    }

    fn has_field(&self, field: &str) -> bool {
        let steps = self.source.value.field("steps");
        let step = steps.and_then(|steps| steps.items().get(self.index));
        step.is_some_and(|step| step.field(field).is_some())
    }

    fn error(&mut self, field: &str, message: &str) {
        let position = self.at(field);
        self.list.error(position, format!("step {}: {message}", self.index));
    }

    fn warn(&mut self, field: &str, message: &str) {
        let position = self.at(field);
        self.list.warn(position, format!("step {}: {message}", self.index));
    }

    fn check_dependencies(&mut self, job: &JobSpec) {
        let is_endless = |after: &u16| job.steps[usize::from(*after)].long_running;
        if let Some(after) = self.step.after.iter().find(|after| is_endless(after)) {
            let message =
                format!("never starts, because step {after} runs until the job is cancelled");
            self.error("after", &message);
        }
        let mut after = self.step.after.clone();
        after.sort_unstable();
        after.dedup();
        if after.len() < self.step.after.len() {
            self.warn("after", "\"after\" names a step twice");
        }
    }

    fn check_placement(&mut self) {
        if self.step.max_per_minion == Some(0) {
            self.error("most_per_minion", "\"most_per_minion\" of 0 lets no task start");
        }
        for (field, label) in [("label", &self.step.label), ("near", &self.step.data_rack)] {
            if label.as_deref() == Some("") {
                self.error(field, &format!("{field:?} is empty, which no VM matches"));
            }
        }
        if self.step.one_rack && !self.step.gang {
            self.warn("one_rack", "\"one_rack\" has an effect only together with \"gang\"");
        }
    }

    fn check_long_running(&mut self) {
        if !self.step.long_running {
            for field in ["may_miss", "target"] {
                if self.has_field(field) {
                    let message = format!("{field:?} has an effect only together with \"lasting\"");
                    self.warn(field, &message);
                }
            }
            return;
        }
        if self.step.may_miss == 0 && self.has_field("may_miss") {
            let message =
                "\"may_miss\" of 0 would forbid every drain, and counts as 1 for this reason";
            self.warn("may_miss", message);
        }
        if self.step.may_miss >= self.step.tasks {
            let message = format!(
                "\"may_miss\" of {} lets a drain stop all {} tasks at one time",
                self.step.may_miss, self.step.tasks
            );
            self.warn("may_miss", &message);
        }
    }

    fn check_estimate(&mut self) {
        if self.step.estimate.0 > LONGEST_ESTIMATE_MS {
            let message = format!(
                "an estimate of {} is more than 30 days; estimates are in milliseconds",
                self.step.estimate
            );
            self.warn("estimate", &message);
        }
    }
}

fn check_timetable(source: &SourceFile, job: &JobSpec, list: &mut FindingList) {
    let Some(timetable) = job.timetable else { return };
    let at = |field: &str| source.value.locate_field(&["timetable", field]);
    if timetable.occurrences == 0 {
        list.error(at("occurrences"), "the timetable has 0 occurrences, so no step ever runs");
    }
    if timetable.occurrences > 1 && timetable.interval.0 == 0 {
        list.warn(at("interval"), "all occurrences are due at the same time");
    }
    let last = u64::from(timetable.occurrences.saturating_sub(1));
    let last_due = last
        .checked_mul(timetable.interval.0)
        .and_then(|offset| offset.checked_add(timetable.first_due_ms));
    if last_due.is_none() {
        list.error(at("interval"), "the due time of the last occurrence is out of range");
    }
    if job.is_long_running() {
        let message = "a job with a lasting step does not end, so later occurrences never begin";
        list.warn(source.value.locate_field(&["timetable"]), message);
    }
}
