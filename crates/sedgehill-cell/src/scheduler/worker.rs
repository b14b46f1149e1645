//! One life of a worker as the lead knows it.

use std::collections::{HashMap, VecDeque};

use sedgehill_core::units::{Moment, ResourceSet, TimeSpan};

use super::displacement::WorkerReservation;
use super::event::LeaseReading;
use super::message::{WorkerEntry, WorkerTime};
use super::organisations::OrganisationKey;
use super::pace::FactorAverage;
use super::timing::CellTiming;
use crate::ids::{CellTask, FencingToken, JobId, RunNumber, StepId};

/// How far an order to run is settled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunPhase {
    /// The start waits until it is recorded; nothing was sent.
    Recording,
    /// The start was sent and not yet answered.
    Ordered,
    /// The worker said that it runs.
    Confirmed,
    /// It is to be stopped; set to the last stop that was sent.
    Stopping(StopAttempt),
    /// A stop was answered; the end is about to be listed.
    Stopped,
}

/// A stop that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopAttempt {
    /// When.
    pub sent: Moment,
    /// How many were sent before it.
    pub earlier: u32,
}

/// Clocks tell whole milliseconds: two readings may be so much closer than the time between them.
const CLOCK_RESOLUTION: TimeSpan = TimeSpan(1);

/// The pause between stops grows to at most this many doublings of the first.
const MAX_STOP_DOUBLINGS: u32 = 3;

impl StopAttempt {
    /// The first stop of a run.
    pub fn first(sent: Moment) -> StopAttempt {
        StopAttempt { sent, earlier: 0 }
    }

    /// The next one, if it is due. Stops that are not answered become rarer: where answers are late
    /// because a link is full, repeats would fill it further.
    pub fn next(self, interval: TimeSpan, now: Moment) -> Option<StopAttempt> {
        let pause = TimeSpan(interval.0 << self.earlier.min(MAX_STOP_DOUBLINGS));
        let due = now >= self.sent.after(pause);
        due.then_some(StopAttempt { sent: now, earlier: self.earlier + 1 })
    }
}

/// One run on a worker. It takes room until its end is listed.
#[derive(Debug, Clone)]
pub struct WorkerRun {
    /// The run.
    pub run: RunNumber,
    /// The room it takes; none if that is not known.
    pub need: Option<ResourceSet>,
    /// Whose limit it counts against.
    pub owner: Option<OrganisationKey>,
    /// How far it is settled.
    pub phase: RunPhase,
    /// An account asked for later than this, which lists the run neither as running nor as ended,
    /// proves that there is no such run.
    pub listed_from: Option<Moment>,
    /// When it was ordered, or first seen.
    pub since: Moment,
    /// How long it should take on a sound worker; none if it was first seen when it ran already, or has no end.
    pub expected: Option<TimeSpan>,
    /// It has taken so much longer that it counted against the worker.
    pub overdue: bool,
    /// Nothing of another job may be put beside it.
    pub alone: bool,
    /// The worker has said that it is there.
    pub seen: bool,
    /// It has no end of its own.
    pub long_running: bool,
}

impl WorkerRun {
    /// The worker said that it runs. Returns whether that is news.
    pub fn confirm(&mut self, now: Moment) -> bool {
        let is_first = !std::mem::replace(&mut self.seen, true);
        if self.phase == RunPhase::Ordered {
            self.phase = RunPhase::Confirmed;
            self.listed_from = Some(now);
        }
        is_first
    }
}

/// Whether a worker gets work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerTrust {
    /// As much as fits.
    Trusted,
    /// None before the given moment, and then one run to try it.
    Suspended(Moment),
    /// One run at a time, until one ends well.
    Probing,
}

