//! Places the tasks of waiting steps on workers, in the order of the steps' ranks.

use super::isolation::{split_alone, start_restriction_of};
use super::rank::{JobRank, StepRank, rank_job};
use super::room::{Candidate, OpenWorkers};
use super::worker_run::WorkerRun;
use super::write_ahead::{StartPlan, StartRecord};
use super::*;
use crate::crash_history::StartRestriction;
use crate::job::StepSpec;
use sedgehill_core::units::{Moment, ResourceSet};

/// Task indexes and the workers chosen for them.
pub(super) type Assignment = Vec<(u16, WorkerKey)>;

/// The numbers of a step's tasks that found no room.
#[derive(Debug, Clone, Copy, Default)]
struct UnplacedTasks {
    /// Tasks that must run alone.
    alone: usize,
    others: usize,
    /// Whether any of them would fit on a worker where it would not be kept apart from suspects.
    kept_apart: bool,
}

impl UnplacedTasks {
    /// Replaces a lack of room by its cause if tasks were kept apart from suspects.
    fn explain(&self, reason: StallReason) -> StallReason {
        match self.kept_apart && reason.lacks_room() {
            true => StallReason::SuspectsApart,
            false => reason,
        }
    }
}

impl Scheduler {
    /// Starts whatever can be started and requests missing advice, in the order of the steps'
    /// ranks.
    pub(super) fn place_all(&mut self, now: Moment) {
        self.begin_question_round(now);
        self.predict_restarts(now);
        self.suspects_seen = self.suspects_seen && self.jobs.values().any(ActiveJob::has_suspects);
        let open = self.open_workers(now);
        let needs_alone_worker =
            || self.suspects_seen && self.jobs.values().any(ActiveJob::wants_alone);
        let nothing_urgent = || self.restarts.is_empty() && !needs_alone_worker();
        let hall_emptied = !open.max_free_emptied.is_empty();
        if open.list.is_empty()
            && open.least_urgent == 0
            && nothing_urgent()
            && !hall_emptied
            && !self.begin_untrusted_check(&open, now)
        {
            return;
        }
        self.begin_limit_turn(now);
        let candidates = self.candidates(now);
        self.update_starved_step(&candidates, now);
        for (ahead, candidate) in candidates.into_iter().enumerate() {
            let released = self.release_claim(&candidate);
            let reason = self.place_step(&candidate, &open, now);
            self.renew_claim(&candidate, released, now);
            self.note_stall(&candidate, reason, now);
            self.note_restart_stall(&candidate, reason, ahead);
        }
        self.ask_in_order(&open, now);
        self.report_stalls(&open, now);
    }

    fn candidates(&mut self, now: Moment) -> Vec<Candidate> {
        let settled = self.take_over.settled;
        let unix_ms = self.unix_ms_at(now);
        let mut ranked = Vec::new();
        let mut blocked = Vec::new();
        for job in self.jobs.values() {
            // While the take-over is not settled, a task may run unknown to this lead if an earlier
            // lead recorded the start flag of its job. Other jobs are safe: since this lead fenced
            // the store, no start flag of an earlier lead is kept. A job whose flag a later lead
            // recorded belongs to that lead. This one has not read yet that it was replaced, and
            // would start tasks beside those of its successor, on workers that have not heard of
            // it.
            let blocked_by = match job {
                job if job.led_elsewhere => Some(StallReason::LaterLead),
                job if !settled && job.unsettled_starts => Some(StallReason::EarlierLead),
                _ => None,
            };
            if job.is_over() {
                continue;
            }
            let mut ranks = RepetitionRanks::default();
            for step in 0..job.steps.len() {
                if job.steps[step].unfinished == 0 || !job.is_due(step, unix_ms) {
                    continue;
                }
                let waiting = self.waiting_groups(job, step, now);
                for candidate in waiting.candidates(job.id, step) {
                    if let Some(reason) = blocked_by
                        && !(reason == StallReason::EarlierLead
                            && self.is_settled_candidate(&candidate, job))
                    {
                        blocked.push((reason, candidate));
                        continue;
                    }
                    let rank = match waiting.restart_due {
                        Some(since) if candidate.restarts => StepRank::Restart(since),
                        _ => StepRank::Job(ranks.get(job.steps[step].id.repetition, || {
                            self.rank_of(job, step, now).with_share_rank(self.share_rank(job))
                        })),
                    };
                    ranked.push((rank, candidate));
                }
            }
        }
        for (reason, candidate) in blocked {
            self.note_stall(&candidate, Some(reason), now);
            self.note_restart_stall(&candidate, Some(reason), 0);
        }
        ranked.sort_by_key(|(rank, candidate)| (*rank, candidate.job, candidate.step));
        ranked.into_iter().map(|(_, candidate)| candidate).collect()
    }

