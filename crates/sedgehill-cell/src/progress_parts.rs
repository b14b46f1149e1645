//! Progress of a job that exceeds the size limit of a record, divided into several records.
//!
//! A job of thousands of tasks has as many crash histories after the loss of one worker. They are stored in parts, each
//! for a range of tasks, so that a change of one task rewrites one part. Parts are appended before the main record,
//! which names their size. Until it does so the parts of that size are not read, and a part that is newer than the main
//! record only tells more of crashes and places.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::crash_history::{CrashHistory, WorkerCrash};
use crate::ids::CellIdError;
use crate::progress::{JobProgress, LossWait, TaskLocation};

/// The number of tasks whose lists are stored in one [`ProgressPart`]: a power of two.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartSize(u8);

impl PartSize {
    /// The largest part. Most of its records are far below the size limit of the store, so a change of one task
    /// rewrites little.
    pub const MAX: PartSize = PartSize(7);

    /// Returns the number of tasks.
    pub fn tasks(self) -> u32 {
        1 << self.0.min(PartSize::MAX.0)
    }

    /// Returns half the size; none for a single task.
    pub fn half(self) -> Option<PartSize> {
        self.0.checked_sub(1).map(PartSize)
    }
}

/// Identifies a part among those of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartId {
    /// The size of all parts to which this one belongs.
    pub size: PartSize,
    /// The number of the part, in the order of the tasks.
    pub number: u32,
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.size.0, self.number)
    }
}

impl FromStr for PartId {
    type Err = CellIdError;

    fn from_str(text: &str) -> Result<PartId, CellIdError> {
        let parts = text.split_once('.');
        let id = parts.and_then(|(size, number)| {
            let size = size.parse().ok().filter(|size| *size <= PartSize::MAX.0)?;
            Some(PartId { size: PartSize(size), number: number.parse().ok()? })
        });
        id.ok_or_else(|| CellIdError::Malformed("a part of stored progress", text.to_owned()))
    }
}

/// The lists of [`JobProgress`] for a range of its tasks, stored apart from it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProgressPart {
    /// Which part it is.
    pub id: PartId,
    /// See [`JobProgress::crash_histories`].
    pub crash_histories: Vec<(u32, CrashHistory)>,
    /// See [`JobProgress::correlated_ms`].
    pub correlated_ms: Vec<(u32, Vec<u64>)>,
    /// See [`JobProgress::locations`].
    pub locations: Vec<TaskLocation>,
    /// See [`JobProgress::unanswered`].
    pub unanswered: Vec<(u32, Vec<WorkerCrash>)>,
    /// See [`JobProgress::loss_waits`].
    pub loss_waits: Vec<(u32, Vec<LossWait>)>,
}

/// Collects the parts of one size.
struct PartMap {
    size: PartSize,
    parts: BTreeMap<PartId, ProgressPart>,
}

impl PartMap {
    /// Returns the part that holds a task.
    fn of_task(&mut self, task: u32) -> &mut ProgressPart {
        let id = PartId { size: self.size, number: task / self.size.tasks() };
        self.parts.entry(id).or_insert_with(|| ProgressPart {
            id,
            crash_histories: Vec::new(),
            correlated_ms: Vec::new(),
            locations: Vec::new(),
            unanswered: Vec::new(),
            loss_waits: Vec::new(),
        })
    }
}

/// What of a job's progress is not in its main record.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ProgressOverflow {
    /// The parts that are stored in records of their own.
    pub parts: Vec<ProgressPart>,
    /// Whether the saved states of tasks are left out. A task whose run is lost begins anew.
    pub without_checkpoints: bool,
}

impl ProgressOverflow {
    /// Divides the parts of `progress` until each satisfies `fits`, beginning with parts of at most `max_size`. Returns
    /// whether they do.
    pub fn divide_parts(
        &mut self,
        progress: &mut JobProgress,
        max_size: PartSize,
        fits: impl Fn(&ProgressPart) -> bool,
    ) -> bool {
        let Some(mut size) = progress.part_size else { return true };
        let mut wanted = size.min(max_size);
        loop {
            if wanted != size {
                let whole = progress.joined(self.parts.iter());
                (*progress, self.parts) = whole.split(wanted);
                size = wanted;
            }
            if self.parts.iter().all(&fits) {
                return true;
            }
            let Some(half) = size.half() else { return false };
            wanted = half;
        }
    }
}

impl JobProgress {
    /// Returns the progress in a form that satisfies `fits`, and what is stored apart from it or left out for that. The
    /// saved states of tasks are left out only if nothing else helps.
    pub fn fitted(&self, fits: impl Fn(&JobProgress) -> bool) -> (JobProgress, ProgressOverflow) {
        if fits(self) {
            return (self.clone(), ProgressOverflow::default());
        }
        let (mut progress, parts) = self.split(PartSize::MAX);
        let without_checkpoints = !fits(&progress);
        if without_checkpoints {
            progress.tasks.iter_mut().for_each(|task| task.checkpoint.clear());
        }
        (progress, ProgressOverflow { parts, without_checkpoints })
    }

    /// Returns the progress without the lists that are stored in parts of the given size, and these parts.
    pub fn split(&self, size: PartSize) -> (JobProgress, Vec<ProgressPart>) {
        let mut parts = PartMap { size, parts: BTreeMap::new() };
        for row in &self.crash_histories {
            parts.of_task(row.0).crash_histories.push(row.clone());
        }
        for row in &self.correlated_ms {
            parts.of_task(row.0).correlated_ms.push(row.clone());
        }
        for location in &self.locations {
            parts.of_task(location.task).locations.push(location.clone());
        }
        for row in &self.unanswered {
            parts.of_task(row.0).unanswered.push(row.clone());
        }
        for row in &self.loss_waits {
            parts.of_task(row.0).loss_waits.push(row.clone());
        }
        let progress = JobProgress {
            state: self.state,
            may_have_started: self.may_have_started,
            tasks: self.tasks.clone(),
            organisation: self.organisation.clone(),
            part_size: Some(size),
            ..JobProgress::default()
        };
        (progress, parts.parts.into_values().collect())
    }

    /// Returns the progress with the lists of its parts. Parts of another size are left from an earlier record.
    pub fn joined<'a>(&self, parts: impl Iterator<Item = &'a ProgressPart>) -> JobProgress {
        let mut progress = JobProgress { part_size: None, ..self.clone() };
        for part in parts.filter(|part| Some(part.id.size) == self.part_size) {
            progress.crash_histories.extend(part.crash_histories.iter().cloned());
            progress.correlated_ms.extend(part.correlated_ms.iter().cloned());
            progress.locations.extend(part.locations.iter().cloned());
            progress.unanswered.extend(part.unanswered.iter().cloned());
            progress.loss_waits.extend(part.loss_waits.iter().cloned());
        }
        progress
    }
}