/// One life of a worker.
#[derive(Debug)]
pub struct WorkerState {
    /// What the store says of it.
    pub entry: WorkerEntry,
    /// Whether the store lists it.
    pub listed: bool,
    /// This lead has read its entry. What a roster says of its size is of another time: the worker may have shrunk.
    pub capacity_read: bool,
    /// Since when the store does not list it.
    pub unlisted_since: Moment,
    /// Its last entry could not be read.
    pub unreadable: bool,
    /// When it was first listed at its address.
    pub added_at: Moment,
    /// Whether the roster that holds it is recorded.
    pub in_roster: bool,
    /// An earlier lead had it in its roster, and so may have started something there.
    pub inherited: bool,
    /// Whether somebody asks it for accounts.
    pub polled: bool,
    /// It is known to have ended: nothing runs there.
    pub dead: bool,
    /// Since when it is known that another life answers under its id. It has ended, but what was sent to it may reach
    /// the next life until that refuses its token.
    pub replaced_at: Option<Moment>,
    /// The token for calls to it. Each life of an id that a lead meets has a higher one, so that calls to an earlier
    /// life, which may be carried out seconds later, are refused by a later one that was heard.
    pub token: FencingToken,
    /// A life before it under its id counts as ended once this one is heard.
    pub replaces_earlier: bool,
    /// When its last account arrived.
    pub last_report_at: Option<Moment>,
    /// Jobs of which something was there when it was lost.
    pub lost_jobs: Vec<JobId>,
    /// What the store lists under its id, if that is another life. It gets no work then: one of the two is not there.
    pub other_listed_entry: Option<Box<WorkerEntry>>,
    /// It answered an order of this lead, so it refuses every earlier lead.
    pub fenced: bool,
    /// What runs there, or may.
    pub runs: HashMap<CellTask, WorkerRun>,
    /// Room left.
    pub free: ResourceSet,
    /// One of its runs is to have nothing of another job beside it. Kept, since each look for room asks for it.
    pub has_alone_run: bool,
    /// The most that it is known to have had, in each dimension: what was started then may still run.
    pub largest_capacity: ResourceSet,
    /// When it last answered.
    pub last_answer_at: Option<Moment>,
    /// When the newest account that was taken in had been asked for.
    pub report_asked_at: Moment,
    /// Calls in a row without an answer.
    pub silent_calls: u32,
    /// When the first of them was given up.
    pub silent_since: Option<Moment>,
    /// No new work before then.
    pub avoid_until: Moment,
    /// Bad signs in a row: failed ends, and runs that take far too long.
    pub consecutive_faults: u32,
    /// Whether it gets work.
    pub trust: WorkerTrust,
    /// How much longer runs take there than elsewhere.
    pub pace: FactorAverage,
    /// Room that is kept for a step.
    pub reservation: Option<WorkerReservation>,
    /// When a start was last sent to it, or answered.
    pub start_activity_at: Moment,
    /// The number up to which the last account told it to forget ends.
    pub acknowledged_to: u64,
    clock: Option<(WorkerTime, Moment)>,
    lease_until: WorkerTime,
    last_end: u64,
    unrecorded_ends: VecDeque<(u64, u64)>,
}

impl WorkerState {
    /// A worker that has not answered yet.
    pub fn new(entry: WorkerEntry, token: FencingToken, now: Moment) -> WorkerState {
        WorkerState {
            token,
            replaced_at: None,
            replaces_earlier: false,
            last_report_at: None,
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
            added_at: now,
            in_roster: false,
            inherited: false,
            polled: false,
            dead: false,
            fenced: false,
            runs: HashMap::new(),
            last_answer_at: None,
            report_asked_at: Moment(0),
            silent_calls: 0,
            silent_since: None,
            avoid_until: Moment(0),
            consecutive_faults: 0,
            trust: WorkerTrust::Trusted,
            pace: FactorAverage::default(),
            reservation: None,
            start_activity_at: Moment(0),
            acknowledged_to: 0,
            clock: None,
            lease_until: WorkerTime(0),
            last_end: 0,
            unrecorded_ends: VecDeque::new(),
        }
    }

    /// The worker's clock at `now`, as far as its answers tell.
    pub fn clock_at(&self, now: Moment) -> Option<WorkerTime> {
        self.clock.map(|(clock, at)| clock.after(now.since(at)))
    }

    /// The end of the longest lease that an earlier lead may have asked for, by the clock of the first
    /// answer.
    pub fn assumed_lease(&self, clock: WorkerTime, timing: &CellTiming) -> WorkerTime {
        self.lease_until.max(clock.after(timing.max_lease))
    }

    /// The least that the worker's clock shows at `now`, however slow it runs.
    fn least_clock_at(&self, now: Moment, timing: &CellTiming) -> Option<WorkerTime> {
        let (clock, at) = self.clock?;
        let elapsed = now.since(at).as_millis();
        let drift = (elapsed * timing.clock_drift_permille).div_ceil(1000) + CLOCK_RESOLUTION.0;
        Some(clock.after(TimeSpan(elapsed.saturating_sub(drift))))
    }

    /// Takes in an answer to a start or a stop that was received at `now`. It does not tell which life gave it, so the
    /// clock in it counts only where each life has its own id.
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

