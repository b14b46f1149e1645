//! Decides in which order steps ask the advice service, and through which box.
//!
//! The service answers one question at a time for each box, so a box that asks a long question can
//! ask nothing else meanwhile. The order matters only while more steps want to ask than boxes are
//! free. Everything here is a pure function of its inputs; `question_round.rs` gathers them from the
//! scheduler, and `advice_dispatch.rs` from the boxes.

use std::cmp::Reverse;

use sedgehill_core::units::{Moment, TimeSpan};

use super::message::HelperId;
use super::rank::ValueClass;

/// Questions that cost at least this much are long, and go only to some boxes.
const LONG_QUESTION_COST: TimeSpan = TimeSpan(200);
/// A step that can still meet its objective goes before fresh ones once it has waited this long for
/// a box. Gangs are promised a question within about this time.
const MAX_WAIT: TimeSpan = TimeSpan(1_000);
/// The same for a late step, whose job is worth less. Callers accept a stall of 3 s, and the
/// question itself takes about one.
const MAX_LATE_WAIT: TimeSpan = TimeSpan(2_000);
/// A long question that waits for less than this is not helped by boxes that are kept for short
/// questions: an ordinary box becomes free about as soon as a kept one would have answered.
const HELP_AFTER: TimeSpan = TimeSpan(250);
/// The peak of short questions at the same time halves after this time. Bursts that come again
/// sooner find boxes for all their questions.
const PEAK_HALF_LIFE: TimeSpan = TimeSpan(10_000);
/// Of the boxes that are kept free of long questions, one in this many, and at least one, takes
/// long questions.
const LONG_ON_SHORT_ONLY_ONE_IN: usize = 2;
/// Short questions in flight for one box: the second travels while the first is answered.
const MAX_SHORT_QUESTIONS: usize = 2;
/// Excess of an answer's time over the cost that is not counted as lateness: the round trip and
/// the interval between turns.
const LATENESS_SLACK: TimeSpan = TimeSpan(100);
/// Lateness halves after this time, so that a box that has recovered is used again.
const LATENESS_HALF_LIFE: TimeSpan = TimeSpan(5_000);

/// Whether a question is short or long.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum QuestionClass {
    /// Short questions may go to each box that asks no long one.
    #[default]
    Short,
    /// Long questions go to boxes that are not kept for short ones.
    Long,
}

impl QuestionClass {
    /// All classes.
    pub const ALL: [QuestionClass; 2] = [QuestionClass::Short, QuestionClass::Long];

    /// Returns the class of a question of this cost.
    pub fn of(cost: TimeSpan) -> QuestionClass {
        match cost >= LONG_QUESTION_COST {
            true => QuestionClass::Long,
            false => QuestionClass::Short,
        }
    }

    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            QuestionClass::Short => "short",
            QuestionClass::Long => "long",
        }
    }
}

/// How far a question may use boxes that are kept for short questions. Each grade may use what the
/// grades below it may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HelpGrade {
    /// It may not use them.
    None,
    /// It has waited long enough to use those that short questions can spare.
    Spare,
    /// It may use half of them: the step has long waited for a box to ask, or its long-running
    /// tasks lost their run.
    Urgent,
}

/// A question that waits for a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingQuestion {
    /// Whether it is short or long.
    pub class: QuestionClass,
    /// The step goes before all others of its class.
    pub urgent: bool,
    /// The job is beyond its organisation's share.
    pub over_share: bool,
    /// The value that the job still has.
    pub value: ValueClass,
    /// The priority of the queue; 0 is the most urgent.
    pub priority: u32,
    /// The time that the service needs for the question.
    pub cost: TimeSpan,
    /// The time until the step must start to meet the objective; zero if that has passed.
    pub time_left: TimeSpan,
    /// The time since the step first found no box.
    pub waited: TimeSpan,
}

