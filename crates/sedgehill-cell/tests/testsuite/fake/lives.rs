//! Workers that restart with the same id.

use sedgehill_cell::ids::{FencingToken, LifeStart};

use super::{CLOCK_AHEAD_MS, FakeCell};

/// How far the clock of a life is behind that of the life before, in milliseconds.
const CLOCK_SETBACK_MS: u64 = 10_000;

impl FakeCell {
    /// Returns a cell whose workers keep their ids after a crash and report when their lives started.
    pub fn with_lasting_ids(workers: u16, capacity: u64) -> FakeCell {
        let mut cell = FakeCell::new(workers, capacity);
        cell.keeps_ids = true;
        for worker in &mut cell.workers {
            worker.entry.life.start = Some(LifeStart(cell.now.0));
        }
        cell
    }

    /// Restarts a worker with the same id and address. The new life has no runs, ends or token, and numbers its ends
    /// from 1.
    pub fn restart_worker(&mut self, number: usize) {
        if self.workers[number].ended {
            return;
        }
        self.lose_runs(number);
        let now = self.now;
        let worker = &mut self.workers[number];
        worker.ends.clear();
        worker.next_end = 1;
        worker.ends_before_lapse = 0;
        worker.token = FencingToken(0);
        worker.floor.clear();
        worker.lease_until = 0;
        worker.clock_ahead =
            (worker.clock_ahead.max(2 * CLOCK_SETBACK_MS) - CLOCK_SETBACK_MS).min(CLOCK_AHEAD_MS);
        worker.entry.life.start = Some(LifeStart(now.0));
    }
}
