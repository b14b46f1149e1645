//! Newtypes for names and identifiers.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

quick_error! {
    /// Why a text is not a valid name or identifier.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum IdError {
        /// The text is empty or too long.
        Length(found: usize) {
            display("expected 1 to {MAX_NAME_BYTES} characters, found {found}")
        }
        /// The text contains a character that is not allowed in names.
        Character(found: char) {
            display("expected lower-case letters, digits and `-`, found `{found}`")
        }
        /// The text is not an identifier of the expected form.
        Malformed(expected: &'static str) {
            display("expected {expected}")
        }
    }
}

fn check_name(text: &str) -> Result<(), IdError> {
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(IdError::Length(text.len()));
    }
    let allowed = |c: &char| c.is_ascii_lowercase() || c.is_ascii_digit() || *c == '-';
    match text.chars().find(|c| !allowed(c)) {
        Some(found) => Err(IdError::Character(found)),
        None => Ok(()),
    }
}

/// Implements the conversions with which serde reads and writes a type as its text form, from its
/// `FromStr` and `Display`.
macro_rules! text_conversions {
    ($name:ident) => {
        impl TryFrom<String> for $name {
            type Error = $crate::ids::IdError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(value: $name) -> String {
                value.to_string()
            }
        }
    };
}
pub(crate) use text_conversions;

macro_rules! name_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
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
                check_name(text)?;
                Ok($name(text.into()))
            }
        }

        text_conversions!($name);
    )*};
}

name_types! {
    /// A box: a machine that runs the daemon and accepts requests.
    BoxId;
    /// A data hall.
    HallName;
    /// A rack within a data hall.
    RackName;
    /// An endpoint that serves requests.
    EndpointId;
    /// A worker that runs tasks.
    WorkerId;
    /// An organisation, which runs work by supplying parameters for a template.
    OrgName;
    /// A template.
    TemplateName;
    /// A kind of request within a service template.
    KindName;
}

macro_rules! number_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                text.parse().map($name).map_err(|_| IdError::Malformed("a whole number"))
            }
        }
    )*};
}

number_types! {
    /// A position in the platform's log.
    Offset;
    /// A version of a template or of parameters: the offset of the record that published it.
    Version;
    /// The number of a lead's term over a data hall: the offset of the record that claimed it.
    Epoch;
    /// The number of one run of a box's or worker's process. A later run is expected to have a higher
    /// number; boxes use their start time in milliseconds of Unix time.
    Incarnation;
}

impl Offset {
    /// Returns the offset after this one.
    pub fn next(self) -> Offset {
        Offset(self.0 + 1)
    }
}

macro_rules! uuid_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub Uuid);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                Uuid::parse_str(text).map($name).map_err(|_| IdError::Malformed("a UUID"))
            }
        }
    )*};
}

uuid_types! {
    /// A record of the log. A record that is appended again keeps its id.
    RecordId;
    /// A job: the id of the record that submitted it.
    JobId;
    /// A request, with an id assigned by the box that received it.
    RequestId;
}

/// Key with which a caller identifies an at-most-once request.
///
/// It is a version 7 UUID, which contains its creation time, so that a key from before the claim
/// window can be refused without having been stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Uuid", into = "Uuid")]
pub struct IdempotencyKey(Uuid);

impl IdempotencyKey {
    /// Returns the time at which the caller created the key, in milliseconds of Unix time.
    pub fn created_at_ms(&self) -> u64 {
        let (seconds, nanos) = self.0.get_timestamp().map_or((0, 0), |at| at.to_unix());
        seconds * 1000 + u64::from(nanos) / 1_000_000
    }
}

impl TryFrom<Uuid> for IdempotencyKey {
    type Error = IdError;

    fn try_from(uuid: Uuid) -> Result<Self, IdError> {
        match uuid.get_version_num() {
            7 => Ok(IdempotencyKey(uuid)),
            _ => Err(IdError::Malformed("a version 7 UUID")),
        }
    }
}

impl From<IdempotencyKey> for Uuid {
    fn from(key: IdempotencyKey) -> Uuid {
        key.0
    }
}

impl FromStr for IdempotencyKey {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        Uuid::parse_str(text).map_err(|_| IdError::Malformed("a version 7 UUID"))?.try_into()
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TaskId {
    /// Job to which the task belongs.
    pub job: JobId,
    /// Index of the task within its job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.job, self.index)
    }
}

impl FromStr for TaskId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let malformed = IdError::Malformed("a job id, a dot and a number");
        let (job, index) = text.split_once('.').ok_or(malformed.clone())?;
        Ok(TaskId {
            job: job.parse().map_err(|_| malformed.clone())?,
            index: index.parse().map_err(|_| malformed)?,
        })
    }
}

text_conversions!(TaskId);

/// One attempt to run a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct AttemptId {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.task, self.attempt)
    }
}

impl FromStr for AttemptId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let malformed = IdError::Malformed("a task id, `@` and a number");
        let (task, attempt) = text.split_once('@').ok_or(malformed.clone())?;
        Ok(AttemptId {
            task: task.parse().map_err(|_| malformed.clone())?,
            attempt: attempt.parse().map_err(|_| malformed)?,
        })
    }
}

text_conversions!(AttemptId);
