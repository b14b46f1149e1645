//! Estimates when work can start under the limit of its organisation.
//!
//! The estimate plays the order that placement follows: waiting tasks start in the order of their
//! ranks as soon as the limit allows it, a gang as a whole, and nothing passes a group that waits.
//! Only the organisation's own work and limit count, so the load of other organisations never makes
//! a wait longer.

use sedgehill_core::units::{Moment, ResourceSet, TimeSpan};

use crate::ids::JobId;
use crate::organisation::ResourceLimit;

/// The number of time slots into which the time until the horizon is divided. It bounds the cost of
/// an estimate, whatever the length of the backlog, at an error of
/// one slot, a five-hundredth of the horizon, for each start in a row.
const SLOTS: u64 = 512;

/// The order in which an organisation's waiting work starts; the lowest goes first.
///
/// It is the rank of placement without the classes of value: work that is late, or could start
/// later, was accepted too, so new work must not push it back further.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BacklogRank {
    /// Whether the job is beyond its organisation's share.
    pub over_share: bool,
    /// The priority of its queue.
    pub priority: u32,
    /// The latest start that meets its objective.
    pub latest_start: u64,
}

/// Waiting tasks of one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BacklogGroup {
    /// Their job.
    pub job: JobId,
    /// Their rank.
    pub rank: BacklogRank,
    /// Their number.
    pub count: u32,
    /// Whether they start only together.
    pub gang: bool,
    /// The need of each task.
    pub need: ResourceSet,
    /// The forecast time of each task; none if it runs until its job is cancelled.
    pub duration: Option<TimeSpan>,
    /// When the steps before it are expected to be done.
    pub available_at: Moment,
    /// When the job was accepted.
    pub accepted: Moment,
}

impl BacklogGroup {
    /// Returns the need that must be free at once for a start.
    pub fn start_need(&self) -> ResourceSet {
        match self.gang {
            true => self.need.times(self.count),
            false => self.need,
        }
    }

    /// Returns the resources of all tasks times their duration in milliseconds; nothing for tasks
    /// without an end.
    pub fn work(&self) -> ResourceWork {
        let duration = self.duration.map_or(0, |duration| duration.0);
        ResourceWork::of(&self.need, duration).times(f64::from(self.count))
    }
}

/// A run that counts against the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CountedRun {
    /// The resources that it occupies.
    pub need: ResourceSet,
    /// Its expected end; none if it runs until its job is cancelled.
    pub end: Option<Moment>,
    /// The priority of its queue.
    pub priority: u32,
    /// Whether more urgent work of the organisation may stop it, since it saves its state.
    pub stoppable: bool,
}

/// An amount of each resource times milliseconds: thousandths of cores, bytes and accelerators.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ResourceWork([f64; 3]);

impl ResourceWork {
    /// Returns the work of occupying resources for a number of milliseconds.
    pub fn of(need: &ResourceSet, millis: u64) -> ResourceWork {
        let amounts = [need.cores.0, need.memory.0, u64::from(need.accelerators)];
        ResourceWork(amounts.map(|amount| amount as f64 * millis as f64))
    }

    /// Returns a multiple.
    pub fn times(&self, factor: f64) -> ResourceWork {
        ResourceWork(self.0.map(|amount| amount * factor))
    }

    /// Returns the sum.
    pub fn plus(&self, other: &ResourceWork) -> ResourceWork {
        ResourceWork([0, 1, 2].map(|dimension| self.0[dimension] + other.0[dimension]))
    }

    /// Returns the milliseconds that the work takes in the scarcest resource if all of `capacity`
    /// is used.
    pub fn millis_on(&self, capacity: &ResourceSet) -> f64 {
        let capacity = ResourceWork::of(capacity, 1);
        let times = [0, 1, 2].map(|dimension| match self.0[dimension] {
            // Work that no longer fits at all, since the capacity has gone, takes nothing from others.
            _ if capacity.0[dimension] == 0.0 => 0.0,
            work => work / capacity.0[dimension],
        });
        times.into_iter().fold(0.0, f64::max)
    }
}

/// What occupies and waits for the room under an organisation's limit.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LimitLoad {
    /// What counts against the limit.
    occupied: ResourceSet,
    /// The runs that are expected to release it.
    runs: Vec<CountedRun>,
    /// What the runs without an end occupy.
    held: ResourceSet,
    /// The work that was left of the runs when the load was taken.
    running_work: ResourceWork,
    /// The waiting tasks of accepted jobs, by rank.
    waiting: Vec<BacklogGroup>,
    /// The tasks of deferred jobs whose callers will retry, by rank.
    promised: Vec<BacklogGroup>,
}

