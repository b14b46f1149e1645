//! The advice service: it answers one question at a time for each box that asks, takes its time, and gives tickets
//! that hold for one step at one life of a worker, for a while.

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

/// How long tickets hold, in milliseconds.
pub const VALID_MS: u64 = 2_000;
/// Questions of one box that may wait, as the users say.
const WAITING_MOST: usize = 32;

/// What the service does about a step.
#[derive(Debug, Clone, Copy, Default)]
pub struct StepAdvice {
    /// How long a question takes, whatever it names.
    pub per_question: Duration,
    /// Further time for each worker that is named.
    pub per_worker: Duration,
    /// How many workers are good for the step; none for all.
    pub allowed_count: Option<usize>,
}

/// What becomes of the questions of a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdviceFault {
    /// They fail at once.
    Fails,
    /// They are not answered.
    Silent,
    /// They take so many times as long.
    Slow(u32),
    /// They are answered with nobody.
    NoneAllowed,
}

/// Tells what the service does about a step, by its id.
pub type AdviceRule = dyn Fn(&str) -> StepAdvice + Send + Sync;

/// One box as the service knows it.
#[derive(Default)]
struct AskingBox {
    turn: tokio::sync::Mutex<()>,
    waiting: AtomicUsize,
    trouble: Mutex<Option<AdviceFault>>,
}

/// The service.
pub struct StandinAdvice {
    workers: Arc<StandinWorkers>,
    count: usize,
    rule: Mutex<Arc<AdviceRule>>,
    boxes: Mutex<Vec<Arc<AskingBox>>>,
}

#[derive(Deserialize)]
struct Question {
    step: String,
    workers: Vec<String>,
}

impl StandinAdvice {
    /// A service for so many workers that answers at once and likes all of them.
    pub fn new(workers: Arc<StandinWorkers>, count: usize) -> StandinAdvice {
        let rule: Arc<AdviceRule> = Arc::new(|_| StepAdvice::default());
        StandinAdvice { workers, count, rule: Mutex::new(rule), boxes: Mutex::default() }
    }

    /// Has it go by a rule from now on.
    pub fn set_rule(&self, rule: impl Fn(&str) -> StepAdvice + Send + Sync + 'static) {
        *self.rule.lock() = Arc::new(rule);
    }

    /// Makes the questions of a box fare worse, or well again.
    pub fn set_fault(&self, number: usize, trouble: Option<AdviceFault>) {
        *self.boxes.lock()[number].trouble.lock() = trouble;
    }

    /// Another box asks. Returns its number.
    pub(super) fn add_box(&self) -> usize {
        let mut boxes = self.boxes.lock();
        boxes.push(Arc::default());
        boxes.len() - 1
    }

    /// Whether a worker is good for a step: as many are as the step's habit says, drawn for each step.
    pub fn is_allowed(&self, step: &str, worker: usize) -> bool {
        let rule = self.rule.lock().clone();
        let Some(good) = rule(step).allowed_count else { return true };
        let place = |number: usize| {
            let mut hasher = DefaultHasher::new();
            (step, number).hash(&mut hasher);
            (hasher.finish(), number)
        };
        let own = place(worker);
        (0..self.count).filter(|other| place(*other) < own).count() < good
    }
}

/// The text of a ticket.
fn ticket(step: &str, life: &str, until_ms: u64) -> String {
    format!("{step}/{life}/{until_ms}")
}

/// Whether a ticket allows a task on a life of a worker now.
pub fn holds(ticket: &str, task: &str, life: &str, now_ms: u64) -> bool {
    let mut parts = ticket.split('/');
    let (step, of, until) = (parts.next(), parts.next(), parts.next());
    let own_step = task.rsplit_once('.').map(|(step, _)| step);
    let until: Option<u64> = until.and_then(|until| until.parse().ok());
    step == own_step && of == Some(life) && until.is_some_and(|until| now_ms < until)
}

/// Answers a question of a box. What a box has asked is worked on though it does not wait any more.
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
        if asking.waiting.fetch_add(1, Ordering::Relaxed) >= WAITING_MOST {
            asking.waiting.fetch_sub(1, Ordering::Relaxed);
            return status(StatusCode::TOO_MANY_REQUESTS);
        }
        let turn = asking.turn.lock().await;
        let response = work(&advice, &asking, &question).await;
        drop(turn);
        asking.waiting.fetch_sub(1, Ordering::Relaxed);
        response
    });
    match working.await {
        Ok(response) => response,
        // The task ends with the stand-in.
        Err(_) => status(StatusCode::SERVICE_UNAVAILABLE),
    }
}

async fn work(advice: &StandinAdvice, asking: &AskingBox, question: &Question) -> JsonResponse {
    let rule = advice.rule.lock().clone();
    let habit = rule(&question.step);
    let cost = habit.per_question + habit.per_worker * question.workers.len() as u32;
    let trouble = *asking.trouble.lock();
    match trouble {
        Some(AdviceFault::Fails) => return status(StatusCode::SERVICE_UNAVAILABLE),
        Some(AdviceFault::Silent) => return std::future::pending().await,
        Some(AdviceFault::Slow(times)) => tokio::time::sleep(cost * times).await,
        Some(AdviceFault::NoneAllowed) | None => tokio::time::sleep(cost).await,
    }
    let until = advice.workers.now_ms() + VALID_MS;
    let is_good = |life: &&String| {
        let number = life.split('-').nth(1).and_then(|number| number.parse().ok());
        let likes = number.is_some_and(|number| advice.is_allowed(&question.step, number));
        likes && trouble != Some(AdviceFault::NoneAllowed)
    };
    let good = question.workers.iter().filter(is_good);
    let good: Vec<(&str, String)> =
        good.map(|life| (life.as_str(), ticket(&question.step, life, until))).collect();
    json(&serde_json::json!({ "good": good, "valid_ms": VALID_MS }))
}