    /// Returns the rank of a step's job.
    pub(super) fn rank_of(&self, job: &ActiveJob, step: usize, now: Moment) -> JobRank {
        rank_job(job, step, &self.timing.policy, self.unix_ms_at(now), now)
    }

    /// Starts tasks of a step where possible, and requests missing advice. Returns what the
    /// remaining tasks wait for; none if none remain.
    fn place_step(
        &mut self,
        candidate: &Candidate,
        open: &OpenWorkers,
        now: Moment,
    ) -> Option<StallReason> {
        if self.fail_crashing_step(candidate.job, candidate.step, now) {
            return None;
        }
        let job = self.jobs.get(&candidate.job)?;
        let record = job.record.clone();
        let spec = record.step_spec(candidate.step);
        let displaces = record.policy.priority < open.least_urgent;
        let must_run_alone = |task: &ActiveTask| {
            task.crash_history.start_restriction() == StartRestriction::Exclusive
        };
        let needs_alone_worker =
            self.suspects_seen && job.step_tasks(candidate.step).iter().any(must_run_alone);
        if !open.max_free.fits(&spec.need)
            && !displaces
            && !needs_alone_worker
            && !candidate.restarts
        {
            return Some(open.explain_no_room(StallReason::NoRoom, &spec.need));
        }
        let step_id = job.steps[candidate.step].id;
        let mut waiting = self.waiting_in_group(candidate, job, now);
        let may_start = job.start_flag == StartFlag::Recorded;
        let is_deferred = spec.gang && waiting.len() < job.steps[candidate.step].unfinished;
        let expected = match candidate.restarts {
            true => self.restarts.expected(step_id),
            false => 0,
        };
        if waiting.is_empty() && expected > 0 {
            return Some(self.find_restart_room(candidate, spec, expected, open, now));
        }
        let wanted = waiting.len();
        let allowed = self.allowed_tasks(candidate.job, candidate.step, spec, wanted);
        if allowed == 0 {
            self.make_limit_room(candidate, spec, wanted, open, now);
            self.reserve_limit_room(candidate, spec, waiting.len(), now);
            return Some(StallReason::OrganisationLimit);
        }
        waiting.truncate(allowed);
        let mut remaining = UnplacedTasks::default();
        if may_start {
            remaining = self.start_waiting(candidate, spec, open, &waiting, now);
            remaining.kept_apart = self.suspects_seen
                && remaining.alone + remaining.others > 0
                && self.note_kept_apart(candidate, spec, open, now);
            let started = waiting.len() - remaining.alone - remaining.others;
            self.note_limit_starts(candidate, spec, started, now);
            if remaining.alone + remaining.others == 0 {
                if allowed < wanted {
                    self.make_limit_room(candidate, spec, wanted - allowed, open, now);
                }
                return None;
            }
            self.reserve_limit_room(candidate, spec, remaining.alone + remaining.others, now);
            if remaining.alone > 0 {
                self.reserve_alone(candidate, spec, remaining.alone, now);
            }
            if candidate.restarts && !spec.gang {
                let wanted = remaining.others + expected;
                let reason = self.find_restart_room(candidate, spec, wanted, open, now);
                return Some(remaining.explain(reason));
            }
            if displaces && remaining.others > 0 {
                self.displace_for(candidate, spec, remaining.others, now);
            }
        }
        let reason = self.request_advice(candidate, spec, open, now);
        Some(match may_start {
            false => StallReason::NotRecorded,
            true if is_deferred => StallReason::StartDeferred,
            true => open.explain_no_room(remaining.explain(reason), &spec.need),
        })
    }

    /// Starts those of the waiting tasks that find room. Returns how many remain.
    fn start_waiting(
        &mut self,
        candidate: &Candidate,
        spec: &StepSpec,
        open: &OpenWorkers,
        waiting: &[u16],
        now: Moment,
    ) -> UnplacedTasks {
        let Some(job) = self.jobs.get(&candidate.job) else { return UnplacedTasks::default() };
        let (alone, others) = split_alone(job, candidate.step, waiting);
        let mut remaining =
            UnplacedTasks { alone: alone.len(), others: others.len(), kept_apart: false };
        if spec.gang {
            let assignment = self.assign_gang(candidate, spec, open, waiting, now);
            if assignment.len() == waiting.len() {
                remaining = UnplacedTasks::default();
            }
            self.start_all(candidate, spec, assignment, now);
            return remaining;
        }
        let assignment = self.assign_alone(candidate, spec, open, &alone, now);
        remaining.alone -= assignment.len();
        self.start_all(candidate, spec, assignment, now);
        let assignment = self.assign_each(candidate, spec, open, &others, now);
        remaining.others -= assignment.len();
        self.start_all(candidate, spec, assignment, now);
        remaining
    }

