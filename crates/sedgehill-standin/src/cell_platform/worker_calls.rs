//! Calls to workers: what becomes of each on its way, and what the worker does.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use http::{Request, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;

use super::advice;
use super::call_fault::CallDelivery;
use super::life::{StandinLife, StandinRun};
use super::spec::{GANG_SPEC, WIDE_SPEC, cores_of, crash_time, failure_time};
use super::worker::{PoolState, STOP_MS, StandinWorkers, TURN, name, run_duration_ms, step_of};
use crate::http_server::{JsonResponse, json, read_json, status};

#[derive(Deserialize, Clone)]
struct Order {
    #[serde(default)]
    task: String,
    #[serde(default)]
    run: u64,
    #[serde(default)]
    deadline_ms: u64,
    fencing_token: u64,
    #[serde(default)]
    last_seen: u64,
    #[serde(default)]
    wait_ms: u64,
    #[serde(default)]
    spec: String,
    ticket: Option<String>,
    /// How much later than it was sent it is carried out.
    #[serde(skip)]
    held: Duration,
}

/// An order on its way to one life at one address.
#[derive(Clone)]
struct Call {
    number: usize,
    path: String,
    life: Option<String>,
    order: Order,
}

/// Answers an order to one worker, late if that was asked for.
pub async fn answer(
    pool: Arc<StandinWorkers>,
    number: usize,
    request: Request<Incoming>,
) -> JsonResponse {
    let path = request.uri().path().to_owned();
    let intended = request.headers().get("target-instance");
    let life = intended.and_then(|life| life.to_str().ok()).map(str::to_owned);
    let Some(order) = read_json::<Order>(request).await else {
        return status(StatusCode::BAD_REQUEST);
    };
    let trouble = pool.state.lock().sites[number].trouble;
    let fate = pool.fault_injector.draw(trouble, order.fencing_token);
    let mut call = Call { number, path, life, order };
    let mut late = Duration::from_millis(pool.delay_ms.load(Ordering::Relaxed));
    match fate {
        CallDelivery::Answered => {}
        CallDelivery::AnsweredAfter(after) => late += after,
        CallDelivery::Lost => return std::future::pending().await,
        CallDelivery::Unanswered(after) => {
            call.order.held = after;
            tokio::spawn(async move {
                tokio::time::sleep(after).await;
                obey(&pool, &call).await
            });
            return std::future::pending().await;
        }
    }
    let response = obey(&pool, &call).await;
    tokio::time::sleep(late).await;
    response
}

async fn obey(pool: &StandinWorkers, call: &Call) -> JsonResponse {
    let deadline = Instant::now() + Duration::from_millis(call.order.wait_ms);
    let lives = pool.lives(call.number);
    loop {
        let waits = Instant::now() < deadline;
        // A process that ends takes along the calls that wait there: the next one does not carry them out again.
        if pool.lives(call.number) != lives {
            return std::future::pending().await;
        }
        match try_obey(pool, call, waits) {
            Obeyed::Answer(response) => return response,
            // A machine without a process says nothing.
            Obeyed::Nobody => return std::future::pending().await,
            Obeyed::Waits => tokio::time::sleep(TURN).await,
        }
    }
}

enum Obeyed {
    Answer(JsonResponse),
    Nobody,
    Waits,
}

fn try_obey(pool: &StandinWorkers, call: &Call, waits: bool) -> Obeyed {
    let now = pool.now_ms();
    let state = &mut *pool.state.lock();
    state.settle(now);
    let order = &call.order;
    let Some(life) = &mut state.sites[call.number].life else { return Obeyed::Nobody };
    if call.life.as_ref() != Some(&life.name) {
        return Obeyed::Answer(status(StatusCode::MISDIRECTED_REQUEST));
    }
    let clock = life.clock.at(now);
    if order.fencing_token < life.token {
        return Obeyed::Answer(refuse("fence", clock));
    }
    life.token = order.fencing_token;
    Obeyed::Answer(match call.path.as_str() {
        "/sedgehill/run-start" => start(state, call, now),
        "/sedgehill/run-stop" => {
            life.stop(&order.task, order.run, now + STOP_MS);
            json(&serde_json::json!({ "clock_ms": clock }))
        }
        "/sedgehill/hold" => {
            life.lease(order.deadline_ms, now);
            let seen = life.acknowledge(order.last_seen);
            let quiet = life.ends.is_empty();
            if quiet && waits {
                state.oracle.note_ends(&seen);
                return Obeyed::Waits;
            }
            let account = account(life, clock);
            state.oracle.note_listed(&life.ends);
            let listed = match pool.delay_ms.load(Ordering::Relaxed) {
                0 => Vec::new(),
                _ => life.ends.clone(),
            };
            state.oracle.note_ends(&seen);
            state.oracle.note_ends(&listed);
            account
        }
        _ => status(StatusCode::NOT_FOUND),
    })
}

