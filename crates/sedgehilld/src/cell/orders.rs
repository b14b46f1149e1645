//! Carries out what the scheduler orders.

use std::rc::Rc;
use std::time::{Duration, Instant};

use sedgehill_adapter::advice::AdviceAnswer;
use sedgehill_adapter::http_client::CallLimits;
use sedgehill_adapter::worker::WorkerTarget;
use sedgehill_cell::scheduler::{
    AdviceQuestion, CellOrder, OWN_BOX, StartOrder, StopOrder, WorkerAnswer, WorkerRefusal,
    WorkerTime,
};
use sedgehill_core::units::TimeSpan;
use slog::warn;

use super::frames::{HelperQuestion, PeerFrame};
use super::late;
use super::lead::LeadSession;
use super::roster::{self, target_of};
use super::state::CellBox;
use crate::clock;

/// How long a question may take. The scheduler has it asked elsewhere and gives it up much earlier, by what it costs; a
/// late answer is of use all the same, the only one where the service is slow for every box.
const ADVICE_LIMIT: Duration = Duration::from_millis(20_000);

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

async fn start(host: &Rc<CellBox>, session: &Rc<LeadSession>, order: StartOrder) {
    let target = target_of(session, order.worker);
    session.repeats.borrow_mut().note_first_call();
    let answer = match try_start(host, session, &target, &order).await {
        // The same run again: it begins once at the most, and a worker that left one order unanswered
        // mostly answers the next. Only "done" settles it, since the first copy may still be carried out
        // whatever the second meets.
        WorkerAnswer::Unknown if session.repeats.borrow_mut().try_take() => {
            match try_start(host, session, &target, &order).await {
                WorkerAnswer::Done(clock) => WorkerAnswer::Done(clock),
                WorkerAnswer::NotDone(_) | WorkerAnswer::Unknown => WorkerAnswer::Unknown,
            }
        }
        answer => answer,
    };
    session.scheduler.borrow_mut().start_answered(&order, answer, clock::now());
    session.wake.notify_one();
}

async fn try_start(
    host: &Rc<CellBox>,
    session: &Rc<LeadSession>,
    target: &WorkerTarget,
    order: &StartOrder,
) -> WorkerAnswer<WorkerTime> {
    if !session.may_order(host) {
        return WorkerAnswer::NotDone(WorkerRefusal::Withheld);
    }
    let workers = host.clients.workers.clone();
    let (target, order) = (target.clone(), order.clone());
    let calling = |limits| async move { workers.start(&target, &order, limits).await };
    call_worker(session, calling).await
}

/// Makes a call to a worker and waits for as long as answers of workers usually take. One that comes later
/// tells how long they take now.
async fn call_worker<F>(
    session: &Rc<LeadSession>,
    calling: impl FnOnce(CallLimits) -> F,
) -> WorkerAnswer<WorkerTime>
where
    F: Future<Output = WorkerAnswer<WorkerTime>> + 'static,
{
    let limit = session.order_patience.borrow().timeout();
    let sent = Instant::now();
    let limits = late::limits_for(limit);
    let answering = calling(limits);
    let learning = {
        let session = session.clone();
        async move {
            let answer = answering.await;
            if let WorkerAnswer::Done(_) = answer {
                session.order_patience.borrow_mut().note_answer(sent.elapsed());
            }
            answer
        }
    };
    // A late answer has told all it can once it was learned from.
    let answer = late::wait_for(learning, limits, drop).await;
    answer.unwrap_or(WorkerAnswer::Unknown)
}

async fn stop(host: &Rc<CellBox>, session: &Rc<LeadSession>, order: StopOrder) {
    let target = target_of(session, order.worker);
    let answer = match session.may_order(host) {
        true => {
            let workers = host.clients.workers.clone();
            let (target, order) = (target.clone(), order.clone());
            let calling = |limits| async move { workers.stop(&target, &order, limits).await };
            call_worker(session, calling).await
        }
        false => WorkerAnswer::NotDone(WorkerRefusal::Withheld),
    };
    let answered = matches!(answer, WorkerAnswer::Done(_));
    session.scheduler.borrow_mut().stop_answered(&order, answer, clock::now());
    session.wake.notify_one();
    if answered {
        // An account asked for now tells at once whether there was such a run; the one under way may
        // wait for an end that never comes.
        roster::look(host, session, &target, order.worker).await;
    }
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
        Some(answer) => (Some(answer.allowed), answer.valid),
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
