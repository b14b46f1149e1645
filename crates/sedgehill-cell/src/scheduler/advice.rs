//! The advice service's answers for a step: which workers may run it.

use std::collections::HashMap;
use std::sync::Arc;

use sedgehill_core::units::{Moment, TimeSpan};

use super::message::{HelperId, WorkerKey};
use super::question_round::HelperWait;

/// When too few workers may run a step, rejected workers are asked about again after this time, and
/// after twice the time with each further repetition, up to [`MAX_RECHECK_DOUBLINGS`].
const RECHECK_DELAY: TimeSpan = TimeSpan(500);
/// Most doublings of [`RECHECK_DELAY`]. With 5, a step that really has too few workers costs one
/// question every 16 s.
const MAX_RECHECK_DOUBLINGS: u32 = 5;

/// Permission to run a step on one worker.
#[derive(Debug, Clone)]
pub struct StepTicket {
    /// The text that a start order carries.
    pub text: Arc<str>,
    /// When the ticket expires at the latest.
    pub until: Moment,
}

/// A question in flight.
#[derive(Debug)]
pub struct InFlightQuestion {
    /// The box that asks.
    pub helper: HelperId,
    /// The workers that it names.
    pub workers: Vec<WorkerKey>,
    /// The answer is overdue, so the question may be asked again through another box.
    pub overdue: bool,
}

/// What is known of one step. Whether a worker may run it never changes, but tickets expire.
#[derive(Debug, Default)]
pub struct StepAdvice {
    /// Workers that were asked about, with the tickets of those that may run the step.
    pub known: HashMap<WorkerKey, Option<StepTicket>>,
    /// Questions in flight.
    pub in_flight: Vec<InFlightQuestion>,
    /// No question is asked before this moment.
    pub retry_at: Moment,
    /// When the last question was sent; none if there was none.
    pub last_asked_at: Option<Moment>,
    /// Set while the step finds no box to ask.
    pub(super) helper_wait: Option<HelperWait>,
    /// How often rejected workers have been asked about again.
    pub rechecks: u32,
    /// When they may be asked about again; 0 until too few workers are found for the first time.
    pub recheck_at: Moment,
}

impl StepAdvice {
    /// Returns the ticket for a worker if it is valid for at least `margin`.
    pub fn ticket(&self, key: WorkerKey, now: Moment, margin: TimeSpan) -> Option<&StepTicket> {
        let ticket = self.known.get(&key)?.as_ref()?;
        (ticket.until > now.after(margin)).then_some(ticket)
    }

    /// Whether a question in flight that is not overdue names the worker.
    pub fn is_asked(&self, key: WorkerKey) -> bool {
        self.in_flight.iter().any(|question| !question.overdue && question.workers.contains(&key))
    }

    /// The number of questions in flight that are not overdue.
    pub fn expected_answers(&self) -> usize {
        self.in_flight.iter().filter(|question| !question.overdue).count()
    }

    /// Marks the question of a box as overdue.
    pub fn mark_overdue(&mut self, helper: HelperId) {
        let questions = self.in_flight.iter_mut().filter(|question| question.helper == helper);
        questions.for_each(|question| question.overdue = true);
    }

    /// Forgets which workers were rejected, at growing intervals, so that they are asked about
    /// again. Called when too few workers may run the step by the answers so far. Which workers may
    /// run it does not change, so such an answer may have been wrong: without rechecks, a step
    /// stalled for good because the service, in a fault, had named no worker. The intervals grow
    /// because a step may really have too few workers.
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

    /// Removes the question of a box, which is no longer in flight.
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

/// The share of workers that may run the steps of a queue, learned from answers.
#[derive(Debug, Clone, Copy)]
pub struct AllowedShare {
    allowed: f64,
    named: f64,
}

/// Weight of the initial share, in workers.
const INITIAL_WEIGHT: f64 = 20.0;
/// The share that is assumed before any answer.
const INITIAL_SHARE: f64 = 0.5;

impl Default for AllowedShare {
    fn default() -> AllowedShare {
        AllowedShare { allowed: INITIAL_SHARE * INITIAL_WEIGHT, named: INITIAL_WEIGHT }
    }
}

impl AllowedShare {
    /// Returns the share, between 0 and 1.
    pub fn share(&self) -> f64 {
        self.allowed / self.named
    }

    /// Adds an answer by which `allowed` of `named` workers may run a step.
    pub fn learn(&mut self, allowed: usize, named: usize) {
        self.allowed += allowed as f64;
        self.named += named as f64;
    }
}
