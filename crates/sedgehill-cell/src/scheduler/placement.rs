//! Which waiting steps get room and advice.

use super::held::StartPlan;
use super::isolation::{split_alone, stage_of};
use super::rank::rank_job;
use super::worker::{WorkerRun, WorkerTrust};
use super::*;
use crate::job::StepSpec;
use crate::suspicion::SuspectStage;
use sedgehill_core::units::{Moment, ResourceSet};

/// Time that a tight job has left beside twice its work.
const TIGHT_SLACK: TimeSpan = TimeSpan(500);
/// Workers whose paces differ by less than one part in this many are taken as alike.
const PACE_STEPS: f64 = 8.0;
/// A worker that takes longer than this factor is the last choice for every job.
const PACE_BEARABLE: f64 = 1.6;

/// A step that could use room now.
pub(super) struct Candidate {
    pub(super) job: JobId,
    pub(super) step: usize,
}

/// Where the tasks of a step go.
pub(super) type Assignment = Vec<(u16, WorkerKey)>;

/// Tasks of a step that found no room.
#[derive(Debug, Clone, Copy, Default)]
struct TasksLeft {
    /// Those that want a worker of their own.
    alone: usize,
    others: usize,
}

/// The workers that may be given work in this turn. Found once a turn, since most workers of a busy
/// cell are full, and each step that waits looks at all others.
pub(super) struct OpenWorkers {
    pub(super) list: Vec<WorkerKey>,
    /// By worker.
    is_open: Vec<bool>,
    /// The most that is free in each dimension, on whichever worker.
    most: ResourceSet,
    /// The priority of the least urgent job that runs; 0, before which nothing is less urgent, if
    /// nothing may be displaced. A step of that priority need not look for work to displace.
    pub(super) least_urgent: u32,
}

impl Scheduler {
    /// Starts what can be started, and asks for the advice that is missing, best ranked first.
    pub(super) fn place_all(&mut self, now: Moment) {
        self.suspects_seen = self.suspects_seen && self.jobs.values().any(JobWork::has_suspects);
        let open = self.open_workers(now);
        let claims = || self.suspects_seen && self.jobs.values().any(JobWork::wants_alone);
        if open.list.is_empty() && open.least_urgent == 0 && !claims() {
            return;
        }
        self.keep_nothing();
        for candidate in self.candidates(now) {
            let reason = self.place_step(&candidate, &open, now);
            self.note_stand(&candidate, reason, now);
        }
        self.tell_stands(&open, now);
    }

    fn open_workers(&self, now: Moment) -> OpenWorkers {
        let mut is_open = vec![false; self.workers.len()];
        let mut list = Vec::new();
        let mut most = ResourceSet::default();
        for (number, worker) in self.workers.iter().enumerate() {
            let free = &worker.free;
            if free.is_empty() || worker.runs_allowed(now) == 0 {
                continue;
            }
            if worker.takes_work(now, &self.timing) {
                is_open[number] = true;
                list.push(WorkerKey(number));
                most.cores = most.cores.max(free.cores);
                most.memory = most.memory.max(free.memory);
                most.accelerators = most.accelerators.max(free.accelerators);
            }
        }
        let least_urgent = match self.timing.policy.displacement {
            true => self.least_urgent(),
            false => 0,
        };
        OpenWorkers { list, is_open, most, least_urgent }
    }

    /// The priority of the least urgent job that runs, whatever its pool.
    fn least_urgent(&self) -> u32 {
        let running = self.jobs.values().filter(|job| job.state == JobState::Running);
        running.map(|job| job.record.policy.priority).max().unwrap_or(0)
    }

    fn candidates(&mut self, now: Moment) -> Vec<Candidate> {
        let settled = self.take_over.settled;
        let unix_ms = self.unix_ms_at(now);
        let mut ranked = Vec::new();
        let mut barred = Vec::new();
        for job in self.jobs.values() {
            // A task of a job that an earlier lead marked as ordered may run unseen. It cannot have
            // begun one of another job: since this lead fenced the store, no mark of it is kept.
            // A job that a later lead marked is that lead's alone: this one has not read yet that it was replaced,
            // and would start tasks beside its successor's on workers that have not heard of that.
            let bar = match job {
                job if job.later_mark => Some(StandReason::LaterLead),
                job if !settled && job.foreign_orders => Some(StandReason::EarlierLead),
                _ => None,
            };
            if job.is_over() {
                continue;
            }
            let mut rank = None;
            for step in 0..job.steps.len() {
                if job.steps[step].left > 0
                    && job.is_due(step, unix_ms)
                    && wants_room(job, step, now)
                {
                    let candidate = Candidate { job: job.id, step };
                    if let Some(reason) = bar {
                        barred.push((reason, candidate));
                        continue;
                    }
                    let rank = *rank.get_or_insert_with(|| {
                        let beyond_due = self.is_beyond_due(job);
                        rank_job(job, &self.timing.policy, now).with_beyond_due(beyond_due)
                    });
                    ranked.push((rank, candidate));
                }
            }
        }
        for (reason, candidate) in barred {
            self.note_stand(&candidate, Some(reason), now);
        }
        ranked.sort_by_key(|(rank, candidate)| (*rank, candidate.job, candidate.step));
        ranked.into_iter().map(|(_, candidate)| candidate).collect()
    }

