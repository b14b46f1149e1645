//! Which workers a question to the advice service names.
//!
//! Which workers are good for a step never changes, while tickets end. So a question names those whose
//! tickets could give the step room now, and then, as long as that costs little more time, workers that
//! were never asked about: later questions can do without them.

use std::cmp::Reverse;
use std::sync::Arc;

use sedgehill_core::units::{Moment, TimeSpan};

use super::advice::AskedWorkers;
use super::desk::AskerKind;
use super::isolation::split_alone;
use super::room::{Candidate, OpenWorkers};
use super::*;
use crate::ids::StepId;
use crate::job::StepSpec;

/// Workers named in one question, at the most, as the advice service allows.
pub(super) const NAMED_MOST: usize = 100;
/// Room to ask for, as a multiple of what the step needs: others take some of it meanwhile.
const ROOM_FACTOR: f64 = 1.6;
/// The same for gangs, which need all of it at once: what is missing costs another question.
const GANG_ROOM_FACTOR: f64 = 3.0;
/// A question is filled up with unknown workers while it costs at most this many hundredths of what it
/// costs without them.
const FILL_COST_PERCENT: u64 = 150;
/// Questions for one gang at once: one names some thirty good workers at the most, each with room for one to
/// three members, and a wide gang needs more before the first tickets end.
const GANG_QUESTIONS: usize = 3;
/// Questions for a step at once that has long-running tasks which lost their run.
const RESTART_QUESTIONS: usize = 2;
/// How long a question that failed is not repeated.
const ASK_BACKOFF: TimeSpan = TimeSpan(60);

/// Room on a worker that a question could name. The order is that in which workers are named.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RoomToName {
    /// The worker did badly, and the step would try it again.
    tried: bool,
    /// It was never asked about.
    unknown: bool,
    fullest: Reverse<usize>,
    turn: usize,
    /// Tasks that it has room for.
    places: usize,
    key: WorkerKey,
}

/// The room that tickets could open to a step.
#[derive(Debug, Default)]
struct AdviceRooms {
    rooms: Vec<RoomToName>,
    /// Places on workers with tickets.
    usable: usize,
    /// Places that questions under way are expected to open, and the most that they may.
    asked: f64,
    /// See above.
    asked_most: usize,
}

impl Scheduler {
    /// Asks which workers may run a step, if there is room that an answer could open. Returns what the step waits
    /// for.
    pub(super) fn ask_advice(
        &mut self,
        candidate: &Candidate,
        spec: &StepSpec,
        open: &OpenWorkers,
        now: Moment,
    ) -> StallReason {
        let Some(job) = self.jobs.get(&candidate.job) else { return StallReason::NoRoom };
        let room = if spec.gang { StallReason::GangRoom } else { StallReason::NoRoom };
        let Some(policy) = job.record.policy.advice else { return room };
        let advice = &job.steps[candidate.step].advice;
        let at_once = match spec.gang {
            true => GANG_QUESTIONS,
            // One for tasks that never ran may be under way.
            false if candidate.restarts => RESTART_QUESTIONS,
            false => 1,
        };
        if advice.expected_answers() >= at_once {
            return StallReason::Asking;
        }
        if now < advice.not_before {
            return StallReason::AskedLately;
        }
        // Which workers to name takes far longer to find than whether anybody could ask.
        let asker = match candidate.restarts || self.unasked == Some(*candidate) {
            true => AskerKind::Pressing,
            false => AskerKind::Usual,
        };
        if self.desk.free_helper(policy.cost(1), asker, now).is_none() {
            return StallReason::NoHelper;
        }
        let named = match candidate.restarts && !spec.gang {
            true => self.restart_names(candidate, job, spec, now),
            false => self.workers_to_name(candidate, job, spec, open, now),
        };
        let named = match named {
            Ok(named) => named,
            Err(_) if !advice.asking.is_empty() => return StallReason::Asking,
            Err(reason) => {
                if reason == StallReason::NobodyGood
                    && let Some(job) = self.jobs.get_mut(&candidate.job)
                {
                    job.steps[candidate.step].advice.doubt_others(now);
                }
                return reason;
            }
        };
        let cost = policy.cost(named.len());
        let Some(helper) = self.desk.free_helper(cost, asker, now) else {
            return StallReason::NoHelper;
        };
        let step = job.steps[candidate.step].id;
        self.desk.begin(helper, step, cost, now);
        self.unasked.take_if(|unasked| *unasked == *candidate);
        self.events.push(CellEvent::Asked { step, named: named.len(), helper });
        let ids = named.iter().map(|key| self.workers[key.0].entry.life.id.clone()).collect();
        self.orders.push(CellOrder::Ask(AdviceQuestion { helper, step, workers: ids }));
        if let Some(job) = self.jobs.get_mut(&candidate.job) {
            let asked = AskedWorkers { helper, workers: named, late: false };
            let advice = &mut job.steps[candidate.step].advice;
            advice.asking.push(asked);
            advice.asked = Some(now);
        }
        StallReason::Asking
    }

