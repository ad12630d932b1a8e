//! Runs all checks over a set of files.

use findings::{Finding, FindingList, Severity, SourceFile, VmInventory};
use jobs::JobSpec;
use platform::check::CheckedConfig;
use state::{ConfigDoc, DaemonSettings, Millis, ParsedValue, SettingFault};

use crate::kind::{all_names, recognise};
use crate::list_set::{CheckedList, check_lists_together};
use crate::settings::CheckedSettings;
use crate::{
    CheckReport, FileKind, FileSummary, capacity, compare, config, inventory, job, lists, settings,
};

/// Content of a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InputFile {
    /// Name of the file, for findings.
    pub name: Box<str>,
    /// Bytes of the file.
    pub bytes: Vec<u8>,
}

/// Input of a check.
#[derive(Debug, Clone, Default)]
pub struct CheckInput {
    /// Files to check.
    pub files: Vec<InputFile>,
    /// Kind of all files; `None` to recognise the kind of each by its content.
    pub kind: Option<FileKind>,
    /// Files with the versions in force.
    pub against: Vec<InputFile>,
    /// Configuration in force, as a daemon has answered it.
    pub in_force: Option<ConfigDoc>,
    /// List of the VMs.
    pub vms: Option<InputFile>,
    /// Time that one VM is down in a maintenance wave.
    pub maintenance: Millis,
}

/// File that was parsed, with what its kind of file contains.
pub(crate) enum Content {
    List(state::ConfigEdit),
    Config(Box<ConfigDoc>),
    Settings(Box<DaemonSettings>),
    Job(JobSpec),
    PlatformConfig(CheckedConfig),
    Wave(platform::check::CheckedWave),
    /// The file has errors, which are reported.
    Faulty,
}

pub(crate) struct CheckedFile {
    pub(crate) source: SourceFile,
    pub(crate) kind: FileKind,
    pub(crate) content: Content,
}

impl CheckedFile {
    fn is_faulty(&self) -> bool {
        matches!(self.content, Content::Faulty)
    }
}

/// Checks files, by themselves and together, and compares them with the versions in force.
pub fn run_check(input: &CheckInput) -> CheckReport {
    let mut findings = Vec::new();
    let inventory = read_inventory(input, &mut findings);
    let mut files = Vec::new();
    let mut summaries = Vec::new();
    for file in &input.files {
        let choose_kind = |value: &ParsedValue| input.kind.or_else(|| recognise(value));
        let checked =
            check_file(file, choose_kind, input.maintenance, inventory.as_ref(), &mut findings);
        let kind = checked.as_ref().map(|checked| checked.kind);
        summaries.push(FileSummary { file: file.name.clone(), kind });
        files.extend(checked);
    }
    let against = read_against(input, &mut findings);
    let base = base_config(input, &against);
    findings.extend(check_together(&files, base.as_ref()));
    let differences = (!against.is_empty() || base.is_some())
        .then(|| compare::compare_all(&files, &against, base.as_ref(), &mut findings));
    // What a file with errors would change is not known.
    let is_complete = files.len() == input.files.len() && !files.iter().any(CheckedFile::is_faulty);
    let differences = differences.filter(|differences| is_complete || !differences.is_empty());
    findings.sort();
    CheckReport { files: summaries, findings, differences }
}

fn read_inventory(input: &CheckInput, findings: &mut Vec<Finding>) -> Option<VmInventory> {
    let file = input.vms.as_ref()?;
    SourceFile::read(&file.name, &file.bytes)
        .and_then(|source| inventory::read_inventory(&source))
        .map_err(|fault| findings.push(to_finding(&file.name, fault)))
        .ok()
}

/// Reads the versions in force. Their findings do not concern the files that are checked, except
/// for the errors of a file that cannot be compared.
fn read_against(input: &CheckInput, findings: &mut Vec<Finding>) -> Vec<CheckedFile> {
    let mut against = Vec::new();
    for file in &input.against {
        let mut file_findings = Vec::new();
        // A named kind is that of the files to check, which may be parts of a whole configuration.
        let choose_kind = |value: &ParsedValue| match recognise(value) {
            Some(FileKind::Config) => Some(FileKind::Config),
            recognised => input.kind.or(recognised),
        };
        let checked = check_file(file, choose_kind, input.maintenance, None, &mut file_findings);
        if checked.as_ref().is_none_or(CheckedFile::is_faulty) {
            file_findings.retain(|finding| finding.severity == Severity::Error);
            findings.append(&mut file_findings);
        }
        against.extend(checked);
    }
    against
}

pub(crate) fn to_finding(file: &str, fault: SettingFault) -> Finding {
    let mut list = FindingList::new(file);
    list.add_faults(vec![fault]);
    list.into_findings().remove(0)
}

