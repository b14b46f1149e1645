//! The order of questions to the advice service and the choice of the box, as pure functions.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use sedgehill_cell::ids::{JobId, StepId};
use sedgehill_cell::scheduler::{
    AdviceDispatcher, BoxLateness, HelpGrade, HelperId, QuestionBox, QuestionClass, QuestionLoad,
    QuestionOrder, ValueClass, WaitingQuestion, choose_box, order_questions,
};
use sedgehill_core::units::{Moment, TimeSpan};

const LONG_COST: TimeSpan = TimeSpan(700);
const SHORT_COST: TimeSpan = TimeSpan(12);
/// A decision takes milliseconds at most, with 588 boxes and as many questions as 6,000 workers may need.
const MAX_DECISION: Duration = Duration::from_millis(10);

fn long_question() -> WaitingQuestion {
    WaitingQuestion {
        class: QuestionClass::Long,
        urgent: false,
        over_share: false,
        value: ValueClass::OnTime,
        priority: 1,
        cost: LONG_COST,
        time_left: TimeSpan(4_000),
        waited: TimeSpan(0),
    }
}

fn idle_box(number: u64, kept: bool) -> QuestionBox {
    QuestionBox {
        helper: HelperId(number),
        kept,
        can_ask: true,
        questions: 0,
        asks_long: false,
        queued: TimeSpan(0),
        busy: TimeSpan(0),
        lateness: TimeSpan(0),
        failures: 0,
    }
}

fn busy_box(number: u64, kept: bool) -> QuestionBox {
    let (questions, asks_long) = (1, true);
    QuestionBox {
        questions,
        asks_long,
        queued: LONG_COST,
        busy: LONG_COST,
        ..idle_box(number, kept)
    }
}

fn choose_long(grade: HelpGrade, boxes: &[QuestionBox], load: QuestionLoad) -> Option<u64> {
    choose_box(QuestionClass::Long, grade, boxes, &load).map(|helper| helper.0)
}

/// Guards against short questions behind long ones, gangs that are passed by fresh ones without end, and questions
/// for jobs without value before others.
#[test]
fn questions_are_ordered_by_class_value_wait_and_time_left() {
    let long = long_question();
    let cheaper = WaitingQuestion { cost: TimeSpan(300), ..long };
    let questions = [
        WaitingQuestion { value: ValueClass::Worthless, waited: TimeSpan(9_000), ..long },
        WaitingQuestion { over_share: true, ..long },
        WaitingQuestion { value: ValueClass::Late, waited: TimeSpan(1_500), ..long },
        cheaper,
        long,
        WaitingQuestion { value: ValueClass::Late, waited: TimeSpan(2_500), ..long },
        WaitingQuestion { value: ValueClass::Deferrable, waited: TimeSpan(1_200), ..long },
        WaitingQuestion { waited: TimeSpan(1_100), ..long },
        WaitingQuestion { urgent: true, value: ValueClass::Worthless, ..long },
        WaitingQuestion { class: QuestionClass::Short, cost: SHORT_COST, priority: 2, ..long },
    ];
    assert_eq!(order_questions(&questions), [9, 8, 6, 7, 5, 4, 3, 2, 1, 0]);
}

/// Guards against long questions on boxes that short ones need: help by time alone served users worse.
#[test]
fn kept_boxes_help_only_as_far_as_short_questions_leave_them_free() {
    let mut boxes: Vec<QuestionBox> = (0..4).map(|number| idle_box(number, true)).collect();
    boxes.extend((4..12).map(|number| busy_box(number, false)));
    let calm = QuestionLoad::default();
    assert_eq!(choose_long(HelpGrade::None, &boxes, calm), None);
    assert_eq!(choose_long(HelpGrade::Spare, &boxes, calm), Some(0));
    let backlog = QuestionLoad { short_waiting: 1, ..calm };
    assert_eq!(choose_long(HelpGrade::Spare, &boxes, backlog), None);
    // As many short questions as a moment ago would need each kept box.
    let load = QuestionLoad { short_peak: 4, ..calm };
    assert_eq!(choose_long(HelpGrade::Spare, &boxes, load), None);
    assert_eq!(choose_long(HelpGrade::Urgent, &boxes, load), Some(0));
    // Half of the kept boxes never ask long questions.
    boxes[0] = busy_box(0, true);
    assert_eq!(choose_long(HelpGrade::Spare, &boxes, calm), Some(1));
    boxes[1] = busy_box(1, true);
    assert_eq!(choose_long(HelpGrade::Urgent, &boxes, calm), None);
}

