//! A stand-in for the advice service, which decides which workers may run a step.
//!
//! It works on one question of each box at a time, takes a configurable time for it, and issues tickets that are valid
//! for one step on one life of a worker until they expire.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::{Request, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::Deserialize;

use super::worker::StandinWorkers;
use crate::http_server::{JsonResponse, json, read_json, status};

/// How long a ticket is valid.
pub const TICKET_VALIDITY_MS: u64 = 2_000;
/// Questions of one box that may be open at a time, as the users' service specifies; further ones get status 429.
const MAX_OPEN_QUESTIONS: usize = 32;

/// How the service answers questions about a step.
#[derive(Debug, Clone, Copy, Default)]
pub struct StepAdvice {
    /// Time that each question takes, independent of the number of workers in it.
    pub per_question: Duration,
    /// Additional time for each worker that the question names.
    pub per_worker: Duration,
    /// Number of workers that may run the step; `None` allows all.
    pub allowed_count: Option<usize>,
}

/// A fault of the service for the questions of one box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdviceFault {
    /// Questions fail at once with status 503.
    Fails,
    /// Questions are never answered.
    Silent,
    /// Questions take this many times as long.
    Slow(u32),
    /// Every answer allows no worker.
    NoneAllowed,
}

/// Maps the id of a step to how the service answers questions about it.
pub type AdviceRule = dyn Fn(&str) -> StepAdvice + Send + Sync;

/// The state that the service keeps for one box.
#[derive(Default)]
struct AskingBox {
    /// Held while a question is worked on, so that the questions of a box are answered one after the other.
    turn: tokio::sync::Mutex<()>,
    /// Questions that are worked on or wait for their turn.
    open: AtomicUsize,
    fault: Mutex<Option<AdviceFault>>,
}

/// The advice service.
pub struct StandinAdvice {
    workers: Arc<StandinWorkers>,
    worker_count: usize,
    rule: Mutex<Arc<AdviceRule>>,
    boxes: Mutex<Vec<Arc<AskingBox>>>,
}

#[derive(Deserialize)]
struct Question {
    step: String,
    workers: Vec<String>,
}

impl StandinAdvice {
    /// Creates a service for `worker_count` workers that answers at once and allows all of them.
    pub fn new(workers: Arc<StandinWorkers>, worker_count: usize) -> StandinAdvice {
        let rule: Arc<AdviceRule> = Arc::new(|_| StepAdvice::default());
        StandinAdvice { workers, worker_count, rule: Mutex::new(rule), boxes: Mutex::default() }
    }

    /// Replaces the rule by which questions are answered.
    pub fn set_rule(&self, rule: impl Fn(&str) -> StepAdvice + Send + Sync + 'static) {
        *self.rule.lock() = Arc::new(rule);
    }

    /// Sets the fault that questions of a box meet; `None` ends it.
    pub fn set_fault(&self, number: usize, fault: Option<AdviceFault>) {
        *self.boxes.lock()[number].fault.lock() = fault;
    }

    /// Adds a box that asks questions. Returns its number.
    pub(super) fn add_box(&self) -> usize {
        let mut boxes = self.boxes.lock();
        boxes.push(Arc::default());
        boxes.len() - 1
    }

    /// Returns whether a worker may run a step. Which workers these are is drawn from the hash of the step and the
    /// worker, and their number is [`StepAdvice::allowed_count`].
    pub fn is_allowed(&self, step: &str, worker: usize) -> bool {
        let rule = self.rule.lock().clone();
        let Some(allowed_count) = rule(step).allowed_count else { return true };
        let rank = |number: usize| {
            let mut hasher = DefaultHasher::new();
            (step, number).hash(&mut hasher);
            (hasher.finish(), number)
        };
        let own = rank(worker);
        (0..self.worker_count).filter(|other| rank(*other) < own).count() < allowed_count
    }
}

/// Formats a ticket for a step on a life of a worker. `until_ms` is on the clock of the stand-ins.
fn ticket(step: &str, life: &str, until_ms: u64) -> String {
    format!("{step}/{life}/{until_ms}")
}

/// Returns whether a ticket permits a task on a life of a worker at `now_ms`.
pub fn is_ticket_valid(ticket: &str, task: &str, life: &str, now_ms: u64) -> bool {
    let mut parts = ticket.split('/');
    let (step, ticket_life, until) = (parts.next(), parts.next(), parts.next());
    let task_step = task.rsplit_once('.').map(|(step, _)| step);
    let until: Option<u64> = until.and_then(|until| until.parse().ok());
    step == task_step && ticket_life == Some(life) && until.is_some_and(|until| now_ms < until)
}

/// Answers a question of a box. The work on a question goes on when the box has stopped waiting for the answer.
pub async fn answer(
    advice: Arc<StandinAdvice>,
    number: usize,
    request: Request<Incoming>,
) -> JsonResponse {
    let Some(question) = read_json::<Question>(request).await else {
        return status(StatusCode::BAD_REQUEST);
    };
    let asking = advice.boxes.lock()[number].clone();
    let working = tokio::spawn(async move {
        if asking.open.fetch_add(1, Ordering::Relaxed) >= MAX_OPEN_QUESTIONS {
            asking.open.fetch_sub(1, Ordering::Relaxed);
            return status(StatusCode::TOO_MANY_REQUESTS);
        }
        let turn = asking.turn.lock().await;
        let response = decide(&advice, &asking, &question).await;
        drop(turn);
        asking.open.fetch_sub(1, Ordering::Relaxed);
        response
    });
    match working.await {
        Ok(response) => response,
        // The runtime is shutting down.
        Err(_) => status(StatusCode::SERVICE_UNAVAILABLE),
    }
}

async fn decide(advice: &StandinAdvice, asking: &AskingBox, question: &Question) -> JsonResponse {
    let rule = advice.rule.lock().clone();
    let step_advice = rule(&question.step);
    let duration =
        step_advice.per_question + step_advice.per_worker * question.workers.len() as u32;
    let fault = *asking.fault.lock();
    match fault {
        Some(AdviceFault::Fails) => return status(StatusCode::SERVICE_UNAVAILABLE),
        Some(AdviceFault::Silent) => return std::future::pending().await,
        Some(AdviceFault::Slow(factor)) => tokio::time::sleep(duration * factor).await,
        Some(AdviceFault::NoneAllowed) | None => tokio::time::sleep(duration).await,
    }
    let until = advice.workers.now_ms() + TICKET_VALIDITY_MS;
    let is_allowed = |life: &&String| {
        let number = life.split('-').nth(1).and_then(|number| number.parse().ok());
        let allowed = number.is_some_and(|number| advice.is_allowed(&question.step, number));
        allowed && fault != Some(AdviceFault::NoneAllowed)
    };
    let allowed = question.workers.iter().filter(is_allowed);
    let allowed: Vec<(&str, String)> =
        allowed.map(|life| (life.as_str(), ticket(&question.step, life, until))).collect();
    json(&serde_json::json!({ "good": allowed, "valid_ms": TICKET_VALIDITY_MS }))
}
