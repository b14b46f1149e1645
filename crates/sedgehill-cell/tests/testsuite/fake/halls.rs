//! Data halls that operators empty, and the check that nothing starts there any more.

use sedgehill_cell::ids::HallName;
use sedgehill_cell::scheduler::Scheduler;
use sedgehill_core::units::TimeSpan;

use super::FakeCell;

/// The longest time after a request in which a start may still be ordered in an emptied hall. Users allow 5 s until the
/// last start there.
const MAX_START_AFTER_REQUEST: TimeSpan = TimeSpan(4_500);

/// Returns the name of the hall that the worker of a number is in: workers take turns in two halls.
pub fn hall_of(number: u16) -> HallName {
    HallName::from(["north", "south"][usize::from(number % 2)])
}

impl FakeCell {
    /// Empties a hall, as an operator does.
    pub fn empty_hall(&mut self, hall: &HallName) {
        self.emptied_halls.empty(hall.clone(), self.now);
    }

    /// Takes a hall back into use.
    pub fn take_back_hall(&mut self, hall: &HallName) {
        self.emptied_halls.take_back(hall);
    }

    /// Passes the operators' requests to empty halls to the scheduler, if they can be read.
    pub fn read_halls(&self, scheduler: &mut Scheduler) {
        if !self.halls_unreadable {
            scheduler.set_emptied_halls(&self.emptied_halls, self.now);
        }
    }

    /// Returns the number of runs on workers in a hall.
    pub fn runs_in_hall(&self, hall: &HallName) -> usize {
        let there = self.workers.iter().filter(|worker| worker.entry.hall.as_ref() == Some(hall));
        there.map(|worker| worker.run_count()).sum()
    }

    /// Checks that a start is not sent into a hall that was emptied seconds ago.
    pub(super) fn check_hall(&self, number: usize) {
        let entry = &self.workers[number].entry;
        let emptied = self.emptied_halls.iter();
        let emptied_at = emptied.filter(|(hall, _)| entry.hall.as_ref() == Some(*hall));
        for (hall, since) in emptied_at {
            let limit = since.after(MAX_START_AFTER_REQUEST);
            assert!(self.now <= limit, "{} gets a start in {hall}, emptied long ago", entry.life);
        }
    }
}
