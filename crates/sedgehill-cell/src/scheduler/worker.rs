//! The lead's state of one life of a worker.

use std::collections::{HashMap, VecDeque};

use sedgehill_core::units::{Moment, ResourceSet, TimeSpan};

use super::displacement::WorkerReservation;
use super::event::LeaseReading;
use super::message::{WorkerEntry, WorkerTime};
use super::timing::CellTiming;
use super::trust::WorkerTrust;
use super::worker_run::{RunPhase, WorkerRun};
use super::worker_speeds::MachineKey;
use crate::ids::{CellTask, FencingToken, JobId, RunNumber, StepId};

/// Clock readings are in whole milliseconds, so two of them can differ by this much less than the
/// time between them.
const CLOCK_RESOLUTION: TimeSpan = TimeSpan(1);
/// Unanswered orders in a row that are put down to chance.
const FEW_UNANSWERED_ORDERS: u32 = 2;
/// Most doublings of the time for which a worker that leaves orders unanswered gets no new work.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// The state of one life of a worker.
#[derive(Debug)]
pub struct WorkerState {
    /// Its entry in the store.
    pub entry: WorkerEntry,
    /// Whether the store lists it.
    pub listed: bool,
    /// This lead has read its entry in the store. The size in a roster may be out of date: the
    /// worker may have shrunk.
    pub capacity_read: bool,
    /// When it went from the store's list; only of use while it is not listed.
    pub unlisted_since: Moment,
    /// Its newest entry in the store could not be read.
    pub unreadable: bool,
    /// Nothing new may start there, because operators emptied its hall.
    pub hall_emptied: bool,
    /// When it was added at its address.
    pub added_at: Moment,
    /// Whether it is in the recorded roster.
    pub in_roster: bool,
    /// It has refused the token of this lead before it answered any lead. It is called no more.
    pub refuses_token: bool,
    /// The store refuses its record in the roster, so that it can be given no work.
    pub unrecordable: bool,
    /// It was in the roster of an earlier lead, which may have started runs there.
    pub inherited: bool,
    /// Whether it is polled for reports.
    pub polled: bool,
    /// It has ended, or is not at this address, so nothing runs there.
    pub dead: bool,
    /// When another life was first known to answer under its id. It has ended, but calls to it may
    /// still reach the next life, until that one refuses their token.
    pub replaced_at: Option<Moment>,
    /// The token for calls to it. Each further life of an id has a higher token. Once a later life
    /// has reported, it refuses calls to an earlier one, which may arrive seconds late.
    pub token: FencingToken,
    /// Earlier lives under its id count as ended once this one reports.
    pub replaces_earlier: bool,
    /// When its last report arrived.
    pub last_report_at: Option<Moment>,
    /// The time from the report before it to the last one.
    pub report_gap: TimeSpan,
    /// Jobs that had runs on it when it was lost.
    pub lost_jobs: Vec<JobId>,
    /// The entry in the store under its id, if it is that of another life. The worker gets no work
    /// while there is one, since one of the two lives does not exist.
    pub other_listed_entry: Option<Box<WorkerEntry>>,
    /// It has answered this lead, so it refuses every earlier lead.
    pub fenced: bool,
    /// A report has listed all its runs and ends, so everything that earlier leads started there is
    /// known.
    pub reported_in_full: bool,
    /// The runs that are there, or may be.
    pub runs: HashMap<CellTask, WorkerRun>,
    /// The room that its runs leave free.
    pub free: ResourceSet,
    /// One of its runs must run alone. Cached, since each search for room reads it.
    pub has_alone_run: bool,
    /// The largest size that it is known to have had in each dimension. Runs that were started with
    /// it may still exist.
    pub largest_capacity: ResourceSet,
    /// When it last answered a call.
    pub last_answer_at: Option<Moment>,
    /// When the newest processed report was asked for.
    pub report_asked_at: Moment,
    /// Calls in a row without an answer.
    pub silent_calls: u32,
    /// Orders in a row without an answer. Reports may arrive meanwhile.
    pub unanswered_orders: u32,
    /// When the first of those calls was given up; none while it answers.
    pub silent_since: Option<Moment>,
    /// It gets no new work before this moment.
    pub avoid_until: Moment,
    /// Faults in a row: failed runs and overdue runs.
    pub consecutive_faults: u32,
    /// How far it is trusted with work.
    pub trust: WorkerTrust,
    /// The machine on which it runs, as far as that is known.
    pub machine: MachineKey,
    /// Room that is reserved for a step.
    pub reservation: Option<WorkerReservation>,
    /// When a start was last sent to it or answered.
    pub start_activity_at: Moment,
    /// The number up to which the last hold acknowledged run ends.
    pub acknowledged_to: u64,
    /// The newest reading of its clock, and when it arrived.
    clock: Option<(WorkerTime, Moment)>,
    /// The end of the longest lease that any lead may have asked for.
    lease_until: WorkerTime,
    /// The number of the newest processed run end.
    last_end: u64,
    /// Run ends that are not recorded yet, with the numbers of their batches.
    unrecorded_ends: VecDeque<(u64, u64)>,
}

