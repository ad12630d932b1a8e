//! Identifiers: short texts of a fixed alphabet, each a type of its own.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Longest identifier in bytes; it bounds documents and log lines.
const MAX_ID_BYTES: usize = 64;

/// Says why a text is not an identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IdError {
    /// The text has no characters.
    Empty,
    /// The text is longer than 64 bytes.
    TooLong,
    /// The text has a character outside `a-z A-Z 0-9 - _ .`.
    BadCharacter(char),
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "an identifier must not be empty"),
            Self::TooLong => write!(f, "an identifier has at most {MAX_ID_BYTES} bytes"),
            Self::BadCharacter(found) => {
                write!(
                    f,
                    "an identifier must not contain {found:?}; allowed are letters, digits, '-', '_' and '.'"
                )
            }
        }
    }
}

impl std::error::Error for IdError {}

fn check_id(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(IdError::TooLong);
    }
    let allowed = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|c| !allowed(c)) {
        Some(found) => Err(IdError::BadCharacter(found)),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Box<str>);

        impl $name {
            /// The identifier's text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_id(text)?;
                Ok(Self(text.into()))
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    )*};
}

text_id! {
    /// A daemon: one `pollenfalld` on one entry VM.
    DaemonId;
    /// A customer's team: the holder of a plan, a share and an upper limit.
    TeamId;
    /// A plan that teams can hold.
    PlanId;
    /// A pool of VMs; callers address a pool's queue by this name.
    PoolId;
    /// A VM: a minion, a worker or an entry VM.
    VmId;
    /// A queue: where submitters hand jobs in; a pool runs its tasks.
    QueueId;
    /// A minion: one life of a VM in a pool.
    MinionId;
    /// A data centre.
    DataCentreId;
    /// A rack within a data centre.
    RackId;
    /// The public part of a key.
    KeyId;
    /// A job, chosen by its submitter or by the daemon that took it.
    JobId;
    /// One request as the daemon that took it names it.
    RequestId;
    /// A caller's name for a request that must run at most once.
    IdempotencyKey;
    /// One operator's change of configuration, so that a repeat is recognised.
    ChangeId;
}

/// One run of a daemon process; a restart gets a larger number.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