    /// What share of the workers is taken as good for a step of a queue that was not asked about.
    pub(super) fn share_of(&self, queue: &QueueName) -> f64 {
        self.shares.get(queue).copied().unwrap_or_default().share()
    }

    /// The workers whose tickets could give the step enough room: those known as good first, then
    /// those with the most room. Otherwise why it would be of no use to ask.
    fn workers_to_name(
        &self,
        candidate: &Candidate,
        job: &JobWork,
        spec: &StepSpec,
        open: &OpenWorkers,
        now: Moment,
    ) -> Result<Vec<WorkerKey>, StallReason> {
        let waiting = self.waiting_of(candidate, job, now);
        let share = self.share_of(&job.record.queue);
        let AdviceRooms { mut rooms, usable, asked, asked_most } =
            self.advice_rooms(candidate, job, spec, open, &waiting, now);
        let left = job.steps[candidate.step].left;
        let needed = waiting.len().saturating_sub(usable);
        let expected = |room: &RoomToName| {
            room.places.min(left) as f64 * if room.unknown { share } else { 1.0 }
        };
        let whole: f64 = rooms.iter().map(expected).sum();
        if spec.gang && whole + asked < needed as f64 {
            let most: usize = rooms.iter().map(|room| room.places).sum();
            if most + asked_most < needed {
                let unknown = rooms.iter().any(|room| room.unknown) || asked_most > 0;
                return Err(match unknown {
                    true => StallReason::GangRoom,
                    false => self.lack_of_names(candidate, job, spec, now),
                });
            }
            // The share is that of other steps, and nothing but a question about this one tells whether it holds
            // here: gangs for which it expected too little stood to the end beside room for them twice over. Each
            // worker is asked about once, so it costs the step one question for each hundred workers.
            rooms.retain(|room| room.unknown);
            if rooms.is_empty() {
                return Err(StallReason::ExpectedRoom);
            }
        }
        rooms.sort_unstable();
        let factor = if spec.gang { GANG_ROOM_FACTOR } else { ROOM_FACTOR };
        let wanted = needed as f64 * factor;
        let mut sum = asked;
        let mut named = Vec::new();
        for room in rooms.into_iter().take(NAMED_MOST) {
            if sum >= wanted {
                break;
            }
            sum += expected(&room);
            named.push(room.key);
        }
        if named.is_empty() {
            return Err(self.lack_of_names(candidate, job, spec, now));
        }
        if self.timing.policy.fill_questions {
            self.fill_question(candidate, job, spec, &mut named, now);
        }
        Ok(named)
    }

    /// The room that tickets could open to a step.
    fn advice_rooms(
        &self,
        candidate: &Candidate,
        job: &JobWork,
        spec: &StepSpec,
        open: &OpenWorkers,
        waiting: &[u16],
        now: Moment,
    ) -> AdviceRooms {
        let share = self.share_of(&job.record.queue);
        let advice = &job.steps[candidate.step].advice;
        let displaces = job.record.policy.priority < open.least_urgent
            && !spec.gang
            && self.earns(candidate, job, now);
        // Steps that ask at the same moment should not all name the same of many like workers.
        let turn = (job.id.0 % self.workers.len() as u64) as usize;
        // Tickets for workers on which others run are of no use to tasks that want one of their own.
        let is_alone = split_alone(job, candidate.step, waiting).1.is_empty();
        let mut sight = AdviceRooms::default();
        for key in open.list.iter().copied() {
            let known = advice.known.get(&key);
            let of_use = !is_alone || self.workers[key.0].is_clear_for(job.id, now);
            if matches!(known, Some(None)) || !of_use {
                continue;
            }
            let places = match self.room_on(key, job, candidate.step, spec, now) {
                0 if displaces && self.could_displace_on(key, job, candidate.step, spec, now) => 1,
                places => places,
            };
            if places == 0 {
                continue;
            }
            if advice.is_asked(key) {
                sight.asked += places as f64 * if known.is_none() { share } else { 1.0 };
                sight.asked_most += places;
                continue;
            }
            match known {
                Some(Some(ticket)) if ticket.until > now.after(self.timing.ticket_margin) => {
                    sight.usable += places;
                }
                _ => sight.rooms.push(RoomToName {
                    tried: self.is_tried_by(spec, key),
                    unknown: known.is_none(),
                    fullest: Reverse(places),
                    turn: (key.0 + turn) % self.workers.len(),
                    places,
                    key,
                }),
            }
        }
        sight
    }

