//! Identifiers of jobs, tasks, runs, workers, boxes, queues, organisations and data halls.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Number of hexadecimal digits of a job id.
const JOB_ID_DIGITS: usize = 16;

quick_error! {
    /// The error of parsing an identifier.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CellIdError {
        /// The text does not have the form that the identifier requires.
        Malformed(expected: &'static str, found: String) {
            display("expected {expected}, found `{found}`")
        }
    }
}

/// The id that the caller gave to a job, written as 16 lower-case hexadecimal digits.
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
        let is_digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        if text.len() != JOB_ID_DIGITS || !text.chars().all(is_digit) {
            return Err(malformed());
        }
        u64::from_str_radix(text, 16).map(JobId).map_err(|_| malformed())
    }
}

/// The id of one step in one repetition of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// The number of the repetition, counted from 0.
    pub repetition: u32,
    /// The number of the step in the job, counted from 0.
    pub step: u16,
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.repetition, self.step)
    }
}

/// The id of one task of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellTask {
    /// The step that the task belongs to.
    pub step: StepId,
    /// The index of the task in the step, counted from 0.
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

/// The number of a run of a task, counted from 1 and raised with each start. All members of a gang get the same
/// number.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RunNumber(pub u32);

impl RunNumber {
    /// Returns the number of the run that follows this one.
    pub fn next(self) -> RunNumber {
        RunNumber(self.0 + 1)
    }
}

impl fmt::Display for RunNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The fencing token of a lead. It rises with each claim of the lead, and no two boxes ever hold the same token.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingToken(pub u64);

/// Number of tokens that each claim of the lead reserves: one for the first life of a worker, and one for each
/// later life under the same id.
pub const TOKENS_PER_LEAD: u64 = 8;

impl FencingToken {
    /// Returns the token of the claim that follows the one with this token.
    pub fn next_lead(self) -> FencingToken {
        FencingToken((self.0 / TOKENS_PER_LEAD + 1) * TOKENS_PER_LEAD)
    }

    /// Returns the token for calls to a worker that has restarted `number` times under its id during this lead.
    pub fn for_life(self, number: u64) -> FencingToken {
        debug_assert!(
            number < TOKENS_PER_LEAD,
            "a later life of a worker waits until one of its {TOKENS_PER_LEAD} tokens is free"
        );
        FencingToken(self.0 + number)
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The id of a worker. A worker that restarts may keep its id or get another one.
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

/// One life of a worker: the time from the start of its process to its end. Runs, reported ends and acknowledgements
/// belong to one life, since the next life under the same id knows nothing of them.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct WorkerLife {
    /// The worker.
    pub id: WorkerId,
    /// When the life started; none if the worker does not report it, or if it was read from a record of a release
    /// that did not store it.
    pub start: Option<LifeStart>,
}

/// Separates the id from the start in the stored form. No worker id contains it.
const START_SEPARATOR: char = ' ';

impl WorkerLife {
    /// Returns whether both may be the same life: the ids are equal, and so are the starts if both are known.
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

/// Parses the stored form. Earlier releases stored the id alone.
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

/// When a life of a worker started, in milliseconds since 1970 by the clock of the worker. It only distinguishes the
/// lives under one id. Clocks jump, so it must not be compared with the current time.
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

/// The name of a box: a machine that runs the daemon.
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

/// The name of a queue through which callers submit jobs.
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

/// The name of an organisation, as operators configure it.
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

/// The name of the worker pool (the service) that runs the tasks of a queue.
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

/// The name of a data hall: a part of the cell that operators can empty as a whole.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HallName(pub Arc<str>);

impl fmt::Display for HallName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<&str> for HallName {
    fn from(text: &str) -> HallName {
        HallName(Arc::from(text))
    }
}
