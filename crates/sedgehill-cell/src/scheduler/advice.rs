//! Who may run a step: what the advice service said.

use std::collections::HashMap;
use std::sync::Arc;

use sedgehill_core::units::{Moment, TimeSpan};

use super::message::{HelperId, WorkerKey};

/// Answers that leave too few workers for a step are doubted after so long, and after twice as long each further time ...
const RECHECK_DELAY: TimeSpan = TimeSpan(500);
/// ... up to so many doublings: a step that truly has too few costs a question each 16 s.
const MAX_RECHECK_DOUBLINGS: u32 = 5;

/// A ticket for one worker.
#[derive(Debug, Clone)]
pub struct StepTicket {
    /// What a start brings.
    pub text: Arc<str>,
    /// When it ends at the latest.
    pub until: Moment,
}

/// A question under way.
#[derive(Debug)]
pub struct InFlightQuestion {
    /// The box that asks.
    pub helper: HelperId,
    /// The workers that it names.
    pub workers: Vec<WorkerKey>,
    /// The answer is overdue: the same may be asked by way of another box.
    pub overdue: bool,
}

/// What is known of one step. Which workers are good never changes; tickets end.
#[derive(Debug, Default)]
pub struct StepAdvice {
    /// Workers that were asked about, with the ticket of those that may run the step.
    pub known: HashMap<WorkerKey, Option<StepTicket>>,
    /// Questions under way.
    pub in_flight: Vec<InFlightQuestion>,
    /// No question before then.
    pub retry_at: Moment,
    /// When the last question was sent.
    pub last_asked_at: Option<Moment>,
    /// How often it was doubted that the others are not good, and when it may be the next time.
    pub rechecks: u32,
    /// See above.
    pub recheck_at: Moment,
}

impl StepAdvice {
    /// The ticket for a worker, if it is valid for at least `margin`.
    pub fn ticket(&self, key: WorkerKey, now: Moment, margin: TimeSpan) -> Option<&StepTicket> {
        let ticket = self.known.get(&key)?.as_ref()?;
        (ticket.until > now.after(margin)).then_some(ticket)
    }

    /// Whether a question under way names a worker, and its answer can be expected.
    pub fn is_asked(&self, key: WorkerKey) -> bool {
        self.in_flight.iter().any(|question| !question.overdue && question.workers.contains(&key))
    }

    /// Questions under way whose answers can be expected.
    pub fn expected_answers(&self) -> usize {
        self.in_flight.iter().filter(|question| !question.overdue).count()
    }

    /// The answer to the question of a box is overdue.
    pub fn mark_overdue(&mut self, helper: HelperId) {
        let questions = self.in_flight.iter_mut().filter(|question| question.helper == helper);
        questions.for_each(|question| question.overdue = true);
    }

    /// Nobody may run the step, or too few, by what was answered. That does not change, so an answer may have been wrong:
    /// those that are not good are asked about again, the first time soon, and ever more rarely, since a step may
    /// truly have too few. A step for which a service that was not itself named nobody once stood to the end.
    pub fn recheck_rejected(&mut self, now: Moment) {
        if now < self.recheck_at {
            return;
        }
        if self.recheck_at != Moment(0) {
            self.known.retain(|_, ticket| ticket.is_some());
            self.rechecks += 1;
        }
        let pause = TimeSpan(RECHECK_DELAY.0 << self.rechecks.min(MAX_RECHECK_DOUBLINGS));
        self.recheck_at = now.after(pause);
    }

    /// The workers that the question of a box names; none if it was given up.
    pub fn workers_asked(&self, helper: HelperId) -> Vec<WorkerKey> {
        let question = self.in_flight.iter().find(|question| question.helper == helper);
        question.map(|question| question.workers.clone()).unwrap_or_default()
    }

    /// The question of a box is not under way any more.
    pub fn remove_question(&mut self, helper: HelperId) {
        self.in_flight.retain(|question| question.helper != helper);
    }

    /// The workers with a ticket that is valid for at least `margin`.
    pub fn ticketed(&self, now: Moment, margin: TimeSpan) -> impl Iterator<Item = WorkerKey> {
        let min_until = now.after(margin);
        let valid = move |ticket: &StepTicket| ticket.until > min_until;
        self.known
            .iter()
            .filter(move |(_, ticket)| ticket.as_ref().is_some_and(valid))
            .map(|(key, _)| *key)
    }
}

/// What share of the workers is good for the steps of a queue, learned from answers.
#[derive(Debug, Clone, Copy)]
pub struct AllowedShare {
    allowed: f64,
    named: f64,
}

/// Weight of the guess before any answer, in workers.
const INITIAL_WEIGHT: f64 = 20.0;
/// The guess before any answer.
const INITIAL_SHARE: f64 = 0.5;

impl Default for AllowedShare {
    fn default() -> AllowedShare {
        AllowedShare { allowed: INITIAL_SHARE * INITIAL_WEIGHT, named: INITIAL_WEIGHT }
    }
}

impl AllowedShare {
    /// The share, between 0 and 1.
    pub fn share(&self) -> f64 {
        self.allowed / self.named
    }

    /// Learns from an answer.
    pub fn learn(&mut self, allowed: usize, named: usize) {
        self.allowed += allowed as f64;
        self.named += named as f64;
    }
}