impl WorkerState {
    /// Creates the state of a worker that has not answered yet.
    pub fn new(entry: WorkerEntry, token: FencingToken, now: Moment) -> WorkerState {
        WorkerState {
            token,
            replaced_at: None,
            replaces_earlier: false,
            last_report_at: None,
            report_gap: TimeSpan(0),
            lost_jobs: Vec::new(),
            other_listed_entry: None,
            free: entry.capacity,
            has_alone_run: false,
            largest_capacity: entry.capacity,
            entry,
            listed: true,
            capacity_read: false,
            unlisted_since: now,
            unreadable: false,
            hall_emptied: false,
            added_at: now,
            in_roster: false,
            refuses_token: false,
            unrecordable: false,
            inherited: false,
            polled: false,
            dead: false,
            fenced: false,
            reported_in_full: false,
            runs: HashMap::new(),
            last_answer_at: None,
            report_asked_at: Moment(0),
            silent_calls: 0,
            unanswered_orders: 0,
            silent_since: None,
            avoid_until: Moment(0),
            consecutive_faults: 0,
            trust: WorkerTrust::Trusted,
            machine: MachineKey::default(),
            reservation: None,
            start_activity_at: Moment(0),
            acknowledged_to: 0,
            clock: None,
            lease_until: WorkerTime(0),
            last_end: 0,
            unrecorded_ends: VecDeque::new(),
        }
    }

    /// Returns the worker's clock at `now`, extrapolated from its last reading.
    pub fn clock_at(&self, now: Moment) -> Option<WorkerTime> {
        self.clock.map(|(clock, at)| clock.after(now.since(at)))
    }

    /// Returns the end of the longest lease that an earlier lead may have asked for, by the clock
    /// of the first answer.
    pub fn assumed_lease(&self, clock: WorkerTime, timing: &CellTiming) -> WorkerTime {
        self.lease_until.max(clock.after(timing.max_lease))
    }

    /// Returns the earliest time that the worker's clock can show at `now`, given its drift.
    fn least_clock_at(&self, now: Moment, timing: &CellTiming) -> Option<WorkerTime> {
        let (clock, at) = self.clock?;
        let elapsed = now.since(at).as_millis();
        let drift = (elapsed * timing.clock_drift_permille).div_ceil(1000) + CLOCK_RESOLUTION.0;
        Some(clock.after(TimeSpan(elapsed.saturating_sub(drift))))
    }

    /// Processes an answer to a start or a stop that was received at `now`. Such an answer does not
    /// name the life that gave it, so its clock counts only where each life has its own id.
    pub fn note_order_answer(&mut self, clock: WorkerTime, now: Moment, timing: &CellTiming) {
        match self.entry.life.start {
            Some(_) => self.note_contact(now),
            None => self.note_answer(clock, now, timing),
        }
    }

    fn note_contact(&mut self, now: Moment) {
        self.last_answer_at = Some(now);
        self.silent_calls = 0;
        self.silent_since = None;
    }

    /// Processes the clock reading of an answer of this life that was received at `now`.
    pub fn note_answer(&mut self, clock: WorkerTime, now: Moment, timing: &CellTiming) {
        self.note_contact(now);
        if !self.fenced {
            // An earlier lead may have renewed the lease up to the longest that workers grant.
            self.lease_until = self.assumed_lease(clock, timing);
        }
        self.fenced = true;
        // A delayed answer has an older reading than is known already. A slow clock must still be
        // followed: when its first reading was kept, the leases asked for grew by 20 ms a second,
        // beyond what the next lead waits for.
        if self.least_clock_at(now, timing).is_none_or(|least| clock >= least) {
            self.clock = Some((clock, now));
        }
    }

