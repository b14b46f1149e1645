//! Selects the workers that a question to the advice service names.
//!
//! Whether a worker may run a step never changes, while tickets expire. A question therefore names
//! the workers whose tickets could let the step start now. As long as that costs little more time,
//! it also names workers that were never asked about, so that later questions need not.

use std::cmp::Reverse;
use std::sync::Arc;

use sedgehill_core::units::{Moment, TimeSpan};

use super::advice::InFlightQuestion;
use super::isolation::split_alone;
use super::room::{Candidate, OpenWorkers};
use super::*;
use crate::ids::StepId;
use crate::job::StepSpec;

/// The most workers that the advice service accepts in one question.
pub(super) const MAX_WORKERS_PER_QUESTION: usize = 100;
/// Places to ask for, as a multiple of what the step needs, since other steps take some of them
/// meanwhile.
const ROOM_FACTOR: f64 = 1.6;
/// The same for gangs, which need all places at once: each that is missing costs another question.
const GANG_ROOM_FACTOR: f64 = 3.0;
/// A question is filled up with unknown workers while it costs at most this percentage of its cost
/// without them.
const FILL_COST_PERCENT: u64 = 150;
/// Questions in flight for one gang. One question names at most some thirty workers that may run
/// it, each with room for one to three members, and a wide gang needs more before the first tickets
/// expire.
const MAX_GANG_QUESTIONS: usize = 3;
/// Questions in flight for a step whose long-running tasks lost their run.
const MAX_RESTART_QUESTIONS: usize = 2;
/// Time from a failed question to the next one for the step.
const ASK_BACKOFF: TimeSpan = TimeSpan(60);

/// A worker that a question could name. The field order is the order in which workers are named.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QuestionCandidate {
    /// The worker is not trusted, and the gang would try it again.
    untrusted: bool,
    /// Its place by the speed that the step should get, the lowest first.
    speed: i64,
    /// It was never asked about.
    unknown: bool,
    most_places: Reverse<usize>,
    rotation: usize,
    /// The number of tasks that fit on it.
    places: usize,
    key: WorkerKey,
}

/// Places for the tasks of a step, by what is known of their workers.
#[derive(Debug, Default)]
struct AdvicePlaces {
    candidates: Vec<QuestionCandidate>,
    /// Places on workers with valid tickets.
    usable: usize,
    /// Places that questions in flight are expected to open.
    expected: f64,
    /// The most places that questions in flight can open.
    expected_max: usize,
}

/// What became of a step's attempt to ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AskOutcome {
    /// A question was sent.
    Asked,
    /// None was sent, for this reason.
    Waits(StallReason),
}

impl Scheduler {
    /// Asks which workers may run a step, if there is room that an answer could open. Returns what
    /// the step waits for.
    pub(super) fn request_advice(
        &mut self,
        candidate: &Candidate,
        spec: &StepSpec,
        open: &OpenWorkers,
        now: Moment,
    ) -> StallReason {
        if let Some(reason) = self.question_block(candidate, spec, now) {
            return reason;
        }
        if self.defer_question(candidate) {
            return StallReason::NoFreeHelper;
        }
        match self.ask(candidate, spec, open, now) {
            AskOutcome::Asked => StallReason::AwaitingAdvice,
            AskOutcome::Waits(reason) => reason,
        }
    }

    /// Returns what keeps a step from asking, apart from boxes and room; none if nothing does.
    pub(super) fn question_block(
        &self,
        candidate: &Candidate,
        spec: &StepSpec,
        now: Moment,
    ) -> Option<StallReason> {
        let Some(job) = self.jobs.get(&candidate.job) else { return Some(StallReason::NoRoom) };
        if job.record.policy.advice.is_none() {
            return Some(match spec.gang {
                true => StallReason::PartialGangRoom,
                false => StallReason::NoRoom,
            });
        }
        let advice = &job.steps[candidate.step].advice;
        let max_questions = match spec.gang {
            true => MAX_GANG_QUESTIONS,
            // A question for tasks that never ran may also be in flight.
            false if candidate.restarts => MAX_RESTART_QUESTIONS,
            false => 1,
        };
        if advice.expected_answers() >= max_questions {
            return Some(StallReason::AwaitingAdvice);
        }
        (now < advice.retry_at).then_some(StallReason::RecentFailure)
    }

