//! Names and numbers of jobs, tasks, runs and workers.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Hexadecimal digits of a job's id.
const JOB_ID_DIGITS: usize = 16;

quick_error! {
    /// Why a text is not an identifier.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CellIdError {
        /// The text does not have the form of this identifier.
        Malformed(expected: &'static str, found: String) {
            display("expected {expected}, found `{found}`")
        }
    }
}

/// The id that a caller gave to its job: 16 lower-case hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = CellIdError;

    fn from_str(text: &str) -> Result<JobId, CellIdError> {
        let malformed = || CellIdError::Malformed("16 hexadecimal digits", text.to_owned());
        let digits = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        if text.len() != JOB_ID_DIGITS || !text.chars().all(digits) {
            return Err(malformed());
        }
        u64::from_str_radix(text, 16).map(JobId).map_err(|_| malformed())
    }
}

/// One step of one repetition of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// The repetition, counted from 0.
    pub repetition: u32,
    /// The step, counted from 0.
    pub step: u16,
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.repetition, self.step)
    }
}

/// One task of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellTask {
    /// The step it belongs to.
    pub step: StepId,
    /// Its place in the step, counted from 0.
    pub index: u16,
}

impl fmt::Display for CellTask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for CellTask {
    type Err = CellIdError;

    fn from_str(text: &str) -> Result<CellTask, CellIdError> {
        let malformed = || CellIdError::Malformed("JOB.REPETITION.STEP.INDEX", text.to_owned());
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(malformed);
        let job = next()?.parse()?;
        let repetition = next()?.parse().map_err(|_| malformed())?;
        let step = next()?.parse().map_err(|_| malformed())?;
        let index = next()?.parse().map_err(|_| malformed())?;
        match parts.next() {
            None => Ok(CellTask { step: StepId { job, repetition, step }, index }),
            Some(_) => Err(malformed()),
        }
    }
}

/// Counts the starts of a task, from 1. The members of a gang share the number.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RunNumber(pub u32);

impl RunNumber {
    /// The number of the run that follows this one.
    pub fn next(self) -> RunNumber {
        RunNumber(self.0 + 1)
    }
}

impl fmt::Display for RunNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The fencing token of a lead: it rises with each lead, and only one box ever holds it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingToken(pub u64);

/// Tokens that each claim of the lead takes: for the first life of a worker and for those that follow under its id.
pub const TOKENS_PER_LEAD: u64 = 8;

impl FencingToken {
    /// The token of the claim that follows on this one.
    pub fn next_lead(self) -> FencingToken {
        FencingToken((self.0 / TOKENS_PER_LEAD + 1) * TOKENS_PER_LEAD)
    }

    /// The token for calls to a worker that started again under its id so many times during this lead.
    pub fn for_life(self, number: u64) -> FencingToken {
        debug_assert!(
            number < TOKENS_PER_LEAD,
            "later lives of a worker wait until tokens are free again"
        );
        FencingToken(self.0 + number)
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The id of a worker. One that starts again may have another id, or the same.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerId(pub Arc<str>);

impl fmt::Display for WorkerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<&str> for WorkerId {
    fn from(text: &str) -> WorkerId {
        WorkerId(Arc::from(text))
    }
}

/// One life of a worker, from its start to its end. What a worker runs, listed or was told belongs to one life: the
/// next one under the same id knows nothing of it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct WorkerLife {
    /// The worker.
    pub id: WorkerId,
    /// When it began; none where workers do not tell it, and in records of releases that did not know it.
    pub start: Option<LifeStart>,
}

/// Stands between id and start in records. No id of a worker holds it.
const START_SEPARATOR: char = ' ';

impl WorkerLife {
    /// Whether both may be the same life: the start of one of them is not known.
    pub fn may_equal(&self, other: &WorkerLife) -> bool {
        let unknown = self.start.is_none() || other.start.is_none();
        self.id == other.id && (unknown || self.start == other.start)
    }
}

impl fmt::Display for WorkerLife {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.start {
            Some(start) => write!(f, "{}@{start}", self.id),
            None => write!(f, "{}", self.id),
        }
    }
}

impl From<WorkerId> for WorkerLife {
    fn from(id: WorkerId) -> WorkerLife {
        WorkerLife { id, start: None }
    }
}

impl From<&str> for WorkerLife {
    fn from(text: &str) -> WorkerLife {
        WorkerId::from(text).into()
    }
}

/// Reads the stored form. Earlier releases stored the id alone.
impl From<String> for WorkerLife {
    fn from(text: String) -> WorkerLife {
        let parts = text.rsplit_once(START_SEPARATOR);
        match parts.and_then(|(id, start)| Some((id, start.parse().ok()?))) {
            Some((id, start)) => WorkerLife { id: id.into(), start: Some(start) },
            None => text.as_str().into(),
        }
    }
}

impl From<WorkerLife> for String {
    fn from(life: WorkerLife) -> String {
        match life.start {
            Some(start) => format!("{}{START_SEPARATOR}{start}", life.id),
            None => life.id.to_string(),
        }
    }
}

/// When a life of a worker began, in milliseconds since 1970, as the worker itself says. It tells the lives of one id
/// apart; clocks jump, so it tells nothing about now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LifeStart(pub u64);

impl fmt::Display for LifeStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for LifeStart {
    type Err = CellIdError;

    fn from_str(text: &str) -> Result<LifeStart, CellIdError> {
        let malformed = || CellIdError::Malformed("milliseconds since 1970", text.to_owned());
        text.parse().map(LifeStart).map_err(|_| malformed())
    }
}

/// The name of a box of the system.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BoxName(pub Arc<str>);

impl fmt::Display for BoxName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<&str> for BoxName {
    fn from(text: &str) -> BoxName {
        BoxName(Arc::from(text))
    }
}

/// The name of a queue that callers hand jobs in through.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QueueName(pub Arc<str>);

impl fmt::Display for QueueName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<&str> for QueueName {
    fn from(text: &str) -> QueueName {
        QueueName(Arc::from(text))
    }
}

/// The name of an organisation, as operators give it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrganisationName(pub Arc<str>);

impl fmt::Display for OrganisationName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<&str> for OrganisationName {
    fn from(text: &str) -> OrganisationName {
        OrganisationName(Arc::from(text))
    }
}

/// A service: the pool of workers that run the tasks of a queue.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PoolName(pub Arc<str>);

impl fmt::Display for PoolName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<&str> for PoolName {
    fn from(text: &str) -> PoolName {
        PoolName(Arc::from(text))
    }
}
