//! Sizes, rates and times with their units, and sets of resources.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

quick_error! {
    /// Why a text is not a valid quantity.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum UnitError {
        /// The text is not a number with a unit of this quantity.
        Malformed(expected: &'static str, found: String) {
            display("expected {expected}, found `{found}`")
        }
    }
}

/// Parses a whole number followed by one of `suffixes` and multiplies it by the suffix's factor.
fn parse_scaled(
    text: &str,
    suffixes: &[(&str, u64)],
    expected: &'static str,
) -> Result<u64, UnitError> {
    let malformed = || UnitError::Malformed(expected, text.to_owned());
    let digits = text.trim_end_matches(|c: char| !c.is_ascii_digit());
    let suffix = &text[digits.len()..];
    let factor = suffixes
        .iter()
        .find(|(name, _)| *name == suffix)
        .map(|(_, factor)| *factor)
        .ok_or_else(malformed)?;
    let number: u64 = digits.parse().map_err(|_| malformed())?;
    number.checked_mul(factor).ok_or_else(malformed)
}

/// Writes a value with the suffix whose factor is the largest that divides it.
fn write_scaled(f: &mut fmt::Formatter<'_>, value: u64, suffixes: &[(&str, u64)]) -> fmt::Result {
    let divides = |(_, factor): &&(&str, u64)| value != 0 && value.is_multiple_of(*factor);
    let (suffix, factor) =
        suffixes.iter().filter(divides).max_by_key(|(_, factor)| *factor).unwrap_or(&suffixes[0]);
    write!(f, "{}{suffix}", value / factor)
}

macro_rules! unit_types {
    ($($(#[$doc:meta])* $name:ident, $suffixes:ident = $list:expr, $expected:expr;)*) => {$(
        const $suffixes: &[(&str, u64)] = $list;

        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write_scaled(f, self.0, $suffixes)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                parse_scaled(text, $suffixes, $expected).map($name)
            }
        }

        impl TryFrom<String> for $name {
            type Error = UnitError;

            fn try_from(text: String) -> Result<Self, UnitError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(value: $name) -> String {
                value.to_string()
            }
        }
    )*};
}

unit_types! {
    /// An amount of CPU, in thousandths of a core.
    CoreCount, CORE_SUFFIXES = &[("m", 1), ("", 1000)], "cores such as `2` or `500m`";
    /// An amount of memory, in bytes.
    MemorySize, MEMORY_SUFFIXES = &[("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30)],
        "memory such as `512MiB` or `4GiB`";
    /// A span of time, in milliseconds.
    TimeSpan, TIME_SUFFIXES = &[("ms", 1), ("s", 1000), ("m", 60_000), ("h", 3_600_000)],
        "a time such as `250ms`, `3s` or `10m`";
    /// A rate, in events per second.
    EventRate, RATE_SUFFIXES = &[("/s", 1)], "a rate such as `200/s`";
}

impl TimeSpan {
    /// Returns the span in milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0
    }
}

/// Resources that a worker has or a task needs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ResourceSet {
    /// CPU cores.
    pub cores: CoreCount,
    /// Memory.
    pub memory: MemorySize,
    /// Number of accelerators, such as GPUs.
    #[serde(default)]
    pub accelerators: u32,
}

impl ResourceSet {
    /// Whether `need` fits into this set in every dimension.
    pub fn fits(&self, need: &ResourceSet) -> bool {
        self.cores >= need.cores
            && self.memory >= need.memory
            && self.accelerators >= need.accelerators
    }

    /// Returns the sum in every dimension, saturating at the maximum.
    pub fn plus(&self, other: &ResourceSet) -> ResourceSet {
        ResourceSet {
            cores: CoreCount(self.cores.0.saturating_add(other.cores.0)),
            memory: MemorySize(self.memory.0.saturating_add(other.memory.0)),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns `count` times this set, saturating at the maximum.
    pub fn times(&self, count: u32) -> ResourceSet {
        ResourceSet {
            cores: CoreCount(self.cores.0.saturating_mul(u64::from(count))),
            memory: MemorySize(self.memory.0.saturating_mul(u64::from(count))),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Returns how many times `need` fits into this set; `u64::MAX` if `need` is empty.
    pub fn capacity_for(&self, need: &ResourceSet) -> u64 {
        let count = |available: u64, need: u64| available.checked_div(need).unwrap_or(u64::MAX);
        count(self.cores.0, need.cores.0)
            .min(count(self.memory.0, need.memory.0))
            .min(count(u64::from(self.accelerators), u64::from(need.accelerators)))
    }

    /// Subtracts `other`, or returns `None` if any dimension is smaller than in `other`.
    pub fn minus(&self, other: &ResourceSet) -> Option<ResourceSet> {
        Some(ResourceSet {
            cores: CoreCount(self.cores.0.checked_sub(other.cores.0)?),
            memory: MemorySize(self.memory.0.checked_sub(other.memory.0)?),
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }

    /// Subtracts `other`, stopping at zero in each dimension.
    pub fn saturating_minus(&self, other: &ResourceSet) -> ResourceSet {
        ResourceSet {
            cores: CoreCount(self.cores.0.saturating_sub(other.cores.0)),
            memory: MemorySize(self.memory.0.saturating_sub(other.memory.0)),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Whether every dimension is zero.
    pub fn is_empty(&self) -> bool {
        *self == ResourceSet::default()
    }
}

impl fmt::Display for ResourceSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} cores, {} memory, {} accelerators",
            self.cores, self.memory, self.accelerators
        )
    }
}

/// A point in time, in milliseconds of a monotonic clock that also runs while the machine is
/// suspended.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Moment(pub u64);

impl Moment {
    /// Returns the moment `span` after this one.
    pub fn after(self, span: TimeSpan) -> Moment {
        Moment(self.0.saturating_add(span.0))
    }

    /// Returns the time from `earlier` until this moment, or zero if `earlier` is later.
    pub fn since(self, earlier: Moment) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(earlier.0))
    }
}
