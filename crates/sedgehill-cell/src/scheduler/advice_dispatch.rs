//! Distributes the lead's questions to the advice service over boxes.
//!
//! The service answers one question at a time for each box that asks, and questions about some
//! queues take long. The lead therefore spreads its questions over all boxes, keeps their order
//! itself, and keeps some boxes free of long questions so that short ones never wait behind them.
//!
//! A box that cannot reach the service fails each question at once and is free again: without a
//! backoff, one such box received 125 of the 126 questions about a step. A box that never gets an
//! answer delays a step for as long as questions go to it. Boxes whose questions fail therefore
//! back off and are chosen last, and an overdue question is asked again through another box.

use std::collections::BTreeMap;

use sedgehill_core::units::{Moment, TimeSpan};

use super::message::HelperId;
use super::policy::QuestionOrder;
use super::question_order::{
    BoxLateness, QuestionBox, QuestionClass, QuestionLoad, ShortPeak, WaitingQuestion, choose_box,
    saves_cost,
};
use crate::ids::StepId;
use crate::timeout::ResendBudget;

/// One box in this many is kept free of long questions.
const SHORT_ONLY_ONE_IN: usize = 3;
/// Of the boxes that are kept free of long questions, one in this many, and at least one, takes
/// long questions that are urgent.
const LONG_ON_SHORT_ONLY_ONE_IN: usize = 2;
/// Short questions in flight for one box: the second travels while the first is answered.
const MAX_SHORT_QUESTIONS: usize = 2;
/// A question is overdue after this percentage of its cost and that of the questions before it,
/// plus [`OVERDUE_SLACK`].
const OVERDUE_PERCENT: u64 = 150;
/// Added to the time after which a question is overdue, for a box that pauses for a moment and for
/// the round trip.
const OVERDUE_SLACK: TimeSpan = TimeSpan(300);
/// A question without an answer is given up after this many times its cost, plus [`TIMEOUT_SLACK`].
const TIMEOUT_FACTOR: u64 = 3;
/// Added to the timeout of a question. An answer that arrives later is still used.
const TIMEOUT_SLACK: TimeSpan = TimeSpan(1_500);
/// Backoff of a box after a failed question. It doubles with each further failure, up to
/// [`MAX_HELPER_BACKOFF`].
const MIN_HELPER_BACKOFF: TimeSpan = TimeSpan(250);
/// Longest backoff of a box. It is short, since the service may recover at any time and there may
/// be no other box.
const MAX_HELPER_BACKOFF: TimeSpan = TimeSpan(2_000);

/// How urgently a question has to be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuestionUrgency {
    /// Waits for a box that is free for questions of its cost.
    Normal,
    /// May use boxes that are kept free of long questions: the step has long waited for a box to
    /// ask, or its long-running tasks lost their run.
    Urgent,
}

#[derive(Debug)]
struct PendingQuestion {
    step: StepId,
    class: QuestionClass,
    cost: TimeSpan,
    /// The cost of this question and of those before it.
    expected: TimeSpan,
    sent: Moment,
    overdue_at: Moment,
    overdue: bool,
}

impl PendingQuestion {
    fn is_long(&self) -> bool {
        self.class == QuestionClass::Long
    }

    /// Whether the question is given up.
    fn is_timed_out(&self, now: Moment) -> bool {
        let timeout = TimeSpan(self.cost.0 * TIMEOUT_FACTOR + TIMEOUT_SLACK.0);
        now >= self.sent.after(timeout)
    }
}

/// The questions of one box and how its last ones went.
#[derive(Debug, Default)]
struct AdviceHelper {
    in_flight: Vec<PendingQuestion>,
    /// Questions in a row without an answer.
    failures: u32,
    /// The box asks nothing before this moment.
    backoff_until: Moment,
    /// When its questions are expected to be answered.
    busy_until: Moment,
    lateness: BoxLateness,
}

impl AdviceHelper {
    /// Whether the box can take a question now. A question behind an overdue one would wait too.
    fn can_ask(&self, now: Moment) -> bool {
        now >= self.backoff_until && !self.in_flight.iter().any(|question| question.overdue)
    }

    fn note_failure(&mut self, now: Moment) {
        let backoff =
            TimeSpan(MIN_HELPER_BACKOFF.0 << self.failures.min(8)).min(MAX_HELPER_BACKOFF);
        self.backoff_until = now.after(backoff);
        self.failures += 1;
    }

    fn queued_ms(&self) -> u64 {
        self.in_flight.iter().map(|question| question.cost.0).sum()
    }

    fn asks_long(&self) -> bool {
        self.in_flight.iter().any(PendingQuestion::is_long)
    }

    /// Returns the time until its questions are expected to be answered.
    fn busy(&self, now: Moment) -> TimeSpan {
        match self.in_flight.is_empty() {
            true => TimeSpan(0),
            false => self.busy_until.since(now),
        }
    }
}