    /// Asks one question about a step, if a box is free and an answer could open room.
    pub(super) fn ask(
        &mut self,
        candidate: &Candidate,
        spec: &StepSpec,
        open: &OpenWorkers,
        now: Moment,
    ) -> AskOutcome {
        let no_job = AskOutcome::Waits(StallReason::NoRoom);
        let Some(question) = self.waiting_question(candidate, now) else { return no_job };
        // Checked first, because selecting the workers to name takes much longer.
        if self.advice_dispatcher.choose(&question, now).is_none() {
            self.note_helper_wait(candidate, question.class, question.cost, now);
            return AskOutcome::Waits(StallReason::NoFreeHelper);
        }
        let Some(job) = self.jobs.get(&candidate.job) else { return no_job };
        let Some(policy) = job.record.policy.advice else { return no_job };
        let selected = match candidate.restarts && !spec.gang {
            true => self
                .select_restart_workers(candidate, job, spec, now)
                .map(|named| (QuestionClass::of(policy.cost(named.len())), named)),
            false => self
                .select_workers(candidate, job, spec, open, now)
                .map(|named| self.fill_or_save(candidate, job, spec, named, now)),
        };
        let (class, named) = match selected {
            Ok(selected) => selected,
            Err(reason) => return AskOutcome::Waits(self.note_no_question(candidate, reason, now)),
        };
        let question = WaitingQuestion { class, cost: policy.cost(named.len()), ..question };
        let Some(helper) = self.advice_dispatcher.choose(&question, now) else {
            self.note_helper_wait(candidate, class, question.cost, now);
            return AskOutcome::Waits(StallReason::NoFreeHelper);
        };
        self.send_question(candidate, &question, helper, named, now);
        AskOutcome::Asked
    }

    /// Notes that no question would help a step. Returns what it waits for.
    fn note_no_question(
        &mut self,
        candidate: &Candidate,
        reason: StallReason,
        now: Moment,
    ) -> StallReason {
        let Some(job) = self.jobs.get_mut(&candidate.job) else { return reason };
        let advice = &mut job.steps[candidate.step].advice;
        advice.helper_wait = None;
        if !advice.in_flight.is_empty() {
            return StallReason::AwaitingAdvice;
        }
        if reason == StallReason::NoneAllowed {
            advice.recheck_rejected(now);
        }
        reason
    }

    /// Sends a question about a step through a box.
    fn send_question(
        &mut self,
        candidate: &Candidate,
        question: &WaitingQuestion,
        helper: HelperId,
        named: Vec<WorkerKey>,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get_mut(&candidate.job) else { return };
        let active_step = &mut job.steps[candidate.step];
        let step = active_step.id;
        let WaitingQuestion { class, cost, time_left, waited, .. } = *question;
        self.advice_dispatcher.begin(helper, step, class, cost, now);
        self.starved_step.take_if(|step| *step == *candidate);
        let named_count = named.len();
        let requested = CellEvent::AdviceRequested {
            step,
            named: named_count,
            helper,
            class,
            time_left,
            waited,
        };
        self.events.push(requested);
        let workers = named.iter().map(|key| self.workers[key.0].entry.life.id.clone()).collect();
        self.orders.push(CellOrder::Ask(AdviceQuestion { helper, step, workers }));
        let advice = &mut active_step.advice;
        advice.in_flight.push(InFlightQuestion { helper, workers: named, overdue: false });
        advice.last_asked_at = Some(now);
        advice.helper_wait = None;
    }