fn check_file(
    file: &InputFile,
    choose_kind: impl Fn(&ParsedValue) -> Option<FileKind>,
    maintenance: Millis,
    inventory: Option<&VmInventory>,
    findings: &mut Vec<Finding>,
) -> Option<CheckedFile> {
    let mut list = FindingList::new(&file.name);
    let checked = match SourceFile::read(&file.name, &file.bytes) {
        Ok(source) => match choose_kind(&source.value) {
            Some(kind) => {
                let content = check_content(&source, kind, maintenance, inventory, &mut list);
                Some(CheckedFile { source, kind, content })
            }
            None => {
                let message = format!(
                    "the kind of the file is not recognised; name it with --kind, one of: {}",
                    all_names()
                );
                list.error(source.value.position(), message);
                None
            }
        },
        Err(fault) => {
            list.add_faults(vec![fault]);
            None
        }
    };
    findings.extend(list.into_findings());
    checked
}

fn check_content(
    source: &SourceFile,
    kind: FileKind,
    maintenance: Millis,
    inventory: Option<&VmInventory>,
    list: &mut FindingList,
) -> Content {
    let content = match kind {
        FileKind::Plans => lists::check_plans(source, list).map(Content::List),
        FileKind::Grants => lists::check_grants(source, list).map(Content::List),
        FileKind::Config => {
            config::read_config(source, list).map(|doc| Content::Config(doc.into()))
        }
        FileKind::Settings => {
            settings::check_settings(source, list).map(|it| Content::Settings(it.into()))
        }
        FileKind::Job => job::check_job(source, list).map(Content::Job),
        FileKind::PlatformConfig => {
            platform::check::check_config(source, inventory, list).map(Content::PlatformConfig)
        }
        FileKind::Wave => {
            platform::check::check_wave(source, inventory, maintenance, list).map(Content::Wave)
        }
    };
    let content = content.unwrap_or(Content::Faulty);
    if let Some(inventory) = inventory {
        match &content {
            Content::List(edit) => capacity::check_pool_policies(source, edit, inventory, list),
            Content::Job(job) => capacity::check_job_capacity(source, job, inventory, list),
            _ => {}
        }
    }
    content
}

/// Returns the configuration in force that the lists are compared with.
fn base_config(input: &CheckInput, against: &[CheckedFile]) -> Option<ConfigDoc> {
    let from_file = against.iter().find_map(|file| match &file.content {
        Content::Config(config) => Some((**config).clone()),
        _ => None,
    });
    from_file.or_else(|| input.in_force.clone())
}

pub(crate) fn checked_lists(files: &[CheckedFile]) -> Vec<CheckedList<'_>> {
    let to_list = |file: &CheckedFile| match &file.content {
        Content::List(edit) => Some(edit.clone()),
        _ => None,
    };
    let lists = files.iter().filter_map(|file| Some((&file.source, to_list(file)?)));
    lists.map(|(source, edit)| CheckedList { source, edit }).collect()
}

/// Runs the checks that concern several files.
fn check_together(files: &[CheckedFile], base: Option<&ConfigDoc>) -> Vec<Finding> {
    let mut findings = check_lists_together(base, &checked_lists(files));
    let settings: Vec<CheckedSettings<'_>> = files
        .iter()
        .filter_map(|file| match &file.content {
            Content::Settings(settings) => {
                Some(CheckedSettings { source: &file.source, settings: (**settings).clone() })
            }
            _ => None,
        })
        .collect();
    findings.extend(settings::check_fleet_settings(&settings));
    findings.extend(check_repeated_kinds(files));
    findings.extend(check_jobs_against_teams(files));
    findings
}

/// Reports a second file of a kind of which one version is in force.
fn check_repeated_kinds(files: &[CheckedFile]) -> Vec<Finding> {
    let is_single = |kind: FileKind| {
        matches!(kind, FileKind::Plans | FileKind::Grants | FileKind::PlatformConfig)
    };
    let repeats = files.iter().enumerate().filter_map(|(index, file)| {
        let earlier = files[..index].iter().find(|earlier| earlier.kind == file.kind)?;
        is_single(file.kind).then_some((file, earlier))
    });
    let to_fault = |(file, earlier): (&CheckedFile, &CheckedFile)| {
        let message = format!(
            "{} is also a file of kind {}; give one of them",
            earlier.source.name, file.kind
        );
        to_finding(&file.source.name, SettingFault::new(file.source.value.position(), message))
    };
    repeats.map(to_fault).collect()
}

/// Checks the size of the jobs' tasks against the limits of the platform's teams.
fn check_jobs_against_teams(files: &[CheckedFile]) -> Vec<Finding> {
    let mut findings = Vec::new();
    for config in files {
        let Content::PlatformConfig(checked) = &config.content else { continue };
        for file in files {
            let Content::Job(spec) = &file.content else { continue };
            let mut list = FindingList::new(&config.source.name);
            platform::check::check_job_limits(
                &config.source,
                checked,
                &file.source.name,
                spec,
                &mut list,
            );
            findings.extend(list.into_findings());
        }
    }
    findings
}
