//! Batches progress for the store, and processes batches that have been recorded.

use sedgehill_core::units::Moment;

use super::*;

impl Scheduler {
    /// Returns the next batch to record, if one is due. One batch is in flight at a time.
    pub fn take_batch(&mut self, now: Moment) -> Option<ProgressBatch> {
        if self.next_batch - 1 > self.recorded {
            return None;
        }
        let delayed_due = self
            .delayed_since
            .is_some_and(|since| now >= since.after(self.timing.max_record_delay));
        let due = !self.dirty.is_empty() || delayed_due || self.roster_changed;
        if !due && !self.confirmation_wanted {
            return None;
        }
        let mut ids = std::mem::take(&mut self.dirty);
        ids.append(&mut self.delayed);
        self.delayed_since = None;
        let jobs: Vec<(JobId, JobProgress)> = ids
            .into_iter()
            .filter_map(|id| self.jobs.get(&id).map(|job| (id, job.progress())))
            .collect();
        // Any record confirms that no later lead has fenced this one. A record of the roster is
        // written, again if need be, if there is nothing else.
        let confirms = std::mem::take(&mut self.confirmation_wanted) && jobs.is_empty();
        let mut roster = match std::mem::take(&mut self.roster_changed) || confirms {
            true => self.next_roster_changes(now),
            false => Vec::new(),
        };
        if confirms && roster.is_empty() {
            roster.push(self.repeated_roster_record(now));
        }
        let mut batch = ProgressBatch { number: self.next_batch, jobs, roster, speeds: Vec::new() };
        self.next_batch += 1;
        if is_sent(&batch) {
            self.batch_taken = now;
            // Speeds are never worth an append of their own.
            batch.speeds = self.next_speed_changes(now);
        }
        Some(batch)
    }

    /// Whether it is certain that no later lead had given orders by `moment`. If it is not known,
    /// something is recorded to find out: the store refuses the record once a later lead has fenced
    /// this one.
    ///
    /// Time alone does not prove that a run has ended. A lead that was replaced without knowing
    /// still counts on its term, while its successor may have renewed the lease of the run.
    pub(super) fn was_sole_lead_at(&mut self, moment: Moment) -> bool {
        let confirmed = self.lead_confirmed_at >= moment;
        // A batch taken since then will show it.
        if !confirmed && self.batch_taken < moment {
            self.confirmation_wanted = true;
        }
        confirmed
    }

    /// Processes a batch that has been recorded.
    pub fn batch_recorded(&mut self, batch: &ProgressBatch) {
        self.recorded = batch.number;
        if is_sent(batch) {
            self.lead_confirmed_at = self.batch_taken;
        }
        self.roster_records.note_recorded(&batch.roster);
        self.note_speeds_recorded(&batch.speeds);
        let written = batch.roster.iter().filter_map(|change| change.content.as_ref());
        for entry in written.flat_map(|content| &content.workers) {
            // The life may have been listed at another address since, which is in no recorded
            // roster yet.
            if let Some(key) = self.lives.get(&entry.life)
                && self.workers[key.0].entry.address == entry.address
            {
                self.workers[key.0].in_roster = true;
            }
        }
        for (id, progress) in &batch.jobs {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            if job.start_flag == StartFlag::Pending && progress.may_have_started {
                job.start_flag = StartFlag::Recorded;
            }
            let over = progress.state.is_final() && job.placed().is_empty();
            if over && !self.dirty.contains(id) {
                self.jobs.remove(id);
            }
        }
    }
}

/// Whether a batch is sent to the store; an empty one is not.
fn is_sent(batch: &ProgressBatch) -> bool {
    !batch.jobs.is_empty() || !batch.roster.is_empty()
}