impl WaitingQuestion {
    /// Returns how far it may use boxes that are kept for short questions.
    pub fn help_grade(&self) -> HelpGrade {
        match self.urgent {
            true => HelpGrade::Urgent,
            false if self.waited >= HELP_AFTER => HelpGrade::Spare,
            false => HelpGrade::None,
        }
    }

    /// Returns whether it has waited too long to be passed by fresh questions, the lowest first.
    fn wait_group(&self) -> u8 {
        match self.value {
            ValueClass::OnTime | ValueClass::Deferrable if self.waited >= MAX_WAIT => 0,
            ValueClass::Late if self.waited >= MAX_LATE_WAIT => 1,
            _ => 2,
        }
    }
}

/// Returns the indexes of the questions in the order in which they are to be asked: short ones
/// first, then by the value that an answer in time can keep. Among questions that have waited too
/// long, the oldest goes first; among the others, the one that must be asked soonest.
pub fn order_questions(questions: &[WaitingQuestion]) -> Vec<usize> {
    let key = |index: &usize| {
        let question = &questions[*index];
        let group = question.wait_group();
        let overdue = if group < 2 { question.waited } else { TimeSpan(0) };
        let latest_question = question.time_left.0.saturating_sub(question.cost.0);
        let standing = (!question.urgent, question.value == ValueClass::Worthless);
        let order = (question.value, question.priority, latest_question, Reverse(question.waited));
        (question.class, standing, question.over_share, group, Reverse(overdue), order)
    };
    let mut indexes: Vec<usize> = (0..questions.len()).collect();
    indexes.sort_by_key(key);
    indexes
}

/// A box that can be given questions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuestionBox {
    /// The box.
    pub helper: HelperId,
    /// It is kept for short questions.
    pub kept: bool,
    /// It neither backs off after a failure nor has an overdue question.
    pub can_ask: bool,
    /// Questions in flight.
    pub questions: usize,
    /// One of them is long.
    pub asks_long: bool,
    /// The cost of the questions in flight.
    pub queued: TimeSpan,
    /// The time until they are expected to be answered.
    pub busy: TimeSpan,
    /// How far the times of its last answers exceeded the cost.
    pub lateness: TimeSpan,
    /// Questions in a row without an answer.
    pub failures: u32,
}

/// What all boxes together have to do.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QuestionLoad {
    /// Short questions that wait for a box.
    pub short_waiting: usize,
    /// The most short questions that were in flight or waiting at the same time of late.
    pub short_peak: usize,
    /// The number of long questions that wait for a box.
    pub long_waiting: usize,
    /// Their cost.
    pub long_waiting_cost: TimeSpan,
}

/// Returns the box that should ask a question of this class now; none if it should wait for one.
pub fn choose_box(
    class: QuestionClass,
    grade: HelpGrade,
    boxes: &[QuestionBox],
    load: &QuestionLoad,
) -> Option<HelperId> {
    match class {
        QuestionClass::Short => choose_for_short(boxes),
        QuestionClass::Long => {
            choose_for_long(boxes, load).or_else(|| choose_kept(grade, boxes, load))
        }
    }
}

fn choose_for_short(boxes: &[QuestionBox]) -> Option<HelperId> {
    let usable = boxes.iter().filter(|entry| {
        let room = entry.questions < MAX_SHORT_QUESTIONS;
        room && entry.can_ask && (boxes.len() == 1 || !entry.asks_long)
    });
    usable
        .min_by_key(|entry| (entry.failures, entry.queued.0 + entry.lateness.0))
        .map(|entry| entry.helper)
}

