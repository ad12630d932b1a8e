//! Differences between two versions of a configuration, in the terms of operators.

use std::fmt;

use serde::Serialize;

/// One difference between two versions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Kind and name of the entry that differs, such as `team night`.
    pub subject: Box<str>,
    /// What the later version changes.
    pub change: Box<str>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.subject, self.change)
    }
}

/// Differences in the order in which a comparison finds them.
#[derive(Debug, Default)]
pub struct DifferenceList {
    differences: Vec<Difference>,
}

impl DifferenceList {
    /// Adds one difference.
    pub fn add(&mut self, subject: &str, change: impl Into<Box<str>>) {
        self.differences.push(Difference { subject: subject.into(), change: change.into() });
    }

    /// Adds a difference if an amount was raised or lowered.
    pub fn compare_amounts<T: PartialOrd + fmt::Display>(
        &mut self,
        subject: &str,
        name: &str,
        before: &T,
        after: &T,
    ) {
        if before == after {
            return;
        }
        let direction = if after < before { "lowered" } else { "raised" };
        self.add(subject, format!("{name} {direction} from {before} to {after}"));
    }

    /// Adds a difference if a value was replaced.
    pub fn compare_values<T: PartialEq + fmt::Display>(
        &mut self,
        subject: &str,
        name: &str,
        before: &T,
        after: &T,
    ) {
        if before != after {
            self.add(subject, format!("{name} changed from {before} to {after}"));
        }
    }

    /// Adds a difference if an entry is in one of the versions only. Returns the entry's two forms
    /// if both versions have it.
    pub fn compare_presence<'a, T>(
        &mut self,
        subject: &str,
        before: Option<&'a T>,
        after: Option<&'a T>,
        describe: impl Fn(&T) -> String,
    ) -> Option<(&'a T, &'a T)> {
        match (before, after) {
            (Some(before), Some(after)) => return Some((before, after)),
            (Some(_), None) => self.add(subject, "removed"),
            (None, Some(after)) => self.add(subject, format!("added {}", describe(after))),
            (None, None) => {}
        }
        None
    }

    /// Returns the differences.
    pub fn into_differences(self) -> Vec<Difference> {
        self.differences
    }
}