    /// Starts what can be started of a step, and asks for advice that is missing. Returns what the others wait for.
    fn place_step(
        &mut self,
        candidate: &Candidate,
        open: &OpenWorkers,
        now: Moment,
    ) -> Option<StandReason> {
        if self.judge_step(candidate.job, candidate.step, now) {
            return None;
        }
        let job = self.jobs.get(&candidate.job)?;
        let record = job.record.clone();
        let spec = record.step_spec(candidate.step);
        let displaces = record.policy.priority < open.least_urgent;
        let isolates = |task: &work::TaskWork| task.suspicion.stage() == SuspectStage::Alone;
        let claims = self.suspects_seen && job.step_tasks(candidate.step).iter().any(isolates);
        if !open.most.fits(&spec.need) && !displaces && !claims {
            return Some(StandReason::NoRoom);
        }
        let mut waiting = waiting_tasks(job, candidate.step, now);
        let ordered = job.ordered == OrderedMark::Recorded;
        let held = spec.gang && waiting.len() < job.steps[candidate.step].left;
        let allowed = self.allowed_tasks(candidate.job, candidate.step, spec, waiting.len());
        if allowed == 0 {
            self.keep_room(candidate, spec, waiting.len(), now);
            return Some(StandReason::Limit);
        }
        waiting.truncate(allowed);
        if ordered {
            let left = self.start_waiting(candidate, spec, open, &waiting, now);
            if left.alone + left.others == 0 {
                return None;
            }
            self.keep_room(candidate, spec, left.alone + left.others, now);
            if left.alone > 0 {
                self.claim_alone(candidate, spec, left.alone, now);
            }
            if displaces && left.others > 0 {
                self.displace_for(candidate, spec, left.others, now);
            }
        }
        let reason = self.ask_advice(candidate, spec, open, now);
        Some(match ordered {
            false => StandReason::NotRecorded,
            true if held => StandReason::Suspect,
            true => reason,
        })
    }

    /// Starts those of the tasks that wait for which there is room. Returns how many are left.
    fn start_waiting(
        &mut self,
        candidate: &Candidate,
        spec: &StepSpec,
        open: &OpenWorkers,
        waiting: &[u16],
        now: Moment,
    ) -> TasksLeft {
        let Some(job) = self.jobs.get(&candidate.job) else { return TasksLeft::default() };
        let (alone, others) = split_alone(job, candidate.step, waiting);
        let mut left = TasksLeft { alone: alone.len(), others: others.len() };
        if spec.gang {
            let assignment = self.assign_gang(candidate, spec, open, waiting, now);
            if assignment.len() == waiting.len() {
                left = TasksLeft::default();
            }
            self.start_all(candidate, spec, assignment, now);
            return left;
        }
        let assignment = self.assign_alone(candidate, spec, open, &alone, now);
        left.alone -= assignment.len();
        self.start_all(candidate, spec, assignment, now);
        let assignment = self.assign_each(candidate, spec, open, &others, now);
        left.others -= assignment.len();
        self.start_all(candidate, spec, assignment, now);
        left
    }

    /// How many tasks of a step an open worker can take now, apart from advice.
    pub(super) fn room_on(
        &self,
        key: WorkerKey,
        job: &JobWork,
        step: usize,
        spec: &StepSpec,
        now: Moment,
    ) -> usize {
        let worker = &self.workers[key.0];
        let step_id = job.steps[step].id;
        let fits = worker.free_for(&step_id, now).capacity_for(&spec.need) as usize;
        if fits == 0 || !self.admits(key, job, step, spec, now) {
            return 0;
        }
        let fits = match spec.gang {
            true => fits.min(worker.members_allowed(now)),
            false => fits.min(worker.runs_allowed(now)),
        };
        let Some(most) = spec.max_per_worker else { return fits };
        let probe = CellTask { step: step_id, index: 0 };
        fits.min(usize::from(most).saturating_sub(worker.runs_of_step(&probe)))
    }