/// Figures about the boxes that ask the advice service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QuestionBoxStats {
    /// The number of boxes.
    pub boxes: usize,
    /// Those with a question in flight.
    pub busy: usize,
    /// Those that back off after a failure or have an overdue question.
    pub unusable: usize,
    /// Those whose answers take longer than the questions cost.
    pub late: usize,
    /// The time until all questions in flight are expected to be answered, added up over boxes.
    pub busy_total: TimeSpan,
    /// The same for the box that is busy for longest.
    pub busy_longest: TimeSpan,
}

/// Spreads questions over the boxes that can ask.
#[derive(Debug)]
pub struct AdviceDispatcher {
    helpers: BTreeMap<HelperId, AdviceHelper>,
    keep_short_only: bool,
    order: QuestionOrder,
    /// Questions that found no box in the last turn.
    load: QuestionLoad,
    short_peak: ShortPeak,
    /// Limits how many overdue questions are asked again.
    repeats: ResendBudget,
}

impl AdviceDispatcher {
    /// Creates a dispatcher without boxes. `keep_short_only` tells whether some boxes are kept free
    /// of long questions, and `order` how boxes are chosen.
    pub fn new(keep_short_only: bool, order: QuestionOrder) -> AdviceDispatcher {
        AdviceDispatcher {
            helpers: BTreeMap::new(),
            keep_short_only,
            order,
            load: QuestionLoad::default(),
            short_peak: ShortPeak::default(),
            repeats: ResendBudget::default(),
        }
    }

    /// Notes that a box can ask questions.
    pub fn add_helper(&mut self, helper: HelperId) {
        self.helpers.entry(helper).or_default();
    }

    /// Notes that a box can no longer ask questions. Returns the steps that it was asking about.
    pub fn remove_helper(&mut self, helper: HelperId) -> Vec<StepId> {
        let in_flight = self.helpers.remove(&helper).unwrap_or_default().in_flight;
        in_flight.into_iter().map(|question| question.step).collect()
    }

    /// Notes the questions that found no box in the last turn.
    pub fn note_waiting(&mut self, waiting: &[WaitingQuestion], now: Moment) {
        let long = || waiting.iter().filter(|question| question.class == QuestionClass::Long);
        let long_waiting = long().count();
        self.load = QuestionLoad {
            short_waiting: waiting.len() - long_waiting,
            short_peak: self.short_peak.current(now),
            long_waiting,
            long_waiting_cost: TimeSpan(long().map(|question| question.cost.0).sum()),
        };
    }

    /// Whether questions should name no more workers than needed.
    pub fn saves_cost(&self) -> bool {
        let boxes = self.helpers.len() - self.short_only_count();
        self.order == QuestionOrder::Deadline && saves_cost(boxes, &self.load)
    }

    /// Returns the box that should ask a question now, if one is free for it.
    pub fn choose(&self, question: &WaitingQuestion, now: Moment) -> Option<HelperId> {
        match self.order {
            QuestionOrder::Rank => {
                let urgency = match question.urgent {
                    true => QuestionUrgency::Urgent,
                    false => QuestionUrgency::Normal,
                };
                self.free_helper(question.class, urgency, now)
            }
            QuestionOrder::Deadline => {
                let boxes = self.boxes(now);
                choose_box(question.class, question.help_grade(), &boxes, &self.load)
            }
        }
    }

    fn boxes(&self, now: Moment) -> Vec<QuestionBox> {
        let kept = self.short_only_count();
        let view = |(index, (helper, state)): (usize, (&HelperId, &AdviceHelper))| QuestionBox {
            helper: *helper,
            kept: index < kept,
            can_ask: state.can_ask(now),
            questions: state.in_flight.len(),
            asks_long: state.asks_long(),
            queued: TimeSpan(state.queued_ms()),
            busy: state.busy(now),
            lateness: state.lateness.current(now),
            failures: state.failures,
        };
        self.helpers.iter().enumerate().map(view).collect()
    }

    /// Returns figures about the boxes.
    pub fn box_stats(&self, now: Moment) -> QuestionBoxStats {
        let mut stats = QuestionBoxStats::default();
        for entry in self.boxes(now) {
            stats.boxes += 1;
            stats.busy += usize::from(entry.questions > 0);
            stats.unusable += usize::from(!entry.can_ask);
            stats.late += usize::from(entry.lateness > TimeSpan(0));
            stats.busy_total = TimeSpan(stats.busy_total.0 + entry.busy.0);
            stats.busy_longest = stats.busy_longest.max(entry.busy);
        }
        stats
    }

    /// Returns the box that should ask a question of this class now by the order of ranks, if one is free for it. Boxes
    /// whose last questions failed are chosen last. An urgent long question may also go to some of
    /// the boxes that are kept for short questions.
    pub fn free_helper(
        &self,
        class: QuestionClass,
        urgency: QuestionUrgency,
        now: Moment,
    ) -> Option<HelperId> {
        match class {
            QuestionClass::Long => {
                let free = self.free_for_long(now);
                free.or_else(|| {
                    (urgency == QuestionUrgency::Urgent).then(|| self.free_short_only(now))?
                })
            }
            QuestionClass::Short => self.free_for_short(now),
        }
    }

