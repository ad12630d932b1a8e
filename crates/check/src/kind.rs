//! Kinds of files that a check knows.

use std::fmt;
use std::str::FromStr;

use platform::check::PlatformFile;
use serde::Serialize;
use state::ParsedValue;

/// Kind of a configuration file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FileKind {
    /// First list: the plan of each team.
    Plans,
    /// Second list: what each plan may use, and how each pool is run.
    Grants,
    /// Whole configuration in force, as `pollenfall config` prints it.
    Config,
    /// Settings of a daemon.
    Settings,
    /// Job of steps.
    Job,
    /// Operator's configuration of the platform.
    PlatformConfig,
    /// Wave order of the platform.
    Wave,
}

/// Names of the kinds on the command line.
const NAMES: [(FileKind, &str); 7] = [
    (FileKind::Plans, "plans"),
    (FileKind::Grants, "grants"),
    (FileKind::Config, "config"),
    (FileKind::Settings, "settings"),
    (FileKind::Job, "job"),
    (FileKind::PlatformConfig, "platform-config"),
    (FileKind::Wave, "wave"),
];

impl fmt::Display for FileKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = NAMES.iter().find(|(kind, _)| kind == self).map_or("", |(_, name)| name);
        f.write_str(name)
    }
}

/// Error for a word that names no kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseKindError;

impl fmt::Display for ParseKindError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected one of: {}", all_names())
    }
}

impl std::error::Error for ParseKindError {}

impl FromStr for FileKind {
    type Err = ParseKindError;

    fn from_str(text: &str) -> Result<Self, ParseKindError> {
        let known = NAMES.iter().find(|(_, name)| *name == text);
        known.map(|(kind, _)| *kind).ok_or(ParseKindError)
    }
}

/// Returns the names of all kinds, separated by commas.
pub(crate) fn all_names() -> String {
    NAMES.map(|(_, name)| name).join(", ")
}

/// Recognises the kind of a file by the fields that only files of that kind have.
pub(crate) fn recognise(value: &ParsedValue) -> Option<FileKind> {
    let has = |name: &str| value.field(name).is_some();
    if has("config") || (has("teams") && (has("plans") || has("keys"))) {
        return Some(FileKind::Config);
    }
    if has("teams") {
        return Some(FileKind::Plans);
    }
    if has("plans") || has("pools") {
        return Some(FileKind::Grants);
    }
    if has("steps") || has("payload") {
        return Some(FileKind::Job);
    }
    if has("operator_key") || has("peer_listen") || has("daemon") {
        return Some(FileKind::Settings);
    }
    platform::check::recognise(value).map(|file| match file {
        PlatformFile::Config => FileKind::PlatformConfig,
        PlatformFile::Wave => FileKind::Wave,
    })
}