fn choose_for_long(boxes: &[QuestionBox], load: &QuestionLoad) -> Option<HelperId> {
    // If none of the other boxes can ask, those kept for short questions take long ones.
    let others_can_ask = boxes.iter().any(|entry| !entry.kept && entry.can_ask);
    let usable = || boxes.iter().filter(|entry| entry.can_ask && !(entry.kept && others_can_ask));
    let prompt = usable().filter(|entry| entry.lateness == TimeSpan(0));
    let (count, busy_ms) =
        prompt.fold((0, 0), |(count, busy), entry| (count + 1, busy + entry.busy.0));
    let prompt_wait = match count {
        0 => TimeSpan(u64::MAX),
        _ => TimeSpan((busy_ms + load.long_waiting_cost.0) / count),
    };
    // A late box is left out while waiting for a prompt one costs less than its lateness.
    let free = usable().filter(|entry| entry.questions == 0 && entry.lateness <= prompt_wait);
    free.rev().min_by_key(|entry| (entry.failures, entry.lateness)).map(|entry| entry.helper)
}

/// Returns a free box among those kept for short questions, if these can spare one.
fn choose_kept(grade: HelpGrade, boxes: &[QuestionBox], load: &QuestionLoad) -> Option<HelperId> {
    let kept = || boxes.iter().filter(|entry| entry.kept);
    let asks_long = kept().filter(|entry| entry.asks_long).count();
    let max_long = (kept().count() / LONG_ON_SHORT_ONLY_ONE_IN).max(1);
    let without_long = kept().filter(|entry| entry.can_ask && !entry.asks_long).count();
    let spared = match grade {
        HelpGrade::None => false,
        // A peak as large as the last finds a box for each of its questions. An average would not
        // do: short questions come in bursts, and waited longer behind long ones on kept boxes.
        HelpGrade::Spare => load.short_waiting == 0 && without_long > load.short_peak.max(1),
        HelpGrade::Urgent => true,
    };
    if !spared || asks_long >= max_long {
        return None;
    }
    let free = kept().filter(|entry| entry.can_ask && entry.questions == 0);
    free.min_by_key(|entry| (entry.failures, entry.lateness)).map(|entry| entry.helper)
}

/// Whether questions should name no more workers than needed: more long questions wait than can be
/// asked in one round of the boxes that take them.
pub fn saves_cost(boxes: usize, load: &QuestionLoad) -> bool {
    load.long_waiting > boxes
}

/// The most short questions at the same time of late.
#[derive(Debug, Clone, Copy, Default)]
pub struct ShortPeak {
    count: usize,
    noted_at: Moment,
}

impl ShortPeak {
    /// Notes how many short questions are in flight or wait.
    pub fn note(&mut self, count: usize, now: Moment) {
        if count >= self.current(now) {
            *self = ShortPeak { count, noted_at: now };
        }
    }

    /// Returns the peak as it counts now.
    pub fn current(&self, now: Moment) -> usize {
        let half_lives = now.since(self.noted_at).0 / PEAK_HALF_LIFE.0;
        self.count.checked_shr(half_lives.min(64) as u32).unwrap_or(0)
    }
}

/// How far a box's answers exceed the cost of their questions.
#[derive(Debug, Clone, Copy, Default)]
pub struct BoxLateness {
    average: TimeSpan,
    noted_at: Moment,
}

impl BoxLateness {
    /// Adds an answer that took `took` where the cost of its question, and of those before it, was
    /// `expected`. The last answer has half of the weight, so two prompt answers in a row mostly
    /// clear a box that was late once.
    pub fn note_answer(&mut self, expected: TimeSpan, took: TimeSpan, now: Moment) {
        let excess = took.0.saturating_sub(expected.0 + LATENESS_SLACK.0);
        self.average = TimeSpan((self.current(now).0 + excess) / 2);
        self.noted_at = now;
    }

    /// Returns the lateness now. It is zero if it is too small to tell from the round trip.
    pub fn current(&self, now: Moment) -> TimeSpan {
        let half_lives = now.since(self.noted_at).0 / LATENESS_HALF_LIFE.0;
        let average = self.average.0.checked_shr(half_lives.min(64) as u32).unwrap_or(0);
        TimeSpan(if average < LATENESS_SLACK.0 / 2 { 0 } else { average })
    }
}