    /// Takes in the clock of an answer of this life that was received at `now`.
    pub fn note_answer(&mut self, clock: WorkerTime, now: Moment, timing: &CellTiming) {
        self.note_contact(now);
        if !self.fenced {
            // An earlier lead may have renewed the lease as far as workers allow.
            self.lease_until = self.assumed_lease(clock, timing);
        }
        self.fenced = true;
        // A late answer tells an earlier time than is known already. One of a clock that runs slow does not: kept
        // to its first reading, leases asked for grew by 20 ms a second beyond what a next lead waits for.
        if self.least_clock_at(now, timing).is_none_or(|least| clock >= least) {
            self.clock = Some((clock, now));
        }
    }

    /// Chooses the end of a lease that begins now and remembers it.
    pub fn extend_lease(&mut self, now: Moment, lease: TimeSpan) -> Option<WorkerTime> {
        let until = self.clock_at(now)?.after(lease);
        self.lease_until = self.lease_until.max(until);
        Some(until)
    }

    /// What tells that every lease that was ever asked for had surely ended at `now`; none if it may last.
    pub fn ended_lease_reading(&self, now: Moment, timing: &CellTiming) -> Option<LeaseReading> {
        let reading = self.lease_reading(now, timing);
        reading.filter(|reading| reading.least > reading.until.after(timing.lease_end_margin))
    }

    /// How long its leases last at the most; none before its first answer.
    pub fn lease_left(&self, now: Moment, timing: &CellTiming) -> Option<TimeSpan> {
        let reading = self.lease_reading(now, timing)?;
        let end = reading.until.after(timing.lease_end_margin);
        Some(TimeSpan(end.0.saturating_sub(reading.least.0)))
    }

    /// What is known of the end of its leases; none before its first answer.
    fn lease_reading(&self, now: Moment, timing: &CellTiming) -> Option<LeaseReading> {
        let (clock, at) = self.clock?;
        let least = self.least_clock_at(now, timing)?;
        Some(LeaseReading { until: self.lease_until, clock, age: now.since(at), least })
    }

    /// Between which moments it was lost, if it is away and was ever heard: its last account, and the first call that it
    /// left unanswered.
    pub fn loss_window(&self) -> Option<(Moment, Moment)> {
        let away = self.silent_since.or(self.replaced_at)?;
        Some((self.last_report_at?, away))
    }

    /// Whether something of a job is there, or was when it was lost.
    pub fn had_job(&self, job: JobId) -> bool {
        let now = || self.runs.keys().any(|task| task.step.job == job);
        self.lost_jobs.contains(&job) || now()
    }

    /// Whether it has ended, or another life answers under its id.
    pub fn is_over(&self) -> bool {
        self.dead || self.replaced_at.is_some()
    }

    /// Whether the store lists it, or may do so again in a moment. One whose entry cannot be read is there, but
    /// not to be used.
    pub fn is_listed(&self, now: Moment, timing: &CellTiming) -> bool {
        !self.unreadable && (self.listed || now < self.unlisted_since.after(timing.relist_grace))
    }

    /// Whether new work may be sent there.
    pub fn takes_work(&self, now: Moment, timing: &CellTiming) -> bool {
        let max_answer_age = self.last_answer_at.is_some_and(|answered| {
            now.since(answered).as_millis() <= timing.max_answer_age.as_millis()
        });
        self.is_listed(now, timing)
            && self.capacity_read
            && self.in_roster
            && self.other_listed_entry.is_none()
            && !self.is_over()
            && !self.entry.draining
            && self.fenced
            && max_answer_age
            && self.silent_calls == 0
            && self.runs.values().all(|run| run.need.is_some())
            && now >= self.avoid_until
    }

    /// Takes in what the worker says that it has. What runs there beyond it goes on. Returns whether it has less
    /// than before in any dimension.
    pub fn resize(&mut self, capacity: ResourceSet) -> bool {
        let shrunk = !capacity.fits(&self.entry.capacity);
        self.entry.capacity = capacity;
        self.note_capacity(&capacity);
        self.update_free();
        shrunk
    }

    /// Notes what it has had.
    pub fn note_capacity(&mut self, capacity: &ResourceSet) {
        let ResourceSet { cores, memory, accelerators } = *capacity;
        self.largest_capacity.cores = self.largest_capacity.cores.max(cores);
        self.largest_capacity.memory = self.largest_capacity.memory.max(memory);
        self.largest_capacity.accelerators = self.largest_capacity.accelerators.max(accelerators);
    }

