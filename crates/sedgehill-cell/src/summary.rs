//! What a box that does not stand by to lead is told of jobs: their states, without the work.
//!
//! A box answers callers for the state of a job, and counts what waits; neither needs what the tasks
//! are given, nor how far each of them is. Only boxes that may have to lead follow all of that.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::ids::{JobId, OrganisationName, QueueName};
use crate::progress::JobState;
use crate::replica::CellReplica;

/// What is known of one job, in short.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSummary {
    /// The job.
    pub job: JobId,
    /// Its state; none if the job is not accepted, or forgotten.
    pub state: Option<JobState>,
    /// The queue of a job none of whose tasks has begun.
    pub waiting_queue: Option<QueueName>,
    /// Whose the job is.
    pub organisation: Option<OrganisationName>,
}

impl JobSummary {
    /// What `replica` knows of a job.
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

/// What a lead has told of each job.
#[derive(Debug, Default)]
pub struct SummaryFilter {
    /// The state, and whether the job was told as waiting.
    told: HashMap<JobId, (JobState, bool)>,
}

impl SummaryFilter {
    /// What of a brief is news to boxes that know all that was told before; none if nothing is. A job's record is
    /// written anew with each end of a task, while its state changes three times.
    pub fn changes(&mut self, brief: JobSummary) -> Option<JobSummary> {
        let Some(state) = brief.state else {
            // A job may have been told by an earlier lead, so that it is forgotten is always news.
            self.told.remove(&brief.job);
            return Some(brief);
        };
        let now = (state, brief.waiting_queue.is_some());
        match self.told.insert(brief.job, now) {
            None => Some(brief),
            Some(told) if told == now => None,
            // Whose the job is never changes.
            Some(_) => Some(JobSummary { organisation: None, ..brief }),
        }
    }
}
