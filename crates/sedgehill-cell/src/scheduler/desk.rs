//! Which box asks the advice service next.
//!
//! The service answers one question at a time for each box that asks, and a question takes long for
//! some queues. The lead therefore spreads its questions over all boxes, keeps the order of the
//! questions itself, and keeps some boxes free of long questions so that short ones never wait.
//!
//! A box that cannot reach the service fails each question at once and is free again: it drew every question of a step
//! to itself, 125 of 126. One that never answers held a step up for as long as questions went there. So boxes are known
//! by what their questions did: those that fail rest and come last, and what is overdue is asked elsewhere.

use std::collections::BTreeMap;

use sedgehill_core::units::{Moment, TimeSpan};

use super::message::HelperId;
use crate::ids::StepId;
use crate::timeout::ResendBudget;

/// Questions that take at least this long go only to some boxes.
const LONG_QUESTION: TimeSpan = TimeSpan(200);
/// One box in this many is kept free of long questions.
const SHORT_ONLY_SHARE: usize = 3;
/// Of those, one in this many, but one at least, asks long questions about steps that were not asked about for long.
const LENT_ONE_IN: usize = 2;
/// Short questions under way for one box: the second travels while the first is answered.
const SHORT_AT_ONCE: usize = 2;
/// A question is overdue after this many hundredths of what it and those before it cost ...
const OVERDUE_PERCENT: u64 = 150;
/// ... and this time: a box that stands still for a moment, and the way there and back.
const OVERDUE_SLACK: TimeSpan = TimeSpan(300);
/// A question without an answer is given up after this many times its cost ...
const PATIENCE_FACTOR: u64 = 3;
/// ... and this time. Its answer is used all the same.
const PATIENCE: TimeSpan = TimeSpan(1_500);
/// A box whose question failed asks nothing for so long, and twice as long with each further failure ...
const REST: TimeSpan = TimeSpan(250);
/// ... up to this: the service may be well again at any time, and no other box may be left.
const REST_MOST: TimeSpan = TimeSpan(2_000);

/// For what kind of step a box is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AskerKind {
    /// Any.
    Usual,
    /// One that is asked about before all others: it was not asked about for long, or lost its run.
    Pressing,
}

#[derive(Debug)]
struct OpenQuestion {
    step: StepId,
    cost: TimeSpan,
    sent: Moment,
    overdue_at: Moment,
    overdue: bool,
}

impl OpenQuestion {
    fn is_long(&self) -> bool {
        self.cost >= LONG_QUESTION
    }

    /// Whether it is given up.
    fn is_over(&self, now: Moment) -> bool {
        let patience = TimeSpan(self.cost.0 * PATIENCE_FACTOR + PATIENCE.0);
        now >= self.sent.after(patience)
    }
}

/// A box that asks.
#[derive(Debug, Default)]
struct AskingBox {
    open: Vec<OpenQuestion>,
    /// Questions in a row without an answer.
    failures: u32,
    /// It asks nothing before then.
    rests_until: Moment,
}

impl AskingBox {
    /// Whether it can take a question now. Behind one that is overdue a further one would wait.
    fn can_ask(&self, now: Moment) -> bool {
        now >= self.rests_until && !self.open.iter().any(|question| question.overdue)
    }

    fn note_failure(&mut self, now: Moment) {
        let rest = TimeSpan(REST.0 << self.failures.min(8)).min(REST_MOST);
        self.rests_until = now.after(rest);
        self.failures += 1;
    }

    fn queued(&self) -> u64 {
        self.open.iter().map(|question| question.cost.0).sum()
    }
}

/// Spreads questions over the boxes that can ask.
#[derive(Debug)]
pub struct AdviceDesk {
    helpers: BTreeMap<HelperId, AskingBox>,
    keeps_short: bool,
    /// How many questions may be asked a second time while the first is overdue.
    repeats: ResendBudget,
}

impl AdviceDesk {
    /// A desk without boxes. `keeps_short` says whether some of them are kept free of long questions.
    pub fn new(keeps_short: bool) -> AdviceDesk {
        AdviceDesk { helpers: BTreeMap::new(), keeps_short, repeats: ResendBudget::default() }
    }

    /// A box can ask from now on.
    pub fn add_helper(&mut self, helper: HelperId) {
        self.helpers.entry(helper).or_default();
    }

    /// A box cannot ask any more. Returns the steps that it was asking about.
    pub fn remove_helper(&mut self, helper: HelperId) -> Vec<StepId> {
        let open = self.helpers.remove(&helper).unwrap_or_default().open;
        open.into_iter().map(|question| question.step).collect()
    }

