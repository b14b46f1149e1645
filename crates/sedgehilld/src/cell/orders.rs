//! Carries out the orders of the scheduler.

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
use super::late_answer;
use super::lead::LeadSession;
use super::state::CellBox;
use super::worker_watch::{self, worker_target};
use crate::clock;

/// Timeout of a question to the advice service. The scheduler asks elsewhere much earlier,
/// depending on what a question costs. A late answer is still useful, and the only one if the
/// service is slow for every box.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(20_000);

/// How long a call to a worker waits for a slot. If the only connection that the worker takes is in
/// use by a call for a report, it is free after 0.7 s.
pub const SLOT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Starts to carry out an order, without waiting for it.
pub fn execute(host: &Rc<CellBox>, session: &Rc<LeadSession>, order: CellOrder) {
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
        CellOrder::Ask(question) => ask_helper(&session, question),
    }
}

async fn start(host: &Rc<CellBox>, session: &Rc<LeadSession>, order: StartOrder) {
    let target = worker_target(session, order.worker);
    session.start_resends.borrow_mut().note_first_call();
    let answer = match try_start(host, session, &target, &order).await {
        // The same start is sent again: the run starts at most once, and a worker that left one
        // order unanswered usually answers the next. Only `Done` settles the outcome, since the
        // first copy may still be carried out whatever happens to the second.
        WorkerAnswer::Unknown
            if may_send_start(session, &order) && session.start_resends.borrow_mut().try_take() =>
        {
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

/// Returns whether a start may still be sent: the worker's hall may have been emptied since it was
/// ordered.
fn may_send_start(session: &LeadSession, order: &StartOrder) -> bool {
    session.scheduler.borrow().may_send_start(order.worker)
}

async fn try_start(
    host: &Rc<CellBox>,
    session: &Rc<LeadSession>,
    target: &WorkerTarget,
    order: &StartOrder,
) -> WorkerAnswer<WorkerTime> {
    let workers = host.clients.workers.clone();
    let Ok(slot) = workers.acquire_slot(target, SLOT_TIMEOUT).await else {
        return WorkerAnswer::NotDone(WorkerRefusal::Unreached);
    };
    if !session.may_order(host) || !may_send_start(session, order) {
        return WorkerAnswer::NotDone(WorkerRefusal::Withheld);
    }
    let (target, order) = (target.clone(), order.clone());
    let call = |limits| async move { workers.start(&target, &order, slot, limits).await };
    call_with_timeout(session, call).await
}

/// Calls a worker and waits for the usual time of an answer. A later answer still updates that
/// time.
async fn call_with_timeout<F>(
    session: &Rc<LeadSession>,
    call: impl FnOnce(CallLimits) -> F,
) -> WorkerAnswer<WorkerTime>
where
    F: Future<Output = WorkerAnswer<WorkerTime>> + 'static,
{
    let timeout = session.order_timeout.borrow().timeout();
    let sent = Instant::now();
    let limits = late_answer::limits_for(timeout);
    let answer = call(limits);
    let measured = {
        let session = session.clone();
        async move {
            let answer = answer.await;
            if let WorkerAnswer::Done(_) = answer {
                session.order_timeout.borrow_mut().note_answer(sent.elapsed());
            }
            answer
        }
    };
    // The late answer itself needs no handling.
    let answer = late_answer::wait_or_detach(measured, limits, drop).await;
    answer.unwrap_or(WorkerAnswer::Unknown)
}

async fn stop(host: &Rc<CellBox>, session: &Rc<LeadSession>, order: StopOrder) {
    let target = worker_target(session, order.worker);
    let answer = try_stop(host, session, &target, &order).await;
    let answered = matches!(answer, WorkerAnswer::Done(_));
    session.scheduler.borrow_mut().stop_answered(&order, answer, clock::now());
    session.wake.notify_one();
    if answered {
        // A report requested now shows at once whether there was such a run; the hold call under
        // way may wait for a run to end that does not exist.
        let no_wait = Some(TimeSpan(0));
        worker_watch::poll_worker(host, session, &target, order.worker, no_wait).await;
    }
}

async fn try_stop(
    host: &Rc<CellBox>,
    session: &Rc<LeadSession>,
    target: &WorkerTarget,
    order: &StopOrder,
) -> WorkerAnswer<WorkerTime> {
    let workers = host.clients.workers.clone();
    let Ok(slot) = workers.acquire_slot(target, SLOT_TIMEOUT).await else {
        return WorkerAnswer::NotDone(WorkerRefusal::Unreached);
    };
    if !session.may_order(host) {
        return WorkerAnswer::NotDone(WorkerRefusal::Withheld);
    }
    let (target, order) = (target.clone(), order.clone());
    let call = |limits| async move { workers.stop(&target, &order, slot, limits).await };
    call_with_timeout(session, call).await
}

async fn ask(host: &CellBox, session: &LeadSession, question: AdviceQuestion) {
    let answer = query_advice_service(host, &HelperQuestion::from(&question)).await;
    deliver_advice(session, &question, answer);
}

/// Asks the advice service from this box. Returns none if it did not answer or there is no such
/// service.
pub async fn query_advice_service(
    host: &CellBox,
    question: &HelperQuestion,
) -> Option<AdviceAnswer> {
    let client = host.clients.advice.as_ref()?;
    match client.ask(question.step, &question.workers, ADVICE_TIMEOUT).await {
        Ok(answer) => Some(answer),
        Err(error) => {
            warn!(host.log, "no advice"; "step" => %question.step, "error" => %error);
            None
        }
    }
}

/// Passes an answer of the advice service to the scheduler.
pub fn deliver_advice(
    session: &LeadSession,
    question: &AdviceQuestion,
    answer: Option<AdviceAnswer>,
) {
    let (allowed, valid) = match answer {
        Some(answer) => (Some(answer.allowed), answer.valid),
        None => (None, TimeSpan(0)),
    };
    session.scheduler.borrow_mut().advice_answered(question, allowed, valid, clock::now());
    session.wake.notify_one();
}

fn ask_helper(session: &LeadSession, question: AdviceQuestion) {
    let frame = PeerFrame::AskAdvice(HelperQuestion::from(&question)).encode();
    let sent = session
        .helpers
        .borrow()
        .get(&question.helper)
        .is_some_and(|queue| queue.try_send(frame).is_ok());
    if !sent {
        deliver_advice(session, &question, None);
    }
}
