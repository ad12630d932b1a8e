//! Identifiers: short strings over a restricted alphabet, with a separate type for each kind.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bounds the size of documents and log lines.
const MAX_ID_BYTES: usize = 64;

/// Error that describes why a text is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IdError {
    /// The text is empty.
    Empty,
    /// The text is longer than 64 bytes.
    TooLong,
    /// The text contains this character, which is outside `a-z A-Z 0-9 - _ .`.
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
                    "an identifier must not contain {found:?}; \
                     allowed are letters, digits, '-', '_' and '.'"
                )
            }
        }
    }
}

impl std::error::Error for IdError {}

fn validate_id(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(IdError::TooLong);
    }
    let is_allowed = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|c| !is_allowed(c)) {
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
            /// Returns the text of the identifier.
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
                validate_id(text)?;
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
    /// Identifier of a daemon: one `pollenfalld` on one entry VM.
    DaemonId;
    /// Identifier of a customer's team, which has a plan, a share and an upper limit.
    TeamId;
    /// Identifier of a plan that teams can have.
    PlanId;
    /// Identifier of a pool of VMs; callers address the pool's queue by this identifier.
    PoolId;
    /// Identifier of a VM: a minion, a worker or an entry VM.
    VmId;
    /// Identifier of a queue, to which submitters send jobs; a pool runs the tasks of the jobs.
    QueueId;
    /// Identifier of a minion, for one period in which a VM serves a pool. A restarted minion may
    /// keep the identifier, and has a new incarnation.
    MinionId;
    /// Identifier of a data centre.
    DataCentreId;
    /// Identifier of a rack within a data centre.
    RackId;
    /// Public part of a key.
    KeyId;
    /// Identifier of a job, chosen by the submitter or by the daemon that accepted the job.
    JobId;
    /// Identifier of a request, chosen by the daemon that accepted the request.
    RequestId;
    /// Identifier that a caller chooses for a request that must run at most once.
    IdempotencyKey;
    /// Identifier of an operator's change of configuration, used to detect a repeated change.
    ChangeId;
}

/// Number of one incarnation of a daemon, that is, of one run of the daemon's process. Each restart
/// gets a larger number.
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
