//! Differences between two versions of a job or of a daemon's settings.

use findings::DifferenceList;
use jobs::{JobSpec, StepSpec};
use state::{DaemonSettings, LogFormat};

/// Adds the differences between two versions of a daemon's settings. The operators' key is not
/// shown.
pub(crate) fn compare_settings(
    before: &DaemonSettings,
    after: &DaemonSettings,
    list: &mut DifferenceList,
) {
    let subject = format!("daemon {}", after.daemon);
    list.compare_values(&subject, "name", &before.daemon, &after.daemon);
    list.compare_values(&subject, "VM", &before.vm, &after.vm);
    list.compare_values(&subject, "data centre", &before.data_centre, &after.data_centre);
    list.compare_values(&subject, "listen", &before.listen, &after.listen);
    list.compare_values(&subject, "peer_listen", &before.peer_listen, &after.peer_listen);
    list.compare_values(&subject, "platform", &before.platform, &after.platform);
    if before.operator_key != after.operator_key {
        list.add(&subject, "operators' key replaced");
    }
    let threads = (before.request_threads, after.request_threads);
    list.compare_amounts(&subject, "request_threads", &threads.0, &threads.1);
    list.compare_amounts(&subject, "queue_limit", &before.queue_limit, &after.queue_limit);
    let show = |metrics: Option<std::net::SocketAddr>| {
        metrics.map_or("none".to_owned(), |address| address.to_string())
    };
    list.compare_values(&subject, "metrics", &show(before.metrics), &show(after.metrics));
    let formats = (format_name(before.log_format), format_name(after.log_format));
    list.compare_values(&subject, "log_format", &formats.0, &formats.1);
    list.compare_values(&subject, "log_filter", &before.log_filter, &after.log_filter);
}

fn format_name(format: LogFormat) -> &'static str {
    match format {
        LogFormat::Plain => "plain",
        LogFormat::Json => "json",
    }
}

/// Adds the differences between two versions of a job.
pub(crate) fn compare_jobs(before: &JobSpec, after: &JobSpec, list: &mut DifferenceList) {
    if before.payload != after.payload {
        list.add("job", "payload changed");
    }
    if before.timetable != after.timetable {
        list.add("job", "timetable changed");
    }
    for index in 0..before.steps.len().max(after.steps.len()) {
        let rows = (before.steps.get(index), after.steps.get(index));
        let describe = |step: &StepSpec| format!("with {} tasks", step.tasks);
        let subject = format!("step {index}");
        if let Some((before, after)) = list.compare_presence(&subject, rows.0, rows.1, describe) {
            compare_steps(&subject, before, after, list);
        }
    }
}

fn compare_steps(subject: &str, before: &StepSpec, after: &StepSpec, list: &mut DifferenceList) {
    list.compare_amounts(subject, "tasks", &before.tasks, &after.tasks);
    list.compare_amounts(subject, "estimate", &before.estimate, &after.estimate);
    let (old, new) = (&before.demand, &after.demand);
    list.compare_amounts(subject, "processor", &old.processor, &new.processor);
    list.compare_amounts(subject, "memory", &old.memory, &new.memory);
    list.compare_amounts(subject, "accelerators", &old.accelerators, &new.accelerators);
    list.compare_amounts(subject, "may_miss", &before.may_miss, &after.may_miss);
    let compared = StepSpec {
        tasks: before.tasks,
        estimate: before.estimate,
        demand: before.demand,
        may_miss: before.may_miss,
        ..after.clone()
    };
    if compared != *before {
        list.add(subject, "where or how its tasks run changed");
    }
}