    /// Why there is nobody to ask about.
    pub(super) fn lack_of_names(
        &self,
        candidate: &Candidate,
        job: &JobWork,
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
            let whole = self.workers[key.0].entry.capacity.capacity_for(&spec.need) as usize;
            match known.get(&key) {
                Some(Some(_)) => {
                    places += whole.min(spec.max_per_worker.map_or(whole, usize::from))
                }
                Some(None) => {}
                None => unknown += 1,
            }
        }
        let needed = if spec.gang { job.steps[candidate.step].left } else { 1 };
        match usable {
            0 => StallReason::NoRoom,
            _ if unknown == 0 && places < needed => StallReason::NobodyGood,
            _ => StallReason::KnownRoom,
        }
    }

    /// Adds workers that were never asked about, whether they have room now or not, as long as the
    /// question costs little more than it does anyway.
    fn fill_question(
        &self,
        candidate: &Candidate,
        job: &JobWork,
        spec: &StepSpec,
        named: &mut Vec<WorkerKey>,
        now: Moment,
    ) {
        let Some(policy) = job.record.policy.advice else { return };
        let most = policy.cost(named.len()).0 * FILL_COST_PERCENT / 100;
        let advice = &job.steps[candidate.step].advice;
        let known = &advice.known;
        let turn = (job.id.0 % self.workers.len() as u64) as usize;
        for number in 0..self.workers.len() {
            if named.len() >= NAMED_MOST || policy.cost(named.len() + 1).0 > most {
                return;
            }
            let key = WorkerKey((number + turn) % self.workers.len());
            let new = !known.contains_key(&key) && !advice.is_asked(key) && !named.contains(&key);
            if new && self.could_ever_run(key, job, spec, now) {
                named.push(key);
            }
        }
    }

    /// Whether a worker might run the step once it has room. What never answered may be no worker.
    fn could_ever_run(&self, key: WorkerKey, job: &JobWork, spec: &StepSpec, now: Moment) -> bool {
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

    /// Takes in an answer of the advice service, or that there is none.
    pub fn advice_answered(
        &mut self,
        question: &AdviceQuestion,
        answer: Option<Vec<(WorkerId, Arc<str>)>>,
        valid: TimeSpan,
        now: Moment,
    ) {
        let (helper, step) = (question.helper, question.step);
        let sent = self.desk.finish(helper, step, answer.is_some(), now);
        let good = answer.as_ref().map(Vec::len);
        let took = sent.map(|sent| now.since(sent));
        self.events.push(CellEvent::Advised { step, helper, good, took });
        let Some(answer) = answer else {
            // Of a question that was given up before, nothing is left to forget.
            if sent.is_some() {
                self.forget_question(helper, step, now);
            }
            return;
        };
        let Some(job) = self.jobs.get_mut(&question.step.job) else { return };
        let Some(step) = job.step_index(&question.step) else { return };
        let advice = &mut job.steps[step].advice;
        // What is said of an id is of the life that was there when it was asked about.
        let asked = advice.asked_of(question.helper);
        let key_of = |id: &WorkerId| {
            let newest = self.ids.get(id).copied();
            if newest.is_some_and(|key| asked.contains(&key)) {
                return newest;
            }
            let earlier = asked.iter().find(|key| self.workers[key.0].entry.life.id == *id);
            earlier.copied().or(newest)
        };
        advice.forget_asked(question.helper);
        let keys: Vec<WorkerKey> = question.workers.iter().filter_map(&key_of).collect();
        // Workers that were known as good before tell nothing about the others.
        let new: Vec<WorkerKey> =
            keys.iter().copied().filter(|key| !advice.known.contains_key(key)).collect();
        advice.known.extend(keys.into_iter().map(|key| (key, None)));
        let until = now.after(valid);
        for (id, text) in answer {
            if let Some(key) = key_of(&id) {
                advice.known.insert(key, Some(advice::StepTicket { text, until }));
            }
        }
        let good = new.iter().filter(|key| matches!(advice.known.get(key), Some(Some(_)))).count();
        // Of answers that were doubted the same was learned before.
        if advice.doubts > 0 {
            return;
        }
        let share = self.shares.entry(job.record.queue.clone()).or_default();
        share.learn(good, new.len());
    }

    /// The answer to a question is overdue.
    pub(super) fn note_overdue(&mut self, helper: HelperId, step: StepId) {
        self.events.push(CellEvent::AdviceOverdue { step, helper });
        let Some(job) = self.jobs.get_mut(&step.job) else { return };
        let Some(index) = job.step_index(&step) else { return };
        job.steps[index].advice.note_late(helper);
    }

    pub(super) fn forget_question(&mut self, helper: HelperId, step: StepId, now: Moment) {
        let Some(job) = self.jobs.get_mut(&step.job) else { return };
        let Some(index) = job.step_index(&step) else { return };
        let advice = &mut job.steps[index].advice;
        advice.forget_asked(helper);
        advice.not_before = now.after(ASK_BACKOFF);
    }
}
