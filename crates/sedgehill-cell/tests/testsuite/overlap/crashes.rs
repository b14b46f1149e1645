//! Tasks that crash their workers, and how often boxes in touch start them.

use sedgehill_cell::ids::{CellTask, RunNumber};
use sedgehill_cell::scheduler::RunEnd;
use sedgehill_core::units::{Moment, TimeSpan};

use super::{Path, World};

/// A box is in touch if nothing has befallen it for so long.
const IN_TOUCH: TimeSpan = TimeSpan(3_000);
/// A worker that crashed is listed, and not back, for so long.
const LISTED: TimeSpan = TimeSpan(4_500);
const BACK: TimeSpan = TimeSpan(3_000);
/// Workers that crashed under a task before its starts by boxes in touch are counted.
const CRASHES_FREE: usize = 3;
/// The first start that is one too many.
const STARTS_TOO_MANY: usize = 3;

impl World {
    /// Has the first task of the job that is handed in next crash its workers.
    pub fn crash_next(&mut self, after: TimeSpan) {
        let task = crate::fake::task(self.jobs.len() as u64, 0, 0);
        self.crashing.insert(task, after);
    }

    /// Something befalls a box.
    pub fn disturb(&mut self, host: usize) {
        self.disturbed[host] = self.now;
    }

    fn is_in_touch(&self, host: usize) -> bool {
        let paths = &self.paths[host];
        let whole = paths.workers.iter().chain([&paths.leads, &paths.store]);
        let frozen = self.now < self.hosts[host].frozen_until.after(IN_TOUCH);
        let quiet = self.now >= self.disturbed[host].after(IN_TOUCH);
        quiet && !frozen && whole.into_iter().all(|path| *path == Path::default())
    }

    /// A start was carried out.
    pub(super) fn note_crashing_start(
        &mut self,
        host: usize,
        place: usize,
        task: CellTask,
        run: RunNumber,
    ) {
        let Some(after) = self.crashing.get(&task).copied() else { return };
        self.doomed.push((self.now.after(after), place, task, run));
        let crashes = self.crashes.get(&task).copied().unwrap_or(0);
        if crashes < CRASHES_FREE || !self.is_in_touch(host) {
            return;
        }
        let further = self.further.entry(task).or_default();
        *further += 1;
        assert!(
            *further < STARTS_TOO_MANY,
            "{task} was started {further} times after {crashes} crashes"
        );
    }

    /// Crashes the workers whose time has come.
    pub(super) fn crash_doomed(&mut self) {
        let now = self.now;
        let due: Vec<(Moment, usize, CellTask, RunNumber)> =
            self.doomed.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, place, task, run) in due {
            let worker = &mut self.workers[place];
            worker.lapse(now);
            if worker.runs.get(&task).is_some_and(|there| there.run == run) {
                *self.crashes.entry(task).or_default() += 1;
                let keeps_id = self.keeps_ids;
                self.die(place, now.after(LISTED), now.after(BACK), keeps_id);
            }
        }
    }

    /// A worker ends. The other members of gangs that ran there end as well.
    pub fn die(&mut self, place: usize, listed: Moment, back: Moment, keeps_id: bool) {
        if self.workers[place].back_at.is_some() {
            return;
        }
        let lost = self.workers[place].runs.clone();
        self.workers[place].die(listed, back, keeps_id);
        for (at, member) in self.all_runs() {
            let spec = &self.jobs[&member.step.job].spec.steps[usize::from(member.step.step)];
            let run = self.workers[at].runs[&member].run;
            let mut gang = lost.iter().filter(|(task, _)| spec.gang && task.step == member.step);
            if gang.any(|(_, there)| there.run == run) {
                self.workers[at].end(member, RunEnd::Broken);
            }
        }
    }

    /// Whether a run ends well where nobody sees to it: one that crashes its worker does not, nor does its gang.
    pub(super) fn ends_well(&self, task: &CellTask) -> bool {
        let spec = &self.jobs[&task.step.job].spec.steps[usize::from(task.step.step)];
        let first = CellTask { index: 0, ..*task };
        !self.crashing.contains_key(if spec.gang { &first } else { task })
    }
}
