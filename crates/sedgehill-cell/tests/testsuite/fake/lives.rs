//! Workers that start again under the ids that they had.

use sedgehill_cell::ids::{FencingToken, LifeStart};

use super::{CLOCK_AHEAD, FakeCell};

/// Clocks of later lives begin so far behind those of the ones before.
const CLOCK_BACK: u64 = 10_000;

impl FakeCell {
    /// A cell whose workers keep their ids when they crash, and tell when their lives began.
    pub fn with_lasting_ids(workers: u16, capacity: u64) -> FakeCell {
        let mut cell = FakeCell::new(workers, capacity);
        cell.keeps_ids = true;
        for worker in &mut cell.workers {
            worker.entry.life.start = Some(LifeStart(cell.now.0));
        }
        cell
    }

    /// A worker starts again under its id, at its address: it holds and knows nothing of before, and counts anew.
    pub fn restart_worker(&mut self, number: usize) {
        if self.workers[number].ended {
            return;
        }
        self.lose_all(number);
        let now = self.now;
        let worker = &mut self.workers[number];
        worker.ends.clear();
        worker.next_end = 1;
        worker.excused = 0;
        worker.token = FencingToken(0);
        worker.floor.clear();
        worker.lease_until = 0;
        worker.clock_ahead = (worker.clock_ahead.max(2 * CLOCK_BACK) - CLOCK_BACK).min(CLOCK_AHEAD);
        worker.entry.life.start = Some(LifeStart(now.0));
    }
}