    /// Fills a question with unknown workers, unless so many long questions wait that those that
    /// are needed go first. Returns its class, which is that of the filled question in both cases:
    /// otherwise questions made cheaper would queue with the short ones.
    fn fill_or_save(
        &self,
        candidate: &Candidate,
        job: &ActiveJob,
        spec: &StepSpec,
        mut named: Vec<WorkerKey>,
        now: Moment,
    ) -> (QuestionClass, Vec<WorkerKey>) {
        let needed = named.len();
        if self.timing.policy.fill_questions {
            self.fill_question(candidate, job, spec, &mut named, now);
        }
        let cost = job.record.policy.advice.map(|policy| policy.cost(named.len()));
        let class = QuestionClass::of(cost.unwrap_or_default());
        if class == QuestionClass::Long && self.advice_dispatcher.saves_cost() {
            named.truncate(needed);
        }
        (class, named)
    }

    /// The share of workers that is assumed to be allowed to run a step of the queue.
    pub(super) fn allowed_share(&self, queue: &QueueName) -> f64 {
        self.shares.get(queue).copied().unwrap_or_default().share()
    }

    /// Selects workers whose tickets could give the step enough room: first those that may run it,
    /// then those with the most room. Returns the reason if asking would not help.
    fn select_workers(
        &self,
        candidate: &Candidate,
        job: &ActiveJob,
        spec: &StepSpec,
        open: &OpenWorkers,
        now: Moment,
    ) -> Result<Vec<WorkerKey>, StallReason> {
        let waiting = self.waiting_in_group(candidate, job, now);
        let share = self.allowed_share(&job.record.queue);
        let AdvicePlaces { mut candidates, usable, expected: in_flight, expected_max } =
            self.advice_places(candidate, job, spec, open, &waiting, now);
        let unfinished = job.steps[candidate.step].unfinished;
        let needed = waiting.len().saturating_sub(usable);
        let expected = |entry: &QuestionCandidate| {
            entry.places.min(unfinished) as f64 * if entry.unknown { share } else { 1.0 }
        };
        let expected_total: f64 = candidates.iter().map(expected).sum();
        if spec.gang && expected_total + in_flight < needed as f64 {
            let max_places: usize = candidates.iter().map(|entry| entry.places).sum();
            if max_places + expected_max < needed {
                let unknown = candidates.iter().any(|entry| entry.unknown) || expected_max > 0;
                return Err(match unknown {
                    true => StallReason::PartialGangRoom,
                    false => self.no_candidates_reason(candidate, job, spec, now),
                });
            }
            // The share was learned from other steps, and only a question about this one shows
            // whether it holds here: gangs for which too little room was expected stalled for good
            // beside twice the room that they needed. Each worker is asked about once, so this
            // costs one question for each hundred workers.
            candidates.retain(|entry| entry.unknown);
            if candidates.is_empty() {
                return Err(StallReason::TooLittleExpectedRoom);
            }
        }
        candidates.sort_unstable();
        let factor = if spec.gang { GANG_ROOM_FACTOR } else { ROOM_FACTOR };
        let wanted = needed as f64 * factor;
        let mut sum = in_flight;
        let mut named = Vec::new();
        for entry in candidates.into_iter().take(MAX_WORKERS_PER_QUESTION) {
            if sum >= wanted {
                break;
            }
            sum += expected(&entry);
            named.push(entry.key);
        }
        if named.is_empty() {
            return Err(self.no_candidates_reason(candidate, job, spec, now));
        }
        Ok(named)
    }

    /// Returns the number of the worker from which on a job's questions name equal workers, so that
    /// jobs that ask at the same time do not all name the same ones. A lead may know no worker.
    fn naming_offset(&self, job: &ActiveJob) -> usize {
        let worker_count = self.workers.len() as u64;
        job.id.0.checked_rem(worker_count).unwrap_or_default() as usize
    }