    /// Notes an order without an answer. A worker whose reports arrive may still not get orders, so
    /// it is given new work ever more rarely until it answers one.
    pub fn note_unanswered_order(&mut self, now: Moment, timing: &CellTiming) {
        self.unanswered_orders += 1;
        let doublings = self.unanswered_orders.saturating_sub(FEW_UNANSWERED_ORDERS);
        let backoff = timing.worker_backoff.0 << doublings.min(MAX_BACKOFF_DOUBLINGS);
        self.avoid_until = self.avoid_until.max(now.after(TimeSpan(backoff)));
    }

    /// Returns the end of a lease that begins now, and remembers it.
    pub fn extend_lease(&mut self, now: Moment, lease: TimeSpan) -> Option<WorkerTime> {
        let until = self.clock_at(now)?.after(lease);
        self.lease_until = self.lease_until.max(until);
        Some(until)
    }

    /// Returns the evidence that every lease ever asked for had ended at `now`; none if one may
    /// still last.
    pub fn ended_lease_reading(&self, now: Moment, timing: &CellTiming) -> Option<LeaseReading> {
        let reading = self.lease_reading(now, timing);
        reading.filter(|reading| reading.least > reading.until.after(timing.lease_end_margin))
    }

    /// Returns how long its leases can still last; none before its first answer.
    pub fn lease_left(&self, now: Moment, timing: &CellTiming) -> Option<TimeSpan> {
        let reading = self.lease_reading(now, timing)?;
        let end = reading.until.after(timing.lease_end_margin);
        Some(TimeSpan(end.0.saturating_sub(reading.least.0)))
    }

    /// Returns what is known of the end of its leases; none before its first answer.
    fn lease_reading(&self, now: Moment, timing: &CellTiming) -> Option<LeaseReading> {
        let (clock, at) = self.clock?;
        let least = self.least_clock_at(now, timing)?;
        Some(LeaseReading { until: self.lease_until, clock, age: now.since(at), least })
    }

    /// Returns the span in which a worker was lost that is silent or replaced: from its last report
    /// to the first call that it left unanswered. None if it is neither, or never reported.
    pub fn loss_window(&self) -> Option<(Moment, Moment)> {
        let away = self.silent_since.or(self.replaced_at)?;
        Some((self.last_report_at?, away))
    }

    /// Whether the job has a run there, or had one when the worker was lost.
    pub fn had_job(&self, job: JobId) -> bool {
        let now = || self.runs.keys().any(|task| task.step.job == job);
        self.lost_jobs.contains(&job) || now()
    }

    /// Whether an earlier lead may have started runs there that no report has listed yet.
    pub fn may_have_unlisted_runs(&self) -> bool {
        self.inherited && !self.dead && !self.reported_in_full
    }

    /// Whether it has ends left to list: it has answered, has not listed everything yet, and neither
    /// its life nor its lease has ended. This lead renews the lease, so such runs can have ended
    /// later than the longest lease of an earlier lead.
    pub fn has_ends_to_list(&self, now: Moment, timing: &CellTiming) -> bool {
        self.fenced
            && !self.reported_in_full
            && !self.is_over()
            && self.ended_lease_reading(now, timing).is_none()
    }

    /// Whether it has ended, or another life answers under its id.
    pub fn is_over(&self) -> bool {
        self.dead || self.replaced_at.is_some()
    }

    /// Whether the store lists it, or listed it a moment ago. A worker with an unreadable entry
    /// exists but must not be used.
    pub fn is_listed(&self, now: Moment, timing: &CellTiming) -> bool {
        !self.unreadable && (self.listed || now < self.unlisted_since.after(timing.relist_grace))
    }

    /// Whether it may be given new work.
    pub fn takes_work(&self, now: Moment, timing: &CellTiming) -> bool {
        let answered_recently = self.last_answer_at.is_some_and(|answered| {
            now.since(answered).as_millis() <= timing.max_answer_age.as_millis()
        });
        self.is_listed(now, timing)
            && self.capacity_read
            && self.in_roster
            && self.other_listed_entry.is_none()
            && !self.is_over()
            && !self.entry.draining
            && !self.hall_emptied
            && self.fenced
            && answered_recently
            && self.silent_calls == 0
            && self.runs.values().all(|run| run.need.is_some())
            && now >= self.avoid_until
    }