    /// Whether a step would try a worker that did badly: the members of a gang do so together, and last.
    pub(super) fn is_tried_by(&self, spec: &StepSpec, key: WorkerKey) -> bool {
        spec.gang && self.workers[key.0].trust != WorkerTrust::Sound
    }

    /// Whether a worker is of a kind that may run the step, and holds fewer of its tasks than it may.
    pub(super) fn admits(
        &self,
        key: WorkerKey,
        job: &JobWork,
        step: usize,
        spec: &StepSpec,
        now: Moment,
    ) -> bool {
        let worker = &self.workers[key.0];
        let labels = &worker.entry.labels;
        let probe = CellTask { step: job.steps[step].id, index: 0 };
        let full = |most: u16| worker.runs_of_step(&probe) >= usize::from(most);
        worker.entry.pool == job.record.policy.pool
            && spec.label.as_ref().is_none_or(|label| labels.contains(label))
            && !spec.max_per_worker.is_some_and(full)
            && !worker.is_kept_from(job.id, now)
    }

    /// Workers that may run the step now, with the tasks they can take; the fullest first.
    pub(super) fn usable_rooms(
        &self,
        candidate: &Candidate,
        spec: &StepSpec,
        open: &OpenWorkers,
        now: Moment,
    ) -> Vec<(WorkerKey, usize)> {
        let Some(job) = self.jobs.get(&candidate.job) else { return Vec::new() };
        let tight = is_tight(job);
        let mut rooms = Vec::new();
        let mut look_at = |key: WorkerKey| {
            let room = self.room_on(key, job, candidate.step, spec, now);
            if room > 0 {
                let worker = &self.workers[key.0];
                let near =
                    spec.near_rack.as_ref().is_some_and(|rack| worker.entry.labels.contains(rack));
                let pace = match self.timing.policy.pace {
                    true => pace_step(worker.pace.factor(), tight),
                    false => 0,
                };
                rooms.push((
                    self.is_tried_by(spec, key),
                    !near,
                    pace,
                    worker.free.cores,
                    key,
                    room,
                ));
            }
        };
        match job.record.policy.advice {
            Some(_) => job.steps[candidate.step]
                .advice
                .ticketed(now, self.timing.ticket_margin)
                .filter(|key| open.is_open[key.0])
                .for_each(&mut look_at),
            None => open.list.iter().copied().for_each(&mut look_at),
        }
        rooms.sort();
        rooms.into_iter().map(|(.., key, room)| (key, room)).collect()
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
        rooms.retain(|(key, _)| !self.workers[key.0].is_claimed_alone(now));
        let Some(job) = self.jobs.get(&candidate.job) else { return Vec::new() };
        let mut assignment = Vec::new();
        for index in waiting {
            if rooms.is_empty() {
                break;
            }
            let task = &job.step_tasks(candidate.step)[usize::from(*index)];
            let joins = |key: WorkerKey| self.may_join(key, job.id, &task.suspicion, now);
            let choice = rooms
                .iter()
                .position(|(key, _)| Some(*key) != task.failed_at && joins(*key))
                .or_else(|| rooms.iter().position(|(key, _)| joins(*key)));
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
        let left = job.steps[candidate.step].left;
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
        for index in others {
            let task = &job.step_tasks(candidate.step)[usize::from(index)];
            let joins = |key: WorkerKey| self.may_join(key, job.id, &task.suspicion, now);
            let Some(choice) = rooms.iter().position(|(key, _)| joins(*key)) else {
                return Vec::new();
            };
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
        let highest = job.step_tasks(candidate.step).iter().map(|task| task.kept.run).max();
        let gang_run = highest.unwrap_or_default().next();
        let step = &job.steps[candidate.step];
        let (first, step_id) = (step.first, step.id);
        // Any member's saved state serves for its gang, and all must bring the same.
        let saved = job.step_tasks(candidate.step).iter().map(|task| &task.kept.checkpoint);
        let gang_checkpoint =
            saved.filter(|text| !text.is_empty()).max().cloned().unwrap_or_default();
        let Some(job) = self.jobs.get(&candidate.job) else { return };
        let is_ahead = |index: u16| self.is_recorded_ahead(job, first + usize::from(index));
        let gang_ahead = spec.gang && assignment.iter().any(|(index, _)| is_ahead(*index));
        let starts: Vec<(u16, WorkerKey, bool)> = assignment
            .into_iter()
            .map(|(index, key)| (index, key, gang_ahead || is_ahead(index)))
            .collect();
        for (index, key, ahead) in starts {
            let Some(job) = self.jobs.get_mut(&candidate.job) else { return };
            let task = CellTask { step: step_id, index };
            let work = &mut job.tasks[first + usize::from(index)];
            assert!(!work.kept.done, "{task} has ended done and must not begin again");
            assert!(matches!(work.phase, TaskPhase::Waiting(_)), "{task} runs already, or may");
            let run = if spec.gang { gang_run } else { work.kept.run.next() };
            work.kept.run = run;
            work.phase = TaskPhase::Placed(key, run);
            let checkpoint = match spec.gang {
                true => gang_checkpoint.clone(),
                false => work.kept.checkpoint.clone(),
            };
            let alone = stage_of(job, candidate.step, index) == SuspectStage::Alone;
            let start = StartPlan { worker: key, task, run, checkpoint, alone };
            self.order_start(start, spec.need, ahead, now);
        }
    }

    /// Puts a run on a worker, and orders its start at once or when it is recorded.
    fn order_start(&mut self, start: StartPlan, need: ResourceSet, ahead: bool, now: Moment) {
        let (key, task, run) = (start.worker, start.task, start.run);
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let Some(step) = job.step_index(&task.step) else { return };
        let worker = &mut self.workers[key.0];
        assert!(worker.free.fits(&need), "{}: {task} does not fit", worker.entry.life);
        let allowed = self.organisations.room_for(job.owner, &need) > 0;
        assert!(allowed, "{task} would take its organisation past its limit");
        let estimate = job.step_spec(step).estimate.0 as f64;
        let factor = self.estimates.get(&job.record.queue).map_or(1.0, FactorAverage::factor);
        let entry = WorkerRun {
            run,
            need: Some(need),
            owner: job.owner,
            phase: if ahead { RunPhase::Recording } else { RunPhase::Ordered },
            listed_from: None,
            since: now,
            expected: Some(TimeSpan((estimate * factor) as u64)),
            overdue: false,
            alone: start.alone,
            seen: false,
        };
        if worker.claim.is_some_and(|claim| claim.step == task.step) {
            worker.claim = None;
        }
        if matches!(worker.trust, WorkerTrust::Shunned(_)) {
            worker.trust = WorkerTrust::Probed;
        }
        self.add_run(key, task, entry);
        match ahead {
            true => self.hold_start(start, now),
            false => self.send_start(key, task, run, start.checkpoint, now),
        }
    }

    /// Orders the start of a run that has its place.
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
        let earlier = self.earlier_settled(job);
        let ticket = job.steps[step].advice.ticket(key, now, TimeSpan(0));
        let worker = &mut self.workers[key.0];
        let life = worker.entry.life.clone();
        let lease_until = worker
            .extend_lease(now, self.timing.lease)
            .expect("a worker that takes work has a clock");
        self.events.push(CellEvent::Placed {
            task,
            run,
            worker: life,
            waited: now.since(job.accepted),
            ticket_left: ticket.map(|ticket| ticket.until.since(now)),
            earlier,
        });
        self.orders.push(CellOrder::Start(StartOrder {
            worker: key,
            task,
            run,
            record: job.record.clone(),
            lease_until,
            ticket: ticket.map(|ticket| ticket.text.clone()),
            checkpoint,
        }));
    }
}

/// Takes room for one task from the list.
fn take_slot(rooms: &mut Vec<(WorkerKey, usize)>, choice: usize) -> WorkerKey {
    let key = rooms[choice].0;
    rooms[choice].1 -= 1;
    if rooms[choice].1 == 0 {
        rooms.remove(choice);
    }
    key
}

/// Whether a job leaves little time beside its work, so that it should run on the fastest workers.
fn is_tight(job: &JobWork) -> bool {
    let chain = job.record.spec.longest_chain().as_millis();
    job.record.objective().as_millis() <= 2 * chain + TIGHT_SLACK.as_millis()
}

/// The place of a worker by its pace, in steps of an eighth. Tight jobs go to the fastest; others to
/// the slowest that are not much slower than usual, so that fast ones stay free.
fn pace_step(factor: f64, tight: bool) -> i64 {
    let step = (factor * PACE_STEPS).round() as i64;
    match tight {
        true => step,
        false if factor > PACE_BEARABLE => step,
        false => -step,
    }
}

fn wants_room(job: &JobWork, step: usize, now: Moment) -> bool {
    job.step_tasks(step).iter().any(|task| task.is_ready(now))
}

pub(super) fn waiting_tasks(job: &JobWork, step: usize, now: Moment) -> Vec<u16> {
    let tasks = job.step_tasks(step).iter().enumerate();
    tasks.filter(|(_, task)| task.is_ready(now)).map(|(index, _)| index as u16).collect()
}