    fn assign_each(
        &self,
        candidate: &Candidate,
        spec: &StepSpec,
        open: &OpenWorkers,
        waiting: &[u16],
        now: Moment,
    ) -> Assignment {
        let mut rooms = self.usable_rooms(candidate, spec, open, now);
        rooms.retain(|(key, _)| !self.workers[key.0].has_alone_reservation(now));
        let Some(job) = self.jobs.get(&candidate.job) else { return Vec::new() };
        let min_age = self.required_run_age(job, candidate.step, now);
        let mut assignment = Vec::new();
        for index in waiting {
            if rooms.is_empty() {
                break;
            }
            let task = &job.step_tasks(candidate.step)[usize::from(*index)];
            let history = &task.crash_history;
            let choice = self.choose_room(&rooms, job.id, history, task.failed_at, min_age, now);
            if let Some(choice) = choice {
                assignment.push((*index, take_slot(&mut rooms, choice)));
            }
        }
        assignment
    }

    fn assign_gang(
        &self,
        candidate: &Candidate,
        spec: &StepSpec,
        open: &OpenWorkers,
        waiting: &[u16],
        now: Moment,
    ) -> Assignment {
        let Some(job) = self.jobs.get(&candidate.job) else { return Vec::new() };
        let left = job.steps[candidate.step].unfinished;
        if waiting.len() < left {
            return Vec::new();
        }
        let (alone, others) = split_alone(job, candidate.step, waiting);
        let mut assignment = self.assign_alone(candidate, spec, open, &alone, now);
        if assignment.len() < alone.len() {
            return Vec::new();
        }
        let mut rooms = self.usable_rooms(candidate, spec, open, now);
        rooms.retain(|(key, _)| assignment.iter().all(|(_, taken)| taken != key));
        self.order_for_gang(candidate, spec, others.len(), &mut rooms, now);
        let min_age = self.required_run_age(job, candidate.step, now);
        for index in others {
            let task = &job.step_tasks(candidate.step)[usize::from(index)];
            let history = &task.crash_history;
            let choice = self.choose_room(&rooms, job.id, history, None, min_age, now);
            let Some(choice) = choice else { return Vec::new() };
            assignment.push((index, take_slot(&mut rooms, choice)));
        }
        assignment
    }

    fn start_all(
        &mut self,
        candidate: &Candidate,
        spec: &StepSpec,
        assignment: Assignment,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get(&candidate.job) else { return };
        if assignment.is_empty() {
            return;
        }
        let highest = job.step_tasks(candidate.step).iter().map(|task| task.progress.run).max();
        let gang_run = highest.unwrap_or_default().next();
        let step = &job.steps[candidate.step];
        let (first, step_id) = (step.first_task, step.id);
        // A gang can resume from the saved state of any member, and all members must start from the
        // same one.
        let saved = job.step_tasks(candidate.step).iter().map(|task| &task.progress.checkpoint);
        let gang_checkpoint =
            saved.filter(|text| !text.is_empty()).max().cloned().unwrap_or_default();
        let Some(job) = self.jobs.get(&candidate.job) else { return };
        let is_suspect = |index: u16| self.needs_write_ahead(job, first + usize::from(index));
        let gang_suspect = spec.gang && assignment.iter().any(|(index, _)| is_suspect(*index));
        let record = |index: u16| match gang_suspect || is_suspect(index) {
            true => StartRecord::Suspect,
            false if spec.long_running => StartRecord::Location,
            false => StartRecord::None,
        };
        let slowest = match spec.gang {
            true => self.slowest_of(assignment.iter().map(|(_, key)| *key)),
            false => None,
        };
        let starts: Vec<(u16, WorkerKey, StartRecord)> =
            assignment.into_iter().map(|(index, key)| (index, key, record(index))).collect();
        for (index, key, record) in starts {
            let location = (self.workers[key.0].entry.life.clone(), self.token);
            let Some(job) = self.jobs.get_mut(&candidate.job) else { return };
            let task = CellTask { step: step_id, index };
            let active_task = &mut job.tasks[first + usize::from(index)];
            assert!(!active_task.progress.done, "{task} is done and must not start again");
            assert!(
                matches!(active_task.phase, TaskPhase::Waiting(_)),
                "{task} already runs, or may run"
            );
            let run = if spec.gang { gang_run } else { active_task.progress.run.next() };
            active_task.progress.run = run;
            active_task.phase = TaskPhase::Placed(key, run);
            active_task.kept_apart_since = None;
            active_task.location = spec.long_running.then_some(location);
            let checkpoint = match spec.gang {
                true => gang_checkpoint.clone(),
                false => active_task.progress.checkpoint.clone(),
            };
            let alone =
                start_restriction_of(job, candidate.step, index) == StartRestriction::Exclusive;
            let start = StartPlan { worker: key, task, run, checkpoint, alone, record };
            self.order_start(start, spec.need, slowest.unwrap_or(key), now);
        }
    }