/// The tasks of a new job that can start first, with what the estimate of their wait depends on.
#[derive(Debug, Clone, Copy)]
pub struct StartQuery<'a> {
    /// The first tasks of the job, all of one rank.
    pub groups: &'a [BacklogGroup],
    /// The limit of the organisation.
    pub limit: &'a ResourceLimit,
    /// How long it takes to stop less urgent runs that save their state; none if they are not
    /// stopped for urgent work.
    pub stop: Option<TimeSpan>,
    /// The longest wait that matters.
    pub horizon: TimeSpan,
}

impl LimitLoad {
    /// Creates the load of these runs as of `now`, with nothing that waits.
    pub fn new(occupied: ResourceSet, runs: Vec<CountedRun>, now: Moment) -> LimitLoad {
        let mut load = LimitLoad { occupied, ..LimitLoad::default() };
        runs.iter().for_each(|run| load.count_run(run, now));
        LimitLoad { runs, ..load }
    }

    fn count_run(&mut self, run: &CountedRun, now: Moment) {
        match run.end {
            Some(end) => {
                let left = ResourceWork::of(&run.need, end.since(now).0);
                self.running_work = self.running_work.plus(&left);
            }
            None => self.held = self.held.plus(&run.need),
        }
    }

    /// Adds waiting tasks.
    pub fn add_waiting(&mut self, group: BacklogGroup) {
        insert_by_rank(&mut self.waiting, group);
    }

    /// Adds many waiting tasks.
    pub fn extend_waiting(&mut self, groups: impl IntoIterator<Item = BacklogGroup>) {
        self.waiting.extend(groups);
        self.waiting.sort_by_key(|group| group.rank);
    }

    /// Adds tasks of many jobs whose callers will retry.
    pub fn extend_promised(&mut self, groups: impl IntoIterator<Item = BacklogGroup>) {
        self.promised.extend(groups);
        self.promised.sort_by_key(|group| group.rank);
    }

    /// Adds tasks of a job whose caller will retry.
    pub fn add_promised(&mut self, group: BacklogGroup) {
        insert_by_rank(&mut self.promised, group);
    }

    /// Turns a waiting task of a job into a run. Without this, work that has started would count as
    /// waiting, and behind more urgent work, until the load is gathered anew.
    pub fn note_start(&mut self, job: JobId, run: CountedRun, now: Moment) {
        let is_started = |group: &&mut BacklogGroup| group.job == job && group.need == run.need;
        if let Some(group) = self.waiting.iter_mut().find(is_started) {
            group.count -= 1;
            self.waiting.retain(|group| group.count > 0);
            self.occupied = self.occupied.plus(&run.need);
            self.count_run(&run, now);
            self.runs.push(run);
        }
    }

    /// Removes the tasks of a job.
    pub fn remove(&mut self, job: JobId) {
        self.waiting.retain(|group| group.job != job);
        self.promised.retain(|group| group.job != job);
    }

    /// Returns the waiting tasks that start before those of a new job of a rank: also those of an
    /// equal rank, which were accepted before.
    pub fn ahead_of(&self, rank: BacklogRank) -> &[BacklogGroup] {
        &self.waiting[..self.waiting.partition_point(|group| group.rank <= rank)]
    }

    /// Returns the waiting tasks of accepted jobs, by rank.
    pub fn waiting(&self) -> &[BacklogGroup] {
        &self.waiting
    }

    /// Returns what is left of the limit beside the runs that have no end.
    pub fn usable(&self, limit: &ResourceLimit) -> ResourceSet {
        limit.remaining(&self.held)
    }

    /// Returns the time until everything that runs and waits is expected to be done.
    pub fn time_to_clear(&self, limit: &ResourceLimit) -> TimeSpan {
        let usable = self.usable(limit);
        let waiting = self.waiting.iter().chain(&self.promised);
        let waiting = waiting.filter(|group| usable.fits(&group.start_need()));
        let waiting = waiting.map(BacklogGroup::work);
        let work = waiting.fold(self.running_work, |sum, work| sum.plus(&work));
        TimeSpan(work.millis_on(&usable).ceil() as u64)
    }

