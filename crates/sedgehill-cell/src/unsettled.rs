//! The jobs whose record may have reached the store without the lead having seen it.
//!
//! A box without a usable lead appends a job by itself, and may never learn whether the store kept it. If the caller
//! repeats the call at another box, the lead must not answer that the job was not taken. So each box keeps the ids of
//! its own appends for a time and reports them to the lead, which refuses none of them.

use std::collections::{HashMap, VecDeque};

use sedgehill_core::units::{Moment, TimeSpan};
use serde::{Deserialize, Serialize};

use crate::ids::JobId;

/// How long an id is kept after its append. An append of unknown outcome is repeated for up to 6 s, its last call takes
/// up to 1.2 s, and the lead reads the record within 2 s after that.
pub const UNSETTLED_FOR: TimeSpan = TimeSpan(10_000);

/// A report of unsettled jobs from a box to the lead.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnsettledReport {
    /// The jobs, each with the time since it was noted.
    pub jobs: Vec<(JobId, TimeSpan)>,
    /// The time since an id last found no room in the list; none if all are listed.
    pub overflow_age: Option<TimeSpan>,
}

impl UnsettledReport {
    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty() && self.overflow_age.is_none()
    }
}

/// A bounded list of unsettled jobs. If an id finds no room, every job counts as unsettled until that id would have
/// expired: accepting a job without a decision is safe, refusing one that was accepted is not.
#[derive(Debug)]
pub struct UnsettledJobs {
    capacity: usize,
    noted_at: HashMap<JobId, Moment>,
    /// All notes that have not expired, in the order in which they were made.
    notes: VecDeque<(JobId, Moment)>,
    overflowed_at: Option<Moment>,
}

impl UnsettledJobs {
    /// Creates an empty list for `capacity` notes.
    pub fn new(capacity: usize) -> UnsettledJobs {
        UnsettledJobs {
            capacity,
            noted_at: HashMap::new(),
            notes: VecDeque::new(),
            overflowed_at: None,
        }
    }

    /// Notes a job, or renews its note. Returns whether the job was not noted before.
    pub fn note(&mut self, job: JobId, now: Moment) -> bool {
        self.drop_expired(now);
        let is_new = !self.is_listed(job, now);
        self.insert(job, now);
        is_new
    }

    /// Removes a job whose record is known not to be in the store.
    pub fn forget(&mut self, job: JobId) {
        self.noted_at.remove(&job);
    }

    /// Returns whether the record of a job may be in the store or on its way there.
    pub fn may_include(&self, job: JobId, now: Moment) -> bool {
        self.overflowed_at.is_some_and(|at| !is_expired(at, now)) || self.is_listed(job, now)
    }

    /// Returns a report of all jobs.
    pub fn report(&self, now: Moment) -> UnsettledReport {
        self.report_where(now, |_| true)
    }

    /// Returns a report of those among `jobs` that are listed.
    pub fn report_of(&self, jobs: &[JobId], now: Moment) -> UnsettledReport {
        self.report_where(now, |job| jobs.contains(&job))
    }

    /// Adds the jobs that a box reports.
    pub fn merge(&mut self, report: &UnsettledReport, now: Moment) {
        let moment_before = |age: TimeSpan| Moment(now.0.saturating_sub(age.0));
        self.drop_expired(now);
        for (job, age) in &report.jobs {
            self.insert(*job, moment_before(*age));
        }
        let reported = report.overflow_age.map(moment_before);
        self.overflowed_at = self.overflowed_at.max(reported);
    }

    fn insert(&mut self, job: JobId, at: Moment) {
        if self.notes.len() >= self.capacity {
            self.overflowed_at = self.overflowed_at.max(Some(at));
            return;
        }
        let noted_at = self.noted_at.entry(job).or_insert(at);
        *noted_at = at.max(*noted_at);
        self.notes.push_back((job, at));
    }

    fn is_listed(&self, job: JobId, now: Moment) -> bool {
        self.noted_at.get(&job).is_some_and(|at| !is_expired(*at, now))
    }

    fn report_where(&self, now: Moment, includes: impl Fn(JobId) -> bool) -> UnsettledReport {
        let current = |at: &Moment| !is_expired(*at, now);
        let listed = self.noted_at.iter().filter(|(job, at)| current(at) && includes(**job));
        UnsettledReport {
            jobs: listed.map(|(job, at)| (*job, now.since(*at))).collect(),
            overflow_age: self.overflowed_at.filter(current).map(|at| now.since(at)),
        }
    }

    fn drop_expired(&mut self, now: Moment) {
        while let Some((job, at)) =
            self.notes.front().copied().filter(|(_, at)| is_expired(*at, now))
        {
            self.notes.pop_front();
            // A later note of the same job has its own place in the queue.
            if self.noted_at.get(&job) == Some(&at) {
                self.noted_at.remove(&job);
            }
        }
    }
}

fn is_expired(noted_at: Moment, now: Moment) -> bool {
    now.since(noted_at) > UNSETTLED_FOR
}