    /// Counts the places of a step by what is known of their workers.
    fn advice_places(
        &self,
        candidate: &Candidate,
        job: &ActiveJob,
        spec: &StepSpec,
        open: &OpenWorkers,
        waiting: &[u16],
        now: Moment,
    ) -> AdvicePlaces {
        let share = self.allowed_share(&job.record.queue);
        let advice = &job.steps[candidate.step].advice;
        let displaces = job.record.policy.priority < open.least_urgent
            && !spec.gang
            && self.has_value(candidate, job, now);
        let offset = self.naming_offset(job);
        // Tasks that must run alone cannot use tickets for workers on which other jobs run.
        let min_age = self.required_run_age(job, candidate.step, now);
        let is_alone = split_alone(job, candidate.step, waiting).1.is_empty();
        let preference = self.speed_preference(job, candidate.step, now);
        let mut result = AdvicePlaces::default();
        for key in open.list.iter().copied() {
            let known = advice.known.get(&key);
            let useful = !is_alone || self.workers[key.0].runs_only_older(job.id, min_age, now);
            if matches!(known, Some(None)) || !useful {
                continue;
            }
            let places = match self.room_on(key, candidate, job, spec, now) {
                0 if displaces && self.could_displace_on(key, job, candidate.step, spec, now) => 1,
                places => places,
            };
            if places == 0 {
                continue;
            }
            if advice.is_asked(key) {
                result.expected += places as f64 * if known.is_none() { share } else { 1.0 };
                result.expected_max += places;
                continue;
            }
            match known {
                Some(Some(ticket)) if ticket.until > now.after(self.timing.ticket_margin) => {
                    result.usable += places;
                }
                _ => result.candidates.push(QuestionCandidate {
                    untrusted: self.probes_untrusted(candidate, spec, key),
                    speed: preference.map_or(0, |preference| self.speed_place(preference, key)),
                    unknown: known.is_none(),
                    most_places: Reverse(places),
                    rotation: (key.0 + offset) % self.workers.len(),
                    places,
                    key,
                }),
            }
        }
        result
    }

    /// Returns why no worker is left to ask about.
    pub(super) fn no_candidates_reason(
        &self,
        candidate: &Candidate,
        job: &ActiveJob,
        spec: &StepSpec,
        now: Moment,
    ) -> StallReason {
        let known = &job.steps[candidate.step].advice.known;
        let mut usable = 0;
        let (mut unknown, mut places) = (0, 0);
        for key in (0..self.workers.len()).map(WorkerKey) {
            if !self.could_ever_run(key, job, spec, now) {
                continue;
            }
            usable += 1;
            let fitting = self.workers[key.0].entry.capacity.capacity_for(&spec.need) as usize;
            match known.get(&key) {
                Some(Some(_)) => {
                    places += fitting.min(spec.max_per_worker.map_or(fitting, usize::from))
                }
                Some(None) => {}
                None => unknown += 1,
            }
        }
        let needed = if spec.gang { job.steps[candidate.step].unfinished } else { 1 };
        match usable {
            0 => StallReason::NoRoom,
            _ if unknown == 0 && places < needed => StallReason::NoneAllowed,
            _ => StallReason::NoAllowedRoom,
        }
    }

    /// Adds workers that were never asked about, whether they have room now or not, as long as the
    /// question costs little more.
    fn fill_question(
        &self,
        candidate: &Candidate,
        job: &ActiveJob,
        spec: &StepSpec,
        named: &mut Vec<WorkerKey>,
        now: Moment,
    ) {
        let Some(policy) = job.record.policy.advice else { return };
        let max_cost_ms = policy.cost(named.len()).0 * FILL_COST_PERCENT / 100;
        let advice = &job.steps[candidate.step].advice;
        let known = &advice.known;
        let offset = self.naming_offset(job);
        for number in 0..self.workers.len() {
            if named.len() >= MAX_WORKERS_PER_QUESTION
                || policy.cost(named.len() + 1).0 > max_cost_ms
            {
                return;
            }
            let key = WorkerKey((number + offset) % self.workers.len());
            let new = !known.contains_key(&key) && !advice.is_asked(key) && !named.contains(&key);
            if new && self.could_ever_run(key, job, spec, now) {
                named.push(key);
            }
        }
    }