/// Guards against a slow box that gets as many questions as others, and against leaving it idle beside a long queue.
#[test]
fn a_late_box_is_used_only_if_waiting_takes_longer() {
    let late = QuestionBox { lateness: TimeSpan(2_000), ..idle_box(9, false) };
    let calm = QuestionLoad::default();
    assert_eq!(choose_long(HelpGrade::None, &[idle_box(1, false), late], calm), Some(1));
    assert_eq!(choose_long(HelpGrade::None, &[busy_box(1, false), late], calm), None);
    let queue = QuestionLoad { long_waiting: 3, long_waiting_cost: TimeSpan(2_100), ..calm };
    assert_eq!(choose_long(HelpGrade::None, &[busy_box(1, false), late], queue), Some(9));
    assert_eq!(choose_long(HelpGrade::None, &[late], calm), Some(9));
}

#[test]
fn lateness_ignores_the_round_trip_and_fades() {
    let mut lateness = BoxLateness::default();
    lateness.note_answer(LONG_COST, TimeSpan(780), Moment(1_000));
    assert_eq!(lateness.current(Moment(1_000)), TimeSpan(0));
    lateness.note_answer(LONG_COST, TimeSpan(4_800), Moment(2_000));
    assert_eq!(lateness.current(Moment(2_000)), TimeSpan(2_000));
    assert_eq!(lateness.current(Moment(7_000)), TimeSpan(1_000));
    assert_eq!(lateness.current(Moment(60_000)), TimeSpan(0));
}

proptest! {
    /// Guards against changes where boxes are free: with prompt boxes and questions that have not waited, both orders
    /// choose the same box in each state. One question in eight fails.
    #[test]
    fn both_orders_choose_the_same_box_while_none_is_late(
        boxes in 1..42_u64,
        classes in prop::collection::vec((any::<bool>(), 0..8_u8), 1..400),
    ) {
        let mut rank = AdviceDispatcher::new(true, QuestionOrder::Rank);
        let mut deadline = AdviceDispatcher::new(true, QuestionOrder::Deadline);
        for helper in (0..boxes).map(HelperId) {
            rank.add_helper(helper);
            deadline.add_helper(helper);
        }
        let mut asked: Vec<(Moment, HelperId, StepId, bool)> = Vec::new();
        for (number, (long, fault)) in classes.into_iter().enumerate() {
            let now = Moment(1_000 + number as u64 * 10);
            for (_, helper, step, answered) in asked.extract_if(.., |(due, ..)| *due <= now) {
                rank.finish(helper, step, answered, now);
                deadline.finish(helper, step, answered, now);
            }
            let (class, cost) = match long {
                true => (QuestionClass::Long, LONG_COST),
                false => (QuestionClass::Short, SHORT_COST),
            };
            let question = WaitingQuestion { class, cost, ..long_question() };
            let chosen = rank.choose(&question, now);
            prop_assert_eq!(chosen, deadline.choose(&question, now));
            let Some(helper) = chosen else { continue };
            let step = StepId { job: JobId(number as u64), repetition: 0, step: 0 };
            rank.begin(helper, step, class, cost, now);
            deadline.begin(helper, step, class, cost, now);
            asked.push((now.after(cost), helper, step, fault > 0));
        }
    }
}

#[test]
fn a_decision_takes_milliseconds_with_588_boxes() {
    let boxes: Vec<QuestionBox> = (0..588).map(|number| busy_box(number, number < 196)).collect();
    let question = |number: u64| WaitingQuestion { waited: TimeSpan(number), ..long_question() };
    let questions: Vec<WaitingQuestion> = (0..6_000).map(question).collect();
    // The shortest of several, since other processes may interrupt one.
    let decide = |_| {
        let begin = Instant::now();
        assert_eq!(order_questions(&questions).len(), questions.len());
        assert_eq!(choose_long(HelpGrade::Urgent, &boxes, QuestionLoad::default()), None);
        begin.elapsed()
    };
    let shortest = (0..20).map(decide).min().unwrap();
    assert!(shortest <= MAX_DECISION, "{shortest:?}");
}
