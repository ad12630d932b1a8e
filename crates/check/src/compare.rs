//! Compares files with the versions in force.

use findings::{Difference, DifferenceList, Finding, FindingList};
use platform::check::{check_version, compare_configs, compare_waves};
use state::{ConfigDoc, ConfigEdit, Position};

use crate::document_difference::{compare_jobs, compare_settings};
use crate::list_difference;
use crate::list_set::apply_lists;
use crate::run::{CheckedFile, Content, checked_lists};

/// Compares each file with the version in force of its kind, and the lists also with the whole
/// configuration in force.
pub(crate) fn compare_all(
    files: &[CheckedFile],
    against: &[CheckedFile],
    base: Option<&ConfigDoc>,
    findings: &mut Vec<Finding>,
) -> Vec<Difference> {
    let mut list = DifferenceList::default();
    if let Some(base) = base {
        list_difference::compare_configs(base, &config_after(files, base), &mut list);
    }
    for file in files {
        if let Some(other) = against.iter().find(|other| other.kind == file.kind) {
            findings.extend(compare_pair(other, file, &mut list));
        }
    }
    for other in against.iter().filter(|other| !has_counterpart(other, files)) {
        let mut list = FindingList::new(&other.source.name);
        let message = format!("no file to check can be compared with this {} file", other.kind);
        list.warn(Position::START, message);
        findings.extend(list.into_findings());
    }
    list.into_differences()
}

/// Returns the whole configuration that the files yield.
fn config_after(files: &[CheckedFile], base: &ConfigDoc) -> ConfigDoc {
    let whole = files.iter().find_map(|file| match &file.content {
        Content::Config(config) => Some((**config).clone()),
        _ => None,
    });
    whole.unwrap_or_else(|| apply_lists(base, &checked_lists(files)))
}

fn has_counterpart(other: &CheckedFile, files: &[CheckedFile]) -> bool {
    let is_list = |file: &CheckedFile| matches!(file.content, Content::List(_));
    let is_whole = matches!(other.content, Content::Config(_));
    files.iter().any(|file| file.kind == other.kind || (is_whole && is_list(file)))
}

fn compare_pair(
    before: &CheckedFile,
    after: &CheckedFile,
    list: &mut DifferenceList,
) -> Vec<Finding> {
    let mut findings = FindingList::new(&after.source.name);
    match (&before.content, &after.content) {
        (Content::List(before), Content::List(after)) => {
            list_difference::compare_configs(&config_of(before), &config_of(after), list);
        }
        (Content::Settings(before), Content::Settings(after)) => {
            compare_settings(before, after, list);
        }
        (Content::Job(before), Content::Job(after)) => compare_jobs(before, after, list),
        (Content::PlatformConfig(before), Content::PlatformConfig(config)) => {
            compare_configs(before, config, list);
            check_version(&after.source, before, config, &mut findings);
        }
        (Content::Wave(before), Content::Wave(after)) => compare_waves(before, after, list),
        _ => {}
    }
    findings.into_findings()
}

/// Returns a configuration that consists of one list.
fn config_of(edit: &ConfigEdit) -> ConfigDoc {
    let mut config = ConfigDoc::default();
    config.apply_edit(edit);
    config
}