    /// Whether a worker could run the step once it has room. A worker that has never answered may
    /// not exist.
    fn could_ever_run(
        &self,
        key: WorkerKey,
        job: &ActiveJob,
        spec: &StepSpec,
        now: Moment,
    ) -> bool {
        let worker = &self.workers[key.0];
        let entry = &worker.entry;
        !worker.is_over()
            && worker.fenced
            && !entry.draining
            && worker.is_listed(now, &self.timing)
            && entry.pool == job.record.policy.pool
            && entry.capacity.fits(&spec.need)
            && spec.label.as_ref().is_none_or(|label| entry.labels.contains(label))
    }

    /// Processes an answer of the advice service, or its absence.
    pub fn advice_answered(
        &mut self,
        question: &AdviceQuestion,
        answer: Option<Vec<(WorkerId, Arc<str>)>>,
        valid: TimeSpan,
        now: Moment,
    ) {
        let (helper, step) = (question.helper, question.step);
        let sent = self.advice_dispatcher.finish(helper, step, answer.is_some(), now);
        let allowed = answer.as_ref().map(Vec::len);
        let took = sent.map(|sent| now.since(sent));
        self.events.push(CellEvent::AdviceReceived { step, helper, allowed, took });
        let Some(answer) = answer else {
            // A question that had been given up is already removed.
            if sent.is_some() {
                self.drop_question(helper, step, now);
            }
            return;
        };
        let Some(job) = self.jobs.get_mut(&question.step.job) else { return };
        let Some(step) = job.step_index(&question.step) else { return };
        let advice = &mut job.steps[step].advice;
        // An answer about an id applies to the life that was there when it was asked about.
        let asked = advice.workers_asked(question.helper);
        let key_of = |id: &WorkerId| {
            let newest = self.ids.get(id).copied();
            if newest.is_some_and(|key| asked.contains(&key)) {
                return newest;
            }
            let earlier = asked.iter().find(|key| self.workers[key.0].entry.life.id == *id);
            earlier.copied().or(newest)
        };
        advice.remove_question(question.helper);
        let keys: Vec<WorkerKey> = question.workers.iter().filter_map(&key_of).collect();
        // Workers known to be allowed before say nothing about the share among the others.
        let new: Vec<WorkerKey> =
            keys.iter().copied().filter(|key| !advice.known.contains_key(key)).collect();
        advice.known.extend(keys.into_iter().map(|key| (key, None)));
        let until = now.after(valid);
        for (id, text) in answer {
            if let Some(key) = key_of(&id) {
                advice.known.insert(key, Some(advice::StepTicket { text, until }));
            }
        }
        let allowed =
            new.iter().filter(|key| matches!(advice.known.get(key), Some(Some(_)))).count();
        // After a recheck, the same workers have already been counted.
        if advice.rechecks > 0 {
            return;
        }
        let share = self.shares.entry(job.record.queue.clone()).or_default();
        share.learn(allowed, new.len());
    }

    /// Notes that the answer to a question is overdue.
    pub(super) fn mark_question_overdue(&mut self, helper: HelperId, step: StepId) {
        self.events.push(CellEvent::AdviceOverdue { step, helper });
        let Some(job) = self.jobs.get_mut(&step.job) else { return };
        let Some(index) = job.step_index(&step) else { return };
        job.steps[index].advice.mark_overdue(helper);
    }

    pub(super) fn drop_question(&mut self, helper: HelperId, step: StepId, now: Moment) {
        let Some(job) = self.jobs.get_mut(&step.job) else { return };
        let Some(index) = job.step_index(&step) else { return };
        let advice = &mut job.steps[index].advice;
        advice.remove_question(helper);
        advice.retry_at = now.after(ASK_BACKOFF);
    }
}