    /// Returns the time until all tasks of a query have started behind the work that ranks before
    /// them; none if that is not before its horizon.
    pub fn time_to_start(&self, query: &StartQuery<'_>, now: Moment) -> Option<TimeSpan> {
        let rank = query.groups.first()?.rank;
        self.time_behind(self.ahead_of(rank).iter(), query, now)
    }

    /// Returns the same behind everything that waits or is promised, as late work starts.
    pub fn time_to_start_last(&self, query: &StartQuery<'_>, now: Moment) -> Option<TimeSpan> {
        self.time_behind(self.waiting.iter().chain(&self.promised), query, now)
    }

    fn time_behind<'a>(
        &'a self,
        ahead: impl Iterator<Item = &'a BacklogGroup>,
        query: &StartQuery<'_>,
        now: Moment,
    ) -> Option<TimeSpan> {
        let priority = query.groups.first()?.rank.priority;
        let usable = self.usable(query.limit);
        if query.groups.iter().any(|group| !usable.fits(&group.start_need())) {
            return None;
        }
        let mut timeline = LimitTimeline::new(self.occupied, query);
        for run in &self.runs {
            let stop = query.stop.filter(|_| run.stoppable && run.priority > priority);
            let end = run.end.map(|end| end.since(now));
            if let Some(left) = end.into_iter().chain(stop).min() {
                timeline.release_after(&run.need, left);
            }
        }
        let mut not_available = Vec::new();
        for group in ahead.filter(|group| usable.fits(&group.start_need())) {
            match timeline.has_reached(group.available_at.since(now)) {
                true => timeline.start_all(group)?,
                false => not_available.push(group),
            }
        }
        for group in not_available {
            if timeline.has_reached(group.available_at.since(now)) {
                timeline.start_all(group)?;
            }
        }
        for group in query.groups {
            timeline.start_all(group)?;
        }
        Some(timeline.elapsed())
    }
}

fn insert_by_rank(groups: &mut Vec<BacklogGroup>, group: BacklogGroup) {
    let position = groups.partition_point(|other| other.rank <= group.rank);
    groups.insert(position, group);
}

/// The use of a limit over time, in slots of equal width.
struct LimitTimeline<'a> {
    limit: &'a ResourceLimit,
    used: ResourceSet,
    /// What is released at the start of each slot.
    released: Vec<ResourceSet>,
    slot: usize,
    /// The width of a slot in milliseconds.
    width: u64,
}

impl<'a> LimitTimeline<'a> {
    fn new(used: ResourceSet, query: &StartQuery<'a>) -> LimitTimeline<'a> {
        let width = query.horizon.0.div_ceil(SLOTS).max(1);
        let slots = query.horizon.0 / width + 1;
        LimitTimeline {
            limit: query.limit,
            used,
            released: vec![ResourceSet::default(); slots as usize],
            slot: 0,
            width,
        }
    }

    fn elapsed(&self) -> TimeSpan {
        TimeSpan(self.slot as u64 * self.width)
    }

    fn has_reached(&self, span: TimeSpan) -> bool {
        self.elapsed() >= span
    }

    /// Notes that resources are released after `span` from the current slot. What is released
    /// within half a slot is free at once.
    fn release_after(&mut self, need: &ResourceSet, span: TimeSpan) {
        let slots = span.0.saturating_add(self.width / 2) / self.width;
        if slots == 0 {
            self.used = self.used.saturating_minus(need);
        } else if let Some(released) =
            usize::try_from(slots).ok().and_then(|slots| self.released.get_mut(self.slot + slots))
        {
            *released = released.plus(need);
        }
    }

    /// Starts the tasks of a group as soon as they fit. Returns none if that is not before the
    /// horizon.
    fn start_all(&mut self, group: &BacklogGroup) -> Option<()> {
        let mut left = group.count;
        loop {
            let room = self.limit.remaining(&self.used).capacity_for(&group.need);
            let fits = u32::try_from(room).unwrap_or(u32::MAX).min(left);
            let started = if group.gang && fits < left { 0 } else { fits };
            let need = group.need.times(started);
            self.used = self.used.plus(&need);
            if let Some(duration) = group.duration.filter(|_| started > 0) {
                // A start takes a slot at least, or a long backlog would take no time.
                self.release_after(&need, duration.max(TimeSpan(self.width)));
            }
            left -= started;
            if left == 0 {
                return Some(());
            }
            self.advance()?;
        }
    }

    fn advance(&mut self) -> Option<()> {
        self.slot += 1;
        let released = self.released.get(self.slot)?;
        self.used = self.used.saturating_minus(released);
        Some(())
    }
}