    /// Sets the size that the worker has now. Runs that exceed it go on. Returns whether any
    /// dimension shrank.
    pub fn resize(&mut self, capacity: ResourceSet) -> bool {
        let shrunk = !capacity.fits(&self.entry.capacity);
        self.entry.capacity = capacity;
        self.note_capacity(&capacity);
        self.update_free();
        shrunk
    }

    /// Notes a size that the worker has or had.
    pub fn note_capacity(&mut self, capacity: &ResourceSet) {
        let ResourceSet { cores, memory, accelerators } = *capacity;
        self.largest_capacity.cores = self.largest_capacity.cores.max(cores);
        self.largest_capacity.memory = self.largest_capacity.memory.max(memory);
        self.largest_capacity.accelerators = self.largest_capacity.accelerators.max(accelerators);
    }

    /// Whether its runs, including possible ones, need more than its size.
    pub fn is_over_size(&self) -> bool {
        !self.entry.capacity.fits(&self.used())
    }

    /// Whether it is leaving or has left as planned: it was draining, or it answered after its
    /// entry had gone from the store.
    pub fn is_leaving(&self) -> bool {
        // Answers to orders may come from the next life.
        let answered =
            if self.entry.life.start.is_some() { self.last_report_at } else { self.last_answer_at };
        let answered_since = answered.is_some_and(|answered| answered > self.unlisted_since);
        self.entry.draining || (!self.listed && answered_since)
    }

    /// Returns its reservation if it has not expired.
    pub fn active_reservation(&self, now: Moment) -> Option<&WorkerReservation> {
        self.reservation.as_ref().filter(|reservation| now < reservation.until)
    }

    /// Returns the free room that a step may use, without what is reserved for another step.
    pub fn free_for(&self, step: &StepId, now: Moment) -> ResourceSet {
        match self.active_reservation(now) {
            Some(reservation) if reservation.step != *step => {
                self.free.saturating_minus(&reservation.need)
            }
            _ => self.free,
        }
    }

    /// Adds a run, which occupies room.
    pub fn add_run(&mut self, task: CellTask, run: WorkerRun) {
        let previous = self.runs.insert(task, run);
        debug_assert!(previous.is_none(), "a worker has at most one run of a task");
        self.update_free();
    }

    /// Removes a run and frees its room.
    pub fn remove_run(&mut self, task: &CellTask) -> Option<WorkerRun> {
        let run = self.runs.remove(task);
        self.update_free();
        run
    }

    fn used(&self) -> ResourceSet {
        let needs = self.runs.values().filter_map(|run| run.need);
        needs.fold(ResourceSet::default(), |used, need| used.plus(&need))
    }

    fn update_free(&mut self) {
        self.has_alone_run = self.runs.values().any(|run| run.alone);
        self.free = self.entry.capacity.saturating_minus(&self.used());
    }

    /// Whether the run is there, or may be.
    pub fn has_run(&self, task: &CellTask, run: RunNumber) -> bool {
        self.runs.get(task).is_some_and(|entry| entry.run == run)
    }

    /// Returns the number of runs of the task's step that are there, or may be.
    pub fn runs_of_step(&self, task: &CellTask) -> usize {
        self.runs.keys().filter(|other| other.step == task.step).count()
    }

    /// Returns whether an end was not processed before, and marks it as processed.
    pub fn is_new_end(&mut self, number: u64) -> bool {
        let is_new = number > self.last_end;
        self.last_end = self.last_end.max(number);
        is_new
    }

    /// Notes that an end may be acknowledged once `batch` is recorded.
    pub fn await_record(&mut self, number: u64, batch: u64) {
        self.unrecorded_ends.push_back((number, batch));
    }

    /// Whether a start may have reached the next life under its id, as no report asked for since
    /// then says otherwise. An acknowledgement sent now would make that life forget ends that
    /// nobody has read.
    pub fn may_have_restarted(&self) -> bool {
        let unanswered = || self.runs.values().any(|run| run.phase == RunPhase::Ordered);
        let unheard = self.start_activity_at >= self.report_asked_at || unanswered();
        self.entry.life.start.is_some() && unheard
    }

    /// Returns the number up to which ends may be acknowledged once all batches up to `recorded`
    /// are in the store.
    pub fn acknowledged(&mut self, recorded: u64) -> u64 {
        while self.unrecorded_ends.front().is_some_and(|(_, batch)| *batch <= recorded) {
            self.unrecorded_ends.pop_front();
        }
        match self.unrecorded_ends.front() {
            Some((number, _)) => number - 1,
            None => self.last_end,
        }
    }
}
