//! The advice service as the scheduler meets it: one question at a time for each box that asks, each
//! with its cost, tickets that end, and boxes or spans of time in which it fails.

use std::collections::HashMap;
use std::sync::Arc;

use sedgehill_cell::ids::{JobId, StepId, WorkerId};
use sedgehill_cell::job::AdvicePolicy;
use sedgehill_cell::scheduler::{
    AdviceQuestion, CellOrder, HelperId, Scheduler, StartOrder, WorkerAnswer, WorkerRefusal,
};
use sedgehill_core::units::Moment;

use super::FakeCell;

/// What becomes of the questions of a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HelperFault {
    /// They fail at once.
    Fails,
    /// They are never answered.
    Silent,
    /// They take so many times as long as they cost.
    Slow(u64),
}

type Answer = Option<Vec<(WorkerId, Arc<str>)>>;

/// Whether a worker may run a step.
type GoodRule = Box<dyn Fn(&StepId, &WorkerId) -> bool>;

/// The service.
pub struct FakeService {
    policy: AdvicePolicy,
    /// Jobs whose questions cost something else.
    pub own_costs: HashMap<JobId, AdvicePolicy>,
    good: GoodRule,
    /// Boxes in fault.
    pub faults: HashMap<HelperId, HelperFault>,
    /// Until then it names nobody.
    pub nobody_until: Moment,
    /// Until when it works on the questions of a box.
    busy: HashMap<HelperId, Moment>,
    open: Vec<(Moment, AdviceQuestion, Answer)>,
    /// Who was asked about which step, with when and with how many workers named.
    pub asked: Vec<(Moment, AdviceQuestion)>,
    tickets: HashMap<(StepId, WorkerId), Moment>,
}

impl FakeService {
    pub fn new(
        policy: AdvicePolicy,
        good: impl Fn(&StepId, &WorkerId) -> bool + 'static,
    ) -> FakeService {
        FakeService {
            policy,
            own_costs: HashMap::new(),
            good: Box::new(good),
            faults: HashMap::new(),
            nobody_until: Moment(0),
            busy: HashMap::new(),
            open: Vec::new(),
            asked: Vec::new(),
            tickets: HashMap::new(),
        }
    }

    /// Questions about a step.
    pub fn asked_about(&self, step: StepId) -> Vec<&(Moment, AdviceQuestion)> {
        self.asked.iter().filter(|(_, question)| question.step == step).collect()
    }

    /// Until when it works on what it was asked.
    pub fn busy_until(&self) -> Moment {
        self.busy.values().copied().max().unwrap_or_default()
    }

    /// Whoever asked is gone: nobody hears the answers.
    pub fn discard_questions(&mut self) {
        self.open.clear();
    }

    fn ask(&mut self, question: &AdviceQuestion, now: Moment) {
        self.asked.push((now, question.clone()));
        let policy = self.own_costs.get(&question.step.job).unwrap_or(&self.policy);
        let cost = policy.cost(question.workers.len()).0;
        let (took, answered) = match self.faults.get(&question.helper) {
            Some(HelperFault::Silent) => return,
            Some(HelperFault::Fails) => (0, false),
            Some(HelperFault::Slow(times)) => (cost * times, true),
            None => (cost, true),
        };
        let begins = self.busy.get(&question.helper).copied().unwrap_or_default().max(now);
        let due = Moment(begins.0 + took);
        self.busy.insert(question.helper, due);
        let names = |life: &&WorkerId| (self.good)(&question.step, life);
        let good = question.workers.iter().filter(names).cloned();
        let answer = match due < self.nobody_until {
            true => Vec::new(),
            false => good.map(|life| (life, Arc::from("ticket"))).collect(),
        };
        self.open.push((due, question.clone(), answered.then_some(answer)));
    }

    fn answer(&mut self, scheduler: &mut Scheduler, now: Moment) {
        let due: Vec<_> = self.open.extract_if(.., |(due, ..)| *due <= now).collect();
        for (_, question, answer) in due {
            let valid = self.policy.valid;
            for (life, _) in answer.iter().flatten() {
                self.tickets.insert((question.step, life.clone()), now.after(valid));
            }
            scheduler.advice_answered(&question, answer, valid, now);
        }
    }

    fn has_ticket(&self, order: &StartOrder, life: &WorkerId, now: Moment) -> bool {
        let until = self.tickets.get(&(order.task.step, life.clone()));
        order.ticket.is_some() && until.is_some_and(|until| now < *until)
    }
}

impl FakeCell {
    /// One turn with a service that takes its time. Starts without a ticket are refused.
    pub fn turn_advised(&mut self, scheduler: &mut Scheduler, service: &mut FakeService) {
        self.pass(scheduler);
        service.answer(scheduler, self.now);
        self.poll_workers(scheduler);
        self.record(scheduler);
        scheduler.schedule(self.now);
        for order in scheduler.take_orders() {
            match &order {
                CellOrder::Ask(question) => service.ask(question, self.now),
                CellOrder::Start(start) => {
                    let life = scheduler.entry(start.worker).life.id.clone();
                    let advised = start.record.policy.advice.is_some();
                    if advised && !service.has_ticket(start, &life, self.now) {
                        let refused = WorkerAnswer::NotDone(WorkerRefusal::Ticket);
                        scheduler.start_answered(start, refused, self.now);
                    } else {
                        self.carry_out(scheduler, &order);
                    }
                }
                CellOrder::Stop(_) => self.carry_out(scheduler, &order),
            }
        }
    }
}
