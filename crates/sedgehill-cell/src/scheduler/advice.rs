//! Who may run a step: what the advice service said, and which box asks it next.
//!
//! The service answers one question at a time for each box that asks, and a question takes long for
//! some queues. The lead therefore spreads its questions over all boxes, keeps the order of the
//! questions itself, and keeps some boxes free of long questions so that short ones never wait.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use sedgehill_core::units::{Moment, TimeSpan};

use super::message::{HelperId, WorkerKey};
use crate::ids::StepId;

/// Questions that take at least this long go only to some boxes. Between the middle and the heavy
/// queues of the users' sites, of 60 and 700 ms.
const LONG_QUESTION: TimeSpan = TimeSpan(200);
/// One box in this many is kept free of long questions.
const SHORT_ONLY_SHARE: usize = 3;
/// Short questions under way for one box: the second travels while the first is answered.
const SHORT_AT_ONCE: usize = 2;
/// A question without an answer is given up after this many times its cost ...
const PATIENCE_FACTOR: u64 = 3;
/// ... and this time.
const PATIENCE: TimeSpan = TimeSpan(1_500);

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
}

impl StepAdvice {
    /// The ticket for a worker, if it is valid for at least `margin`.
    pub fn ticket(&self, key: WorkerKey, now: Moment, margin: TimeSpan) -> Option<&StepTicket> {
        let ticket = self.known.get(&key)?.as_ref()?;
        (ticket.until > now.after(margin)).then_some(ticket)
    }

    /// Whether a question under way names a worker.
    pub fn is_asked(&self, key: WorkerKey) -> bool {
        self.asking.iter().any(|asked| asked.workers.contains(&key))
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

#[derive(Debug)]
struct OpenQuestion {
    step: StepId,
    cost: TimeSpan,
    sent: Moment,
}

/// Spreads questions over the boxes that can ask.
#[derive(Debug)]
pub struct AdviceDesk {
    helpers: BTreeMap<HelperId, Vec<OpenQuestion>>,
    keeps_short: bool,
}

impl AdviceDesk {
    /// A desk without boxes. `keeps_short` says whether some of them are kept free of long questions.
    pub fn new(keeps_short: bool) -> AdviceDesk {
        AdviceDesk { helpers: BTreeMap::new(), keeps_short }
    }

    /// A box can ask from now on.
    pub fn add_helper(&mut self, helper: HelperId) {
        self.helpers.entry(helper).or_default();
    }

    /// A box cannot ask any more. Returns the steps that it was asking about.
    pub fn remove_helper(&mut self, helper: HelperId) -> Vec<StepId> {
        let open = self.helpers.remove(&helper).unwrap_or_default();
        open.into_iter().map(|question| question.step).collect()
    }

    /// The box that should ask a question of this cost now, if one is free for it.
    pub fn free_helper(&self, cost: TimeSpan) -> Option<HelperId> {
        let count = self.helpers.len();
        let short_only = match count {
            0 | 1 => 0,
            _ if !self.keeps_short => 0,
            _ => (count / SHORT_ONLY_SHARE).max(1),
        };
        let is_long = |question: &OpenQuestion| question.cost >= LONG_QUESTION;
        if cost >= LONG_QUESTION {
            let long = self.helpers.iter().skip(short_only);
            return long.filter(|(_, open)| open.is_empty()).map(|(helper, _)| *helper).next_back();
        }
        self.helpers
            .iter()
            .filter(|(_, open)| {
                open.len() < SHORT_AT_ONCE && (count == 1 || !open.iter().any(is_long))
            })
            .min_by_key(|(_, open)| open.iter().map(|question| question.cost.0).sum::<u64>())
            .map(|(helper, _)| *helper)
    }

    /// Notes that a box asks.
    pub fn begin(&mut self, helper: HelperId, step: StepId, cost: TimeSpan, now: Moment) {
        let open = self.helpers.entry(helper).or_default();
        open.push(OpenQuestion { step, cost, sent: now });
    }

    /// Notes that a question was answered, or failed. Returns when it was asked.
    pub fn finish(&mut self, helper: HelperId, step: StepId) -> Option<Moment> {
        let open = self.helpers.get_mut(&helper)?;
        let place = open.iter().position(|question| question.step == step)?;
        Some(open.remove(place).sent)
    }

    /// Removes questions that were not answered in time. Returns who asked, and about which step.
    pub fn expire(&mut self, now: Moment) -> Vec<(HelperId, StepId)> {
        let mut expired = Vec::new();
        for (helper, open) in &mut self.helpers {
            open.retain(|question| {
                let patience = TimeSpan(question.cost.0 * PATIENCE_FACTOR + PATIENCE.0);
                let keep = now < question.sent.after(patience);
                if !keep {
                    expired.push((*helper, question.step));
                }
                keep
            });
        }
        expired
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
