//! A fake advice service. It answers one question at a time for each box, each after a time that depends on the
//! question, and gives tickets that expire. It can fail for a box, or allow no worker for a time.

use std::collections::HashMap;
use std::sync::Arc;

use sedgehill_cell::ids::{JobId, StepId, WorkerId};
use sedgehill_cell::job::AdvicePolicy;
use sedgehill_cell::scheduler::{
    AdviceQuestion, CellOrder, HelperId, Scheduler, StartOrder, WorkerAnswer, WorkerRefusal,
};
use sedgehill_core::units::Moment;

use super::FakeCell;

/// A fault of the questions that a box asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HelperFault {
    /// The questions fail at once.
    Fails,
    /// The questions are never answered.
    Silent,
    /// The questions take this many times as long as usual.
    Slow(u64),
}

type Answer = Option<Vec<(WorkerId, Arc<str>)>>;

/// Decides whether a worker may run a step.
type AllowedRule = Box<dyn Fn(&StepId, &WorkerId) -> bool>;

/// The advice service.
pub struct FakeService {
    policy: AdvicePolicy,
    /// The costs of questions about jobs that do not have the usual cost.
    pub own_costs: HashMap<JobId, AdvicePolicy>,
    allowed: AllowedRule,
    /// The boxes whose questions have a fault.
    pub faults: HashMap<HelperId, HelperFault>,
    /// Until this time, answers allow no worker.
    pub none_allowed_until: Moment,
    /// When the service will have worked off the questions of each box.
    busy: HashMap<HelperId, Moment>,
    pending: Vec<(Moment, AdviceQuestion, Answer)>,
    /// All questions asked so far, with the time of each.
    pub asked: Vec<(Moment, AdviceQuestion)>,
    tickets: HashMap<(StepId, WorkerId), Moment>,
}

impl FakeService {
    pub fn new(
        policy: AdvicePolicy,
        allowed: impl Fn(&StepId, &WorkerId) -> bool + 'static,
    ) -> FakeService {
        FakeService {
            policy,
            own_costs: HashMap::new(),
            allowed: Box::new(allowed),
            faults: HashMap::new(),
            none_allowed_until: Moment(0),
            busy: HashMap::new(),
            pending: Vec::new(),
            asked: Vec::new(),
            tickets: HashMap::new(),
        }
    }

    /// Returns the questions about a step.
    pub fn asked_about(&self, step: StepId) -> Vec<&(Moment, AdviceQuestion)> {
        self.asked.iter().filter(|(_, question)| question.step == step).collect()
    }

    /// Returns when the service will have worked off all questions.
    pub fn busy_until(&self) -> Moment {
        self.busy.values().copied().max().unwrap_or_default()
    }

    /// Discards the unanswered questions, as when the lead that asked them is gone.
    pub fn discard_questions(&mut self) {
        self.pending.clear();
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
        let started_at = self.busy.get(&question.helper).copied().unwrap_or_default().max(now);
        let due = Moment(started_at.0 + took);
        self.busy.insert(question.helper, due);
        let is_allowed = |id: &&WorkerId| (self.allowed)(&question.step, id);
        let allowed = question.workers.iter().filter(is_allowed).cloned();
        let answer = match due < self.none_allowed_until {
            true => Vec::new(),
            false => allowed.map(|id| (id, Arc::from("ticket"))).collect(),
        };
        self.pending.push((due, question.clone(), answered.then_some(answer)));
    }

    fn answer(&mut self, scheduler: &mut Scheduler, now: Moment) {
        let due: Vec<_> = self.pending.extract_if(.., |(due, ..)| *due <= now).collect();
        for (_, question, answer) in due {
            let valid = self.policy.valid;
            for (id, _) in answer.iter().flatten() {
                self.tickets.insert((question.step, id.clone()), now.after(valid));
            }
            scheduler.advice_answered(&question, answer, valid, now);
        }
    }

    fn has_ticket(&self, order: &StartOrder, id: &WorkerId, now: Moment) -> bool {
        let until = self.tickets.get(&(order.task.step, id.clone()));
        order.ticket.is_some() && until.is_some_and(|until| now < *until)
    }
}

impl FakeCell {
    /// Runs one turn in which the advice service answers questions after their cost. Starts without a valid ticket are
    /// refused.
    pub fn turn_advised(&mut self, scheduler: &mut Scheduler, service: &mut FakeService) {
        self.advance(scheduler);
        service.answer(scheduler, self.now);
        self.poll_workers(scheduler);
        self.record(scheduler);
        scheduler.schedule(self.now);
        for order in scheduler.take_orders() {
            match &order {
                CellOrder::Ask(question) => service.ask(question, self.now),
                CellOrder::Start(start) => {
                    let id = scheduler.entry(start.worker).life.id.clone();
                    let advised = start.record.policy.advice.is_some();
                    if advised && !service.has_ticket(start, &id, self.now) {
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
