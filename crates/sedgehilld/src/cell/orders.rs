//! Carries out what the scheduler orders.

use std::rc::Rc;
use std::time::Duration;

use sedgehill_adapter::advice::AdviceAnswer;
use sedgehill_cell::scheduler::{
    AdviceQuestion, CellOrder, OWN_BOX, StartOrder, StopOrder, WorkerAnswer, WorkerRefusal,
};
use sedgehill_core::units::TimeSpan;
use slog::warn;

use super::frames::{HelperQuestion, PeerFrame};
use super::lead::LeadSession;
use super::roster::target_of;
use super::state::CellBox;
use crate::clock;

/// How long a start or a stop may take.
const ORDER_LIMIT: Duration = Duration::from_millis(400);
/// How long a question may take. The scheduler gives it up earlier, by what it costs.
const ADVICE_LIMIT: Duration = Duration::from_millis(4_000);

/// Carries out an order without waiting for it.
pub fn carry_out(host: &Rc<CellBox>, session: &Rc<LeadSession>, order: CellOrder) {
    let (host, session) = (host.clone(), session.clone());
    match order {
        CellOrder::Start(order) => {
            tokio::task::spawn_local(async move { start(&host, &session, order).await });
        }
        CellOrder::Stop(order) => {
            tokio::task::spawn_local(async move { stop(&host, &session, order).await });
        }
        CellOrder::Ask(question) if question.helper == OWN_BOX => {
            tokio::task::spawn_local(async move { ask(&host, &session, question).await });
        }
        CellOrder::Ask(question) => delegate(&session, question),
    }
}

async fn start(host: &CellBox, session: &LeadSession, order: StartOrder) {
    let target = target_of(session, order.worker);
    let answer = match session.may_order(host) {
        true => host.clients.workers.start(&target, &order, session.token, ORDER_LIMIT).await,
        false => WorkerAnswer::NotDone(WorkerRefusal::Withheld),
    };
    session.scheduler.borrow_mut().start_answered(&order, answer, clock::now());
    session.wake.notify_one();
}

async fn stop(host: &CellBox, session: &LeadSession, order: StopOrder) {
    let target = target_of(session, order.worker);
    let answer = match session.may_order(host) {
        true => host.clients.workers.stop(&target, &order, session.token, ORDER_LIMIT).await,
        false => WorkerAnswer::NotDone(WorkerRefusal::Withheld),
    };
    session.scheduler.borrow_mut().stop_answered(&order, answer, clock::now());
    session.wake.notify_one();
}

async fn ask(host: &CellBox, session: &LeadSession, question: AdviceQuestion) {
    let answer = ask_service(host, &HelperQuestion::from(&question)).await;
    take_advice(session, &question, answer);
}

/// Asks the advice service from this box.
pub async fn ask_service(host: &CellBox, question: &HelperQuestion) -> Option<AdviceAnswer> {
    let client = host.clients.advice.as_ref()?;
    match client.ask(question.step, &question.workers, ADVICE_LIMIT).await {
        Ok(answer) => Some(answer),
        Err(error) => {
            warn!(host.log, "no advice"; "step" => %question.step, "error" => %error);
            None
        }
    }
}

/// Hands an answer to the scheduler.
pub fn take_advice(session: &LeadSession, question: &AdviceQuestion, answer: Option<AdviceAnswer>) {
    let (good, valid) = match answer {
        Some(answer) => (Some(answer.good), answer.valid),
        None => (None, TimeSpan(0)),
    };
    session.scheduler.borrow_mut().advice_answered(question, good, valid, clock::now());
    session.wake.notify_one();
}

fn delegate(session: &LeadSession, question: AdviceQuestion) {
    let frame = PeerFrame::Ask(HelperQuestion::from(&question)).encode();
    let sent = session
        .helpers
        .borrow()
        .get(&question.helper)
        .is_some_and(|queue| queue.try_send(frame).is_ok());
    if !sent {
        take_advice(session, &question, None);
    }
}