    /// The number of boxes that are kept for short questions.
    fn short_only_count(&self) -> usize {
        let count = self.helpers.len();
        match count {
            0 | 1 => 0,
            _ if !self.keep_short_only => 0,
            _ => (count / SHORT_ONLY_ONE_IN).max(1),
        }
    }

    /// Returns a free box among those kept for short questions, unless too many of them ask long
    /// questions already.
    fn free_short_only(&self, now: Moment) -> Option<HelperId> {
        let short_only = || self.helpers.iter().take(self.short_only_count());
        let long_count = short_only().filter(|(_, state)| state.asks_long()).count();
        if long_count >= (self.short_only_count() / LONG_ON_SHORT_ONLY_ONE_IN).max(1) {
            return None;
        }
        let free =
            short_only().filter(|(_, state)| state.can_ask(now) && state.in_flight.is_empty());
        free.min_by_key(|(_, state)| state.failures).map(|(helper, _)| *helper)
    }

    fn free_for_long(&self, now: Moment) -> Option<HelperId> {
        let short_only = self.short_only_count();
        let can_ask = |(_, state): &(&HelperId, &AdviceHelper)| state.can_ask(now);
        // If none of the other boxes can ask, those kept for short questions take long ones.
        let skipped = match self.helpers.iter().skip(short_only).any(|entry| can_ask(&entry)) {
            true => short_only,
            false => 0,
        };
        let free = self.helpers.iter().skip(skipped).filter(can_ask);
        let free = free.filter(|(_, state)| state.in_flight.is_empty());
        free.rev().min_by_key(|(_, state)| state.failures).map(|(helper, _)| *helper)
    }

    fn free_for_short(&self, now: Moment) -> Option<HelperId> {
        let only_helper = self.helpers.len() == 1;
        self.helpers
            .iter()
            .filter(|(_, state)| {
                let room = state.in_flight.len() < MAX_SHORT_QUESTIONS;
                room && state.can_ask(now) && (only_helper || !state.asks_long())
            })
            .min_by_key(|(_, state)| (state.failures, state.queued_ms()))
            .map(|(helper, _)| *helper)
    }

    /// Notes that a box asks a question.
    pub fn begin(
        &mut self,
        helper: HelperId,
        step: StepId,
        class: QuestionClass,
        cost: TimeSpan,
        now: Moment,
    ) {
        let state = self.helpers.entry(helper).or_default();
        state.busy_until = now.after(TimeSpan(state.busy(now).0 + cost.0));
        let expected = TimeSpan(state.queued_ms() + cost.0);
        let overdue_at = now.after(TimeSpan(expected.0 * OVERDUE_PERCENT / 100 + OVERDUE_SLACK.0));
        let question =
            PendingQuestion { step, class, cost, expected, sent: now, overdue_at, overdue: false };
        state.in_flight.push(question);
        if class == QuestionClass::Short {
            let short = |state: &AdviceHelper| {
                state.in_flight.iter().filter(|question| !question.is_long()).count()
            };
            let in_flight: usize = self.helpers.values().map(short).sum();
            self.short_peak.note(in_flight + self.load.short_waiting, now);
        }
        self.repeats.note_first_call();
    }

    /// Notes that a question was answered or failed. Returns when it was asked; none if it had been
    /// given up.
    pub fn finish(
        &mut self,
        helper: HelperId,
        step: StepId,
        answered: bool,
        now: Moment,
    ) -> Option<Moment> {
        let state = self.helpers.get_mut(&helper)?;
        if answered {
            state.failures = 0;
            state.backoff_until = now;
        }
        let place = state.in_flight.iter().position(|question| question.step == step)?;
        let question = state.in_flight.remove(place);
        match answered {
            true => {
                state.lateness.note_answer(question.expected, now.since(question.sent), now);
            }
            false => state.note_failure(now),
        }
        Some(question.sent)
    }

    /// Marks questions that have become overdue and may be asked again. Returns the box that asked
    /// and the step of each.
    pub fn find_overdue(&mut self, now: Moment) -> Vec<(HelperId, StepId)> {
        let mut overdue = Vec::new();
        for (helper, state) in &mut self.helpers {
            for question in state.in_flight.iter_mut().filter(|question| !question.overdue) {
                if now >= question.overdue_at && self.repeats.try_take() {
                    question.overdue = true;
                    overdue.push((*helper, question.step));
                }
            }
        }
        overdue
    }

    /// Removes questions that have timed out. Returns the box that asked and the step of each.
    pub fn expire(&mut self, now: Moment) -> Vec<(HelperId, StepId)> {
        let mut expired = Vec::new();
        for (helper, state) in &mut self.helpers {
            let timed_out: Vec<_> =
                state.in_flight.extract_if(.., |question| question.is_timed_out(now)).collect();
            if !timed_out.is_empty() {
                state.note_failure(now);
            }
            expired.extend(timed_out.into_iter().map(|question| (*helper, question.step)));
        }
        expired
    }
}