    /// Whether more runs there, or may, than it has room for.
    pub fn is_over_size(&self) -> bool {
        !self.entry.capacity.fits(&self.used())
    }

    /// Whether it is about to end as planned, or has: it said so, or it answered while the store had dropped its
    /// entry.
    pub fn is_leaving(&self) -> bool {
        // Answers to orders may be those of the next life.
        let answered =
            if self.entry.life.start.is_some() { self.last_report_at } else { self.last_answer_at };
        let answered_since = answered.is_some_and(|answered| answered > self.unlisted_since);
        self.entry.draining || (!self.listed && answered_since)
    }

    /// The claim on it, if one is in force.
    pub fn active_reservation(&self, now: Moment) -> Option<&WorkerReservation> {
        self.reservation.as_ref().filter(|reservation| now < reservation.until)
    }

    /// Room that a step may use: what is claimed for another one is left.
    pub fn free_for(&self, step: &StepId, now: Moment) -> ResourceSet {
        match self.active_reservation(now) {
            Some(reservation) if reservation.step != *step => {
                self.free.saturating_minus(&reservation.need)
            }
            _ => self.free,
        }
    }

    /// The most runs that may be added at once, as far as the worker is trusted.
    pub fn runs_allowed(&self, now: Moment) -> usize {
        match self.trust {
            WorkerTrust::Trusted => usize::MAX,
            WorkerTrust::Suspended(until) if now < until => 0,
            WorkerTrust::Suspended(_) => 1,
            WorkerTrust::Probing => usize::from(self.runs.is_empty()),
        }
    }

    /// The same for the members of a gang, which try a worker together: held to one run, workers that did badly long ago
    /// and that nothing else tried again made up no gang wider than their number. They are chosen last.
    pub fn members_allowed(&self, now: Moment) -> usize {
        match self.trust {
            WorkerTrust::Trusted => usize::MAX,
            WorkerTrust::Suspended(until) if now < until => 0,
            WorkerTrust::Suspended(_) => usize::MAX,
            WorkerTrust::Probing if self.runs.is_empty() => usize::MAX,
            WorkerTrust::Probing => 0,
        }
    }

    /// Notes a bad sign. Returns whether the worker is shunned for it.
    pub fn note_fault(&mut self, now: Moment, timing: &CellTiming) -> bool {
        self.consecutive_faults += 1;
        let on_trial = self.trust != WorkerTrust::Trusted;
        let suspended = timing.policy.shunning
            && (on_trial || self.consecutive_faults >= timing.max_consecutive_faults);
        if suspended {
            self.trust = WorkerTrust::Suspended(now.after(timing.suspension));
            self.consecutive_faults = 0;
        }
        suspended
    }

    /// Notes that a run ended well.
    pub fn note_success(&mut self) {
        self.consecutive_faults = 0;
        self.trust = WorkerTrust::Trusted;
    }

    /// Takes room for a run.
    pub fn add_run(&mut self, task: CellTask, run: WorkerRun) {
        let previous = self.runs.insert(task, run);
        debug_assert!(previous.is_none(), "a worker has at most one run of a task");
        self.update_free();
    }

    /// Gives back the room of a run.
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

    /// Whether a run is there, or may be.
    pub fn has_run(&self, task: &CellTask, run: RunNumber) -> bool {
        self.runs.get(task).is_some_and(|entry| entry.run == run)
    }

    /// Runs of one step that are there.
    pub fn runs_of_step(&self, task: &CellTask) -> usize {
        self.runs.keys().filter(|other| other.step == task.step).count()
    }

    /// Whether an end was not seen before; it is seen from then on.
    pub fn is_new_end(&mut self, number: u64) -> bool {
        let is_new = number > self.last_end;
        self.last_end = self.last_end.max(number);
        is_new
    }

    /// Notes that an end may be forgotten once batch `batch` is recorded.
    pub fn await_record(&mut self, number: u64, batch: u64) {
        self.unrecorded_ends.push_back((number, batch));
    }

    /// Whether a start may have met the next life under its id: no account that was asked for since has said otherwise.
    /// That life would forget ends unread if it were told of numbers now.
    pub fn may_have_restarted(&self) -> bool {
        let unanswered = || self.runs.values().any(|run| run.phase == RunPhase::Ordered);
        let unheard = self.start_activity_at >= self.report_asked_at || unanswered();
        self.entry.life.start.is_some() && unheard
    }

    /// The number up to which ends may be forgotten when all batches up to `recorded` are.
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