    /// The box that should ask a question of this cost now, if one is free for it. Those whose last question failed
    /// come after all others. For a pressing step, some of the boxes that are kept for short questions ask as well.
    pub fn free_helper(&self, cost: TimeSpan, asker: AskerKind, now: Moment) -> Option<HelperId> {
        match cost >= LONG_QUESTION {
            true => {
                let free = self.free_for_long(now);
                free.or_else(|| (asker == AskerKind::Pressing).then(|| self.free_kept(now))?)
            }
            false => self.free_for_short(now),
        }
    }

    /// How many boxes are kept for short questions.
    fn kept_count(&self) -> usize {
        let count = self.helpers.len();
        match count {
            0 | 1 => 0,
            _ if !self.keeps_short => 0,
            _ => (count / SHORT_ONLY_SHARE).max(1),
        }
    }

    /// One of the boxes that are kept for short questions, as long as enough of them stay free for those.
    fn free_kept(&self, now: Moment) -> Option<HelperId> {
        let kept = || self.helpers.iter().take(self.kept_count());
        let asks_long = |one: &AskingBox| one.open.iter().any(OpenQuestion::is_long);
        let lent = kept().filter(|(_, one)| asks_long(one)).count();
        if lent >= (self.kept_count() / LENT_ONE_IN).max(1) {
            return None;
        }
        let free = kept().filter(|(_, one)| one.can_ask(now) && one.open.is_empty());
        free.min_by_key(|(_, one)| one.failures).map(|(helper, _)| *helper)
    }

    fn free_for_long(&self, now: Moment) -> Option<HelperId> {
        let short_only = self.kept_count();
        let able = |(_, one): &(&HelperId, &AskingBox)| one.can_ask(now);
        // Where none of the others can ask, those that are kept for short questions do.
        let kept = match self.helpers.iter().skip(short_only).any(|entry| able(&entry)) {
            true => short_only,
            false => 0,
        };
        let free = self.helpers.iter().skip(kept).filter(able);
        let free = free.filter(|(_, one)| one.open.is_empty());
        free.rev().min_by_key(|(_, one)| one.failures).map(|(helper, _)| *helper)
    }

    fn free_for_short(&self, now: Moment) -> Option<HelperId> {
        let alone = self.helpers.len() == 1;
        self.helpers
            .iter()
            .filter(|(_, one)| {
                let room = one.open.len() < SHORT_AT_ONCE;
                room && one.can_ask(now) && (alone || !one.open.iter().any(OpenQuestion::is_long))
            })
            .min_by_key(|(_, one)| (one.failures, one.queued()))
            .map(|(helper, _)| *helper)
    }

    /// Notes that a box asks.
    pub fn begin(&mut self, helper: HelperId, step: StepId, cost: TimeSpan, now: Moment) {
        let one = self.helpers.entry(helper).or_default();
        let whole = one.queued() + cost.0;
        let overdue_at = now.after(TimeSpan(whole * OVERDUE_PERCENT / 100 + OVERDUE_SLACK.0));
        one.open.push(OpenQuestion { step, cost, sent: now, overdue_at, overdue: false });
        self.repeats.note_first_call();
    }

    /// Notes that a question was answered, or failed. Returns when it was asked; none if it was given up.
    pub fn finish(
        &mut self,
        helper: HelperId,
        step: StepId,
        answered: bool,
        now: Moment,
    ) -> Option<Moment> {
        let one = self.helpers.get_mut(&helper)?;
        if answered {
            one.failures = 0;
            one.rests_until = now;
        }
        let place = one.open.iter().position(|question| question.step == step)?;
        let sent = one.open.remove(place).sent;
        if !answered {
            one.note_failure(now);
        }
        Some(sent)
    }

    /// Finds questions that have become overdue and may be asked elsewhere. Returns who asked, and about which step.
    pub fn find_overdue(&mut self, now: Moment) -> Vec<(HelperId, StepId)> {
        let mut overdue = Vec::new();
        for (helper, one) in &mut self.helpers {
            for question in one.open.iter_mut().filter(|question| !question.overdue) {
                if now >= question.overdue_at && self.repeats.try_take() {
                    question.overdue = true;
                    overdue.push((*helper, question.step));
                }
            }
        }
        overdue
    }

    /// Removes questions that were not answered in time. Returns who asked, and about which step.
    pub fn expire(&mut self, now: Moment) -> Vec<(HelperId, StepId)> {
        let mut expired = Vec::new();
        for (helper, one) in &mut self.helpers {
            let over: Vec<_> = one.open.extract_if(.., |question| question.is_over(now)).collect();
            if !over.is_empty() {
                one.note_failure(now);
            }
            expired.extend(over.into_iter().map(|question| (*helper, question.step)));
        }
        expired
    }
}