fn refuse(reason: &str, clock: u64) -> JsonResponse {
    let mut response = json(&serde_json::json!({ "reason": reason, "clock_ms": clock }));
    *response.status_mut() = StatusCode::CONFLICT;
    response
}

fn account(life: &StandinLife, clock: u64) -> JsonResponse {
    let running: Vec<(&str, u64, &str, u64)> =
        life.runs.iter().map(|(task, run)| (task.as_str(), run.run, "", 100)).collect();
    let ended: Vec<(u64, &str, u64, &str, &str)> =
        life.ends.iter().map(|end| (end.number, end.task.as_str(), end.run, end.how, "")).collect();
    let mut account =
        serde_json::json!({ "clock_ms": clock, "running": running, "ended_at": ended });
    if let Some(born) = life.born {
        account["born"] = born.into();
    }
    json(&account)
}

fn start(state: &mut PoolState, call: &Call, now: u64) -> JsonResponse {
    let (order, number) = (&call.order, call.number);
    let span = run_duration_ms(step_of(&order.task), &state.run_ms);
    let Some(life) = &mut state.sites[number].life else { return status(StatusCode::NOT_FOUND) };
    let clock = life.clock.at(now);
    let ticket = order.ticket.as_deref().unwrap_or_default();
    if !advice::holds(ticket, &order.task, &life.name, now) {
        return refuse("ticket", clock);
    }
    if order.deadline_ms < clock {
        return refuse("late", clock);
    }
    life.lease(order.deadline_ms, now);
    if life.runs.get(&order.task).is_some_and(|run| run.run == order.run) {
        // The same order again.
        return json(&serde_json::json!({ "clock_ms": clock }));
    }
    if life.refuses(&order.task, order.run) {
        return refuse("old", clock);
    }
    let told = format!(
        "run {} at {} by lead {}, begun at {now} ms, carried out {} ms late",
        order.run,
        life.name,
        order.fencing_token,
        order.held.as_millis()
    );
    let PoolState { sites, oracle, .. } = state;
    let lives: Vec<&StandinLife> = sites.iter().flat_map(|site| &site.life).collect();
    oracle.note_start(&order.task, now, &told, &lives);
    if order.spec == GANG_SPEC || order.spec.starts_with(WIDE_SPEC) {
        oracle.note_gangs(&order.task);
    }
    let crashes_at = crash_time(&order.task, &order.spec).map(|after| now + after);
    if crashes_at.is_some() && order.held.is_zero() {
        oracle.note_crashing_start(&order.task, &told);
    }
    sites[number].starts += 1;
    if let Some(life) = &mut sites[number].life {
        let (run, cores) = (order.run, cores_of(&order.spec));
        let fails_at = failure_time(&order.task, run, &order.spec).map(|after| now + after);
        let stops_at = None;
        let run = StandinRun { run, begun: now, span, cores, stops_at, crashes_at, fails_at, told };
        life.runs.insert(order.task.clone(), run);
    }
    if state.is_over_size(number, now) {
        let name = name(number, state.sites[number].ids - 1);
        state.oracle.violations.push(format!("{name} is over its size"));
    }
    let PoolState { sites, oracle, .. } = state;
    let lives: Vec<&StandinLife> = sites.iter().flat_map(|site| &site.life).collect();
    oracle.check_bounds(&lives);
    json(&serde_json::json!({ "clock_ms": clock }))
}