    /// Adds a run to a worker, and sends its start at once or queues it until it is recorded. The
    /// members of a gang wait for the slowest of its workers.
    fn order_start(
        &mut self,
        start: StartPlan,
        need: ResourceSet,
        slowest: WorkerKey,
        now: Moment,
    ) {
        let ahead = start.record != StartRecord::None;
        let (key, task, run) = (start.worker, start.task, start.run);
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let Some(step) = job.step_index(&task.step) else { return };
        let forecast = self.forecast_run(job, step, Some(slowest));
        let basis = self.run_basis(key, slowest, !start.checkpoint.is_empty());
        let worker = &mut self.workers[key.0];
        assert!(worker.free.fits(&need), "{}: {task} does not fit", worker.entry.life);
        let allowed = self.organisations.room_for(job.owner, &need) > 0;
        assert!(allowed, "{task} would exceed the limit of its organisation");
        let long_running = job.step_spec(step).long_running;
        let entry = WorkerRun {
            run,
            need: Some(need),
            owner: job.owner,
            phase: if ahead { RunPhase::Recording } else { RunPhase::Ordered },
            listed_from: None,
            start_expires: None,
            since: now,
            // A long-running task is never overdue: its estimate only covers its start-up.
            expected: (!long_running).then_some(forecast.expected),
            overdue: false,
            alone: start.alone,
            seen: false,
            long_running,
            basis,
        };
        if worker.reservation.is_some_and(|reservation| reservation.step == task.step) {
            worker.reservation = None;
        }
        worker.note_probe(now);
        let expected = entry.expected;
        self.add_run(key, task, entry);
        self.note_backlog_start(&task, need, expected, now);
        match ahead {
            true => self.defer_start(start, now),
            false => self.send_start(key, task, run, start.checkpoint, now),
        }
    }

    /// Sends the start of a run that has been added to a worker.
    pub(super) fn send_start(
        &mut self,
        key: WorkerKey,
        task: CellTask,
        run: RunNumber,
        checkpoint: String,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let Some(step) = job.step_index(&task.step) else { return };
        let earlier = self.settlement_of(job);
        let ticket = job.steps[step].advice.ticket(key, now, TimeSpan(0));
        let in_effect = self.uses_speeds(&job.record.policy.pool);
        let speed = in_effect.then(|| self.speed_of(key).speed);
        let worker = &mut self.workers[key.0];
        assert!(
            !worker.hall_emptied,
            "{}: {task} would start in an emptied hall",
            worker.entry.life
        );
        let (life, token) = (worker.entry.life.clone(), worker.token);
        worker.start_activity_at = now;
        let lease_until = worker
            .extend_lease(now, self.timing.lease)
            .expect("a worker that takes work has a clock reading");
        if let Some(entry) = worker.runs.get_mut(&task) {
            entry.start_expires = Some(lease_until);
        }
        self.events.push(CellEvent::Placed {
            task,
            run,
            worker: life,
            waited: now.since(job.accepted),
            ticket_left: ticket.map(|ticket| ticket.until.since(now)),
            earlier,
            without_run: self.restarts.get(&task).map(|due| now.since(due.since)),
            speed,
        });
        self.orders.push(CellOrder::Start(StartOrder {
            worker: key,
            task,
            run,
            record: job.record.clone(),
            lease_until,
            ticket: ticket.map(|ticket| ticket.text.clone()),
            checkpoint,
            token,
        }));
    }
}

/// Caches the rank shared by the steps of one repetition while the steps of a job are visited.
#[derive(Default)]
struct RepetitionRanks {
    last: Option<(u32, JobRank)>,
}

impl RepetitionRanks {
    fn get(&mut self, repetition: u32, rank: impl FnOnce() -> JobRank) -> JobRank {
        match self.last {
            Some((known, rank)) if known == repetition => rank,
            _ => self.last.insert((repetition, rank())).1,
        }
    }
}

/// Takes one place from the list and returns its worker.
fn take_slot(rooms: &mut Vec<(WorkerKey, usize)>, choice: usize) -> WorkerKey {
    let key = rooms[choice].0;
    rooms[choice].1 -= 1;
    if rooms[choice].1 == 0 {
        rooms.remove(choice);
    }
    key
}

pub(super) fn waiting_tasks(job: &ActiveJob, step: usize, now: Moment) -> Vec<u16> {
    let tasks = job.step_tasks(step).iter().enumerate();
    tasks.filter(|(_, task)| task.is_ready(now)).map(|(index, _)| index as u16).collect()
}
