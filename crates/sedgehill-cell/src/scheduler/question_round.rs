//! Gathers the steps that want to ask the advice service, and asks for them in order.
//!
//! As long as no step has to wait for a box, each asks when its turn to be placed comes. Once one
//! has found no box, the steps of the next turn that would ask are collected first and then ask in
//! the order of `question_order.rs`, each with all the questions that it needs.

use sedgehill_core::units::{Moment, TimeSpan};

use super::question_order::{HelpGrade, order_questions};
use super::questions::AskOutcome;
use super::rank::latest_start;
use super::room::{Candidate, OpenWorkers};
use super::*;

/// A step that found no box this long ago or more, and asked for none since, waits anew.
const MAX_WAIT_GAP: TimeSpan = TimeSpan(500);

/// Since when a step waits for a box, and with what question.
#[derive(Debug, Clone, Copy)]
pub(super) struct HelperWait {
    since: Moment,
    seen: Moment,
    /// The class of its question.
    pub(super) class: QuestionClass,
    cost: TimeSpan,
}

/// The questions that wait for boxes.
#[derive(Debug, Default)]
pub(super) struct QuestionRound {
    /// Steps of this turn that ask once all steps are placed.
    deferred: Vec<Candidate>,
    /// Questions that found no box in this turn.
    waiting: Vec<WaitingQuestion>,
    /// Questions found no box in the turn before.
    contended: bool,
}

/// Figures about questions that wait for a box.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QuestionWaitStats {
    /// The class of the questions.
    pub class: QuestionClass,
    /// Their number.
    pub waiting: usize,
    /// The longest time that one of them has waited.
    pub longest: TimeSpan,
}

impl Scheduler {
    /// Prepares for the questions of a turn, by what waited in the turn before.
    pub(super) fn begin_question_round(&mut self, now: Moment) {
        let waiting = std::mem::take(&mut self.question_round.waiting);
        self.question_round.contended = !waiting.is_empty();
        self.question_round.deferred.clear();
        self.advice_dispatcher.note_waiting(&waiting, now);
    }

    /// Leaves the question of a step to the end of the turn if any wait for boxes. This is so for
    /// both classes, since a long question asked before the short ones would take an idle box from
    /// them. Long-running tasks that lost their run never wait for others.
    pub(super) fn defer_question(&mut self, candidate: &Candidate) -> bool {
        let ordered = self.timing.policy.question_order == QuestionOrder::Deadline;
        let deferred = ordered && !candidate.restarts && self.question_round.contended;
        if deferred {
            self.question_round.deferred.push(*candidate);
        }
        deferred
    }

    /// Asks the questions that were left to the end of the turn.
    pub(super) fn ask_in_order(&mut self, open: &OpenWorkers, now: Moment) {
        let deferred = std::mem::take(&mut self.question_round.deferred);
        let known = deferred
            .into_iter()
            .filter_map(|candidate| Some((candidate, self.waiting_question(&candidate, now)?)));
        let (candidates, questions): (Vec<Candidate>, Vec<WaitingQuestion>) = known.unzip();
        // Within a turn boxes only become busy, so a question that found none speaks for all of its
        // class that may use no more boxes than it.
        let mut refused: Vec<(QuestionClass, HelpGrade)> = Vec::new();
        for index in order_questions(&questions) {
            let (candidate, question) = (&candidates[index], &questions[index]);
            let (class, grade) = (question.class, question.help_grade());
            if refused.iter().any(|(other, most)| *other == class && grade <= *most) {
                self.note_helper_wait(candidate, class, question.cost, now);
                continue;
            }
            let reason = self.ask_whole(candidate, open, now);
            if reason == StallReason::NoFreeHelper {
                refused.push((class, grade));
            }
            self.replace_stall_reason(candidate, StallReason::NoFreeHelper, reason);
        }
    }

    /// Asks all questions that a step needs now, so that the first in line is served before others
    /// get a part. Returns what the step waits for.
    fn ask_whole(&mut self, candidate: &Candidate, open: &OpenWorkers, now: Moment) -> StallReason {
        let Some(record) = self.jobs.get(&candidate.job).map(|job| job.record.clone()) else {
            return StallReason::NoRoom;
        };
        let spec = record.step_spec(candidate.step);
        let mut asked = false;
        loop {
            let blocked = self.question_block(candidate, spec, now);
            let outcome = match blocked {
                Some(reason) => AskOutcome::Waits(reason),
                None => self.ask(candidate, spec, open, now),
            };
            match outcome {
                AskOutcome::Asked => asked = true,
                AskOutcome::Waits(_) if asked => return StallReason::AwaitingAdvice,
                AskOutcome::Waits(reason) => return reason,
            }
        }
    }

    /// Notes that a step found no box for its question.
    pub(super) fn note_helper_wait(
        &mut self,
        candidate: &Candidate,
        class: QuestionClass,
        cost: TimeSpan,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get_mut(&candidate.job) else { return };
        let wait = &mut job.steps[candidate.step].advice.helper_wait;
        let since =
            wait.filter(|wait| now < wait.seen.after(MAX_WAIT_GAP)).map_or(now, |wait| wait.since);
        *wait = Some(HelperWait { since, seen: now, class, cost });
        let question = self.waiting_question(candidate, now);
        self.question_round.waiting.extend(question);
    }

    /// Returns what orders the question of a step. Class and cost are those of the question that
    /// found no box, or those of the smallest possible question.
    pub(super) fn waiting_question(
        &self,
        candidate: &Candidate,
        now: Moment,
    ) -> Option<WaitingQuestion> {
        let job = self.jobs.get(&candidate.job)?;
        let policy = job.record.policy.advice?;
        let wait = job.steps[candidate.step].advice.helper_wait;
        let wait = wait.filter(|wait| now < wait.seen.after(MAX_WAIT_GAP));
        let smallest = policy.cost(1);
        let (class, cost) = match (self.timing.policy.question_order, wait) {
            (QuestionOrder::Deadline, Some(wait)) => (wait.class, wait.cost),
            _ => (QuestionClass::of(smallest), smallest),
        };
        let latest = latest_start(job, candidate.step, self.unix_ms_at(now), now);
        Some(WaitingQuestion {
            class,
            urgent: candidate.restarts || self.starved_step == Some(*candidate),
            over_share: self.is_over_share(job),
            value: self.rank_of(job, candidate.step, now).value_class(),
            priority: job.record.policy.priority,
            cost,
            time_left: TimeSpan(latest.saturating_sub(now.0)),
            waited: wait.map_or(TimeSpan(0), |wait| now.since(wait.since)),
        })
    }

    /// Returns figures about the questions that waited for a box in the last turn.
    pub fn question_wait_stats(&self) -> Vec<QuestionWaitStats> {
        let stats = |class| {
            let waiting = self.question_round.waiting.iter();
            let waits = waiting.filter(|question| question.class == class);
            let waits: Vec<TimeSpan> = waits.map(|question| question.waited).collect();
            let longest = waits.iter().copied().max().unwrap_or_default();
            QuestionWaitStats { class, waiting: waits.len(), longest }
        };
        QuestionClass::ALL.into_iter().map(stats).collect()
    }

    /// Returns figures about the boxes that ask the advice service.
    pub fn question_box_stats(&self, now: Moment) -> QuestionBoxStats {
        self.advice_dispatcher.box_stats(now)
    }
}
