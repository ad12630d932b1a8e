//! Sizes, times and revisions, with a separate type for each unit.

use std::fmt;
use std::num::ParseIntError;
use std::ops::{Add, Sub};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

macro_rules! quantity {
    ($($(#[$doc:meta])* $name:ident($inner:ty), $unit:literal;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize, Default
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $unit), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.strip_suffix($unit).unwrap_or(text).parse().map(Self)
            }
        }
    )*};
}

quantity! {
    /// Duration in milliseconds.
    Millis(u64), "ms";
    /// Point in time on the process's own monotonic clock, in milliseconds.
    Moment(u64), "ms";
    /// Revision of a document in the platform's key-value service; 0 means that the document is
    /// absent.
    Revision(u64), "";
    /// Number of processor cores.
    Cores(u32), "";
    /// Processor capacity in millicores, which are thousandths of a processor core.
    Millicores(u64), "m";
    /// Rate of arriving work, in millicores: millicores times milliseconds of work for each
    /// millisecond.
    Rate(u64), "m";
    /// Number of accelerators.
    AcceleratorCount(u32), "";
    /// Memory in MiB.
    Mebibytes(u32), "MiB";
    /// Number of requests that a minion runs at the same time.
    SlotCount(u32), "";
}

impl Add<Millis> for Moment {
    type Output = Moment;

    fn add(self, duration: Millis) -> Moment {
        Moment(self.0.saturating_add(duration.0))
    }
}

impl Sub<Moment> for Moment {
    type Output = Millis;

    fn sub(self, earlier: Moment) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Millis {
    /// Returns the duration extended by `percent`, to allow for clocks that run at different rates.
    pub fn extended_by_percent(self, percent: u64) -> Millis {
        Millis(self.0 + self.0 * percent / 100)
    }
}
