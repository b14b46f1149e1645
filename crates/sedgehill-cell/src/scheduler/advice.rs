//! Who may run a step: what the advice service said.

use std::collections::HashMap;
use std::sync::Arc;

use sedgehill_core::units::{Moment, TimeSpan};

use super::message::{HelperId, WorkerKey};

/// Answers that leave too few workers for a step are doubted after so long, and after twice as long each further time ...
const DOUBT_AFTER: TimeSpan = TimeSpan(500);
/// ... up to so many doublings: a step that truly has too few costs a question each 16 s.
const DOUBT_DOUBLINGS: u32 = 5;

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
pub struct AskedWorkers {
    /// The box that asks.
    pub helper: HelperId,
    /// The workers that it names.
    pub workers: Vec<WorkerKey>,
    /// The answer is overdue: the same may be asked by way of another box.
    pub late: bool,
}

/// What is known of one step. Which workers are good never changes; tickets end.
#[derive(Debug, Default)]
pub struct StepAdvice {
    /// Workers that were asked about, with the ticket of those that may run the step.
    pub known: HashMap<WorkerKey, Option<StepTicket>>,
    /// Questions under way.
    pub asking: Vec<AskedWorkers>,
    /// No question before then.
    pub not_before: Moment,
    /// When the last question was sent.
    pub asked: Option<Moment>,
    /// How often it was doubted that the others are not good, and when it may be the next time.
    pub doubts: u32,
    /// See above.
    pub doubt_from: Moment,
}

impl StepAdvice {
    /// The ticket for a worker, if it is valid for at least `margin`.
    pub fn ticket(&self, key: WorkerKey, now: Moment, margin: TimeSpan) -> Option<&StepTicket> {
        let ticket = self.known.get(&key)?.as_ref()?;
        (ticket.until > now.after(margin)).then_some(ticket)
    }

    /// Whether a question under way names a worker, and its answer can be expected.
    pub fn is_asked(&self, key: WorkerKey) -> bool {
        self.asking.iter().any(|asked| !asked.late && asked.workers.contains(&key))
    }

    /// Questions under way whose answers can be expected.
    pub fn expected_answers(&self) -> usize {
        self.asking.iter().filter(|asked| !asked.late).count()
    }

    /// The answer to the question of a box is overdue.
    pub fn note_late(&mut self, helper: HelperId) {
        let asked = self.asking.iter_mut().filter(|asked| asked.helper == helper);
        asked.for_each(|asked| asked.late = true);
    }

    /// Nobody may run the step, or too few, by what was answered. That does not change, so an answer may have been wrong:
    /// those that are not good are asked about again, the first time soon, and ever more rarely, since a step may
    /// truly have too few. A step for which a service that was not itself named nobody once stood to the end.
    pub fn doubt_others(&mut self, now: Moment) {
        if now < self.doubt_from {
            return;
        }
        if self.doubt_from != Moment(0) {
            self.known.retain(|_, ticket| ticket.is_some());
            self.doubts += 1;
        }
        let pause = TimeSpan(DOUBT_AFTER.0 << self.doubts.min(DOUBT_DOUBLINGS));
        self.doubt_from = now.after(pause);
    }

    /// The workers that the question of a box names; none if it was given up.
    pub fn asked_of(&self, helper: HelperId) -> Vec<WorkerKey> {
        let asked = self.asking.iter().find(|asked| asked.helper == helper);
        asked.map(|asked| asked.workers.clone()).unwrap_or_default()
    }

    /// The question of a box is not under way any more.
    pub fn forget_asked(&mut self, helper: HelperId) {
        self.asking.retain(|asked| asked.helper != helper);
    }

    /// The workers with a ticket that is valid for at least `margin`.
    pub fn ticketed(&self, now: Moment, margin: TimeSpan) -> impl Iterator<Item = WorkerKey> {
        let least = now.after(margin);
        let valid = move |ticket: &StepTicket| ticket.until > least;
        self.known
            .iter()
            .filter(move |(_, ticket)| ticket.as_ref().is_some_and(valid))
            .map(|(key, _)| *key)
    }
}

/// What share of the workers is good for the steps of a queue, learned from answers.
#[derive(Debug, Clone, Copy)]
pub struct GoodShare {
    good: f64,
    named: f64,
}

/// Weight of the guess before any answer, in workers.
const GUESS_WEIGHT: f64 = 20.0;
/// The guess before any answer.
const GUESS: f64 = 0.5;

impl Default for GoodShare {
    fn default() -> GoodShare {
        GoodShare { good: GUESS * GUESS_WEIGHT, named: GUESS_WEIGHT }
    }
}

impl GoodShare {
    /// The share, between 0 and 1.
    pub fn share(&self) -> f64 {
        self.good / self.named
    }

    /// Learns from an answer.
    pub fn learn(&mut self, good: usize, named: usize) {
        self.good += good as f64;
        self.named += named as f64;
    }
}
