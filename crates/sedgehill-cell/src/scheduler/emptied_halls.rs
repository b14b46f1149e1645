//! Keeps new work out of the data halls that operators have emptied.
//!
//! Starts, further members of gangs, restarts, reservations and questions to the advice service all
//! choose among workers that take work, and a worker in an emptied hall takes none. What runs there
//! goes on until it ends by itself, long-running tasks included: to stop a sound run would cost its
//! users more than the wait. A job that only fits while the hall is in use waits, and is not failed.

use sedgehill_core::units::{Moment, TimeSpan};

use super::*;
use crate::halls::EmptiedHalls;
use crate::ids::HallName;

/// What the lead knows of the operators' requests to empty halls.
#[derive(Debug, Default)]
pub struct HallView {
    halls: EmptiedHalls,
    /// When this knowledge was last complete; none if it never was.
    known_at: Option<Moment>,
}

impl HallView {
    /// Whether nothing new may start on a worker of `hall`. A worker whose hall is not known may be
    /// in any of the emptied ones.
    pub fn excludes(&self, hall: Option<&HallName>) -> bool {
        hall.map_or(!self.halls.is_empty(), |hall| self.halls.contains(hall))
    }
}

/// Figures about an emptied hall, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HallStats {
    /// The hall.
    pub hall: HallName,
    /// The number of workers there that have not ended.
    pub workers: usize,
    /// The number of runs there that have not ended.
    pub runs: usize,
    /// Time since this lead's box learned that the hall is to be emptied.
    pub emptied_for: TimeSpan,
}

impl Scheduler {
    /// Sets the emptied halls, which were completely known at `known_at`.
    pub fn set_emptied_halls(&mut self, halls: &EmptiedHalls, known_at: Moment) {
        let is_first = self.emptied_halls.known_at.is_none();
        self.emptied_halls.known_at = self.emptied_halls.known_at.max(Some(known_at));
        if *halls == self.emptied_halls.halls && !is_first {
            return;
        }
        self.emptied_halls.halls = halls.clone();
        for worker in &mut self.workers {
            let was_emptied = worker.hall_emptied;
            worker.hall_emptied = self.emptied_halls.excludes(worker.entry.hall.as_ref());
            if was_emptied && !worker.hall_emptied {
                // It may be slow at first.
                worker.consecutive_faults = 0;
                self.speeds.forget(worker.machine);
            }
        }
    }

    /// Whether the requests to empty halls are known well enough to start anything.
    pub(super) fn has_fresh_hall_view(&self, now: Moment) -> bool {
        let known_at = self.emptied_halls.known_at;
        known_at.is_some_and(|known_at| now < known_at.after(self.timing.max_hall_view_age))
    }

    /// Whether a start that was ordered may still be sent to a worker.
    pub fn may_send_start(&self, worker: WorkerKey) -> bool {
        !self.workers[worker.0].hall_emptied
    }

    /// Returns figures about the emptied halls.
    pub fn hall_stats(&self, now: Moment) -> Vec<HallStats> {
        let stats = |(hall, since): (&HallName, Moment)| {
            let workers = self
                .workers
                .iter()
                .filter(|worker| !worker.is_over() && worker.entry.hall.as_ref() == Some(hall));
            let runs: Vec<usize> = workers.map(|worker| worker.runs.len()).collect();
            HallStats {
                hall: hall.clone(),
                workers: runs.len(),
                runs: runs.iter().sum(),
                emptied_for: now.since(since),
            }
        };
        self.emptied_halls.halls.iter().map(stats).collect()
    }
}
