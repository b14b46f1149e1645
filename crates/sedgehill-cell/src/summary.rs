//! The short form of a job that the lead sends to boxes that do not stand by: its state, without the work.
//!
//! Such a box answers callers who ask for the state of a job, and counts waiting jobs. It needs neither the
//! payload of the tasks nor their progress; only boxes that may have to lead follow the full records.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::ids::{JobId, OrganisationName, QueueName};
use crate::progress::JobState;
use crate::replica::CellReplica;

/// The state of one job, without its work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSummary {
    /// The job.
    pub job: JobId,
    /// The state of the job; none if the job is not accepted, or is forgotten.
    pub state: Option<JobState>,
    /// The queue of the job while none of its tasks has started.
    pub waiting_queue: Option<QueueName>,
    /// The organisation that owns the job; none if it was submitted without a key.
    pub organisation: Option<OrganisationName>,
}

impl JobSummary {
    /// Summarizes a job as `replica` knows it.
    pub fn of(replica: &CellReplica, job: JobId) -> JobSummary {
        let known = replica.job(job);
        JobSummary {
            job,
            state: known.map(|known| known.state()),
            waiting_queue: known.and_then(|known| known.waiting_queue().cloned()),
            organisation: known.and_then(|known| known.organisation.clone()),
        }
    }
}

/// Drops summaries that repeat what the lead has already sent.
#[derive(Debug, Default)]
pub struct SummaryFilter {
    /// The state last sent for each job, and whether the job was waiting.
    sent: HashMap<JobId, (JobState, bool)>,
}

impl SummaryFilter {
    /// Returns the part of a summary that is new to boxes that received all earlier ones; none if nothing is.
    ///
    /// The record of a job is rewritten with each end of a task, while the state of the job changes three times.
    pub fn changes(&mut self, summary: JobSummary) -> Option<JobSummary> {
        let Some(state) = summary.state else {
            // An earlier lead may have sent the job, so its removal is always passed on.
            self.sent.remove(&summary.job);
            return Some(summary);
        };
        let current = (state, summary.waiting_queue.is_some());
        match self.sent.insert(summary.job, current) {
            None => Some(summary),
            Some(previous) if previous == current => None,
            // The owner of a job never changes.
            Some(_) => Some(JobSummary { organisation: None, ..summary }),
        }
    }
}
