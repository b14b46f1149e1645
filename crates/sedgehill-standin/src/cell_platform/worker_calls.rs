//! Calls of boxes to workers: their delivery, with injected faults, and their execution.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use http::{Request, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;

use super::advice;
use super::call_fault::CallDelivery;
use super::life::{StandinEnd, StandinLife, StandinRun};
use super::spec::{GANG_SPEC, WIDE_SPEC, cores_of, crash_time, failure_time};
use super::worker::{
    POLL_INTERVAL, PoolState, STOP_DURATION_MS, StandinWorkers, hall_name, run_duration_ms,
    step_of, worker_id,
};
use crate::http_server::{JsonResponse, json, read_json, status};

/// The most ends in one answer. The others are listed once these are acknowledged.
const MAX_LISTED_ENDS: usize = 500;

/// The body of a call. Which fields it has depends on the path.
#[derive(Deserialize, Clone)]
struct WorkerOrder {
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
    /// Injected delay between sending and execution.
    #[serde(skip)]
    delay: Duration,
}

/// A call to the worker at one address.
#[derive(Clone)]
struct WorkerCall {
    number: usize,
    path: String,
    /// The id of the life that the call is meant for.
    life: Option<String>,
    order: WorkerOrder,
}

/// Answers a call to a worker, as the faults of its path and the delay of answers have it.
pub async fn answer(
    pool: Arc<StandinWorkers>,
    number: usize,
    request: Request<Incoming>,
) -> JsonResponse {
    let path = request.uri().path().to_owned();
    let intended = request.headers().get("target-instance");
    let life = intended.and_then(|life| life.to_str().ok()).map(str::to_owned);
    let Some(order) = read_json::<WorkerOrder>(request).await else {
        return status(StatusCode::BAD_REQUEST);
    };
    let fault = pool.state.lock().sites[number].path_fault;
    let delivery = pool.fault_injector.draw(fault, order.fencing_token);
    let mut call = WorkerCall { number, path, life, order };
    let mut answer_delay = Duration::from_millis(pool.answer_delay_ms.load(Ordering::Relaxed));
    match delivery {
        CallDelivery::Answered => {}
        CallDelivery::AnsweredAfter(delay) => answer_delay += delay,
        CallDelivery::Lost => return std::future::pending().await,
        CallDelivery::Unanswered(delay) => {
            call.order.delay = delay;
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                execute(&pool, &call).await
            });
            return std::future::pending().await;
        }
    }
    let response = execute(&pool, &call).await;
    tokio::time::sleep(answer_delay).await;
    response
}

/// Executes a call, and repeats that for a call that may wait until there is something to answer.
async fn execute(pool: &StandinWorkers, call: &WorkerCall) -> JsonResponse {
    let deadline = Instant::now() + Duration::from_millis(call.order.wait_ms);
    let life_count = pool.life_count(call.number);
    loop {
        let may_wait = Instant::now() < deadline;
        // Calls that wait at a process end with it; the next process does not execute them.
        if pool.life_count(call.number) != life_count {
            return std::future::pending().await;
        }
        match try_execute(pool, call, may_wait) {
            CallProgress::Answered(response) => return response,
            // No process runs, so that nothing answers.
            CallProgress::NoProcess => return std::future::pending().await,
            CallProgress::Waiting => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

enum CallProgress {
    Answered(JsonResponse),
    NoProcess,
    Waiting,
}

fn try_execute(pool: &StandinWorkers, call: &WorkerCall, may_wait: bool) -> CallProgress {
    let now = pool.now_ms();
    let state = &mut *pool.state.lock();
    state.advance(now);
    let order = &call.order;
    let Some(life) = &mut state.sites[call.number].life else { return CallProgress::NoProcess };
    if call.life.as_ref() != Some(&life.name) {
        return CallProgress::Answered(status(StatusCode::MISDIRECTED_REQUEST));
    }
    let clock = life.clock.reading_at(now);
    if order.fencing_token < life.token {
        return CallProgress::Answered(refuse("fence", clock));
    }
    life.token = order.fencing_token;
    CallProgress::Answered(match call.path.as_str() {
        "/sedgehill/run-start" => start(state, call, now),
        "/sedgehill/run-stop" => {
            life.stop(&order.task, order.run, now + STOP_DURATION_MS);
            json(&serde_json::json!({ "clock_ms": clock }))
        }
        "/sedgehill/hold" => {
            life.extend_lease(order.deadline_ms, now);
            let acknowledged = life.acknowledge(order.last_seen);
            let has_no_ends = life.ends.is_empty();
            if has_no_ends && may_wait {
                state.oracle.record_acknowledged_ends(&acknowledged);
                return CallProgress::Waiting;
            }
            let listed = &life.ends[..life.ends.len().min(MAX_LISTED_ENDS)];
            let report = build_report(life, listed, clock);
            state.oracle.record_reported_ends(listed);
            // Delayed answers always arrive, so that the ends in them count as acknowledged.
            let delivered = match pool.answer_delay_ms.load(Ordering::Relaxed) {
                0 => Vec::new(),
                _ => listed.to_vec(),
            };
            state.oracle.record_acknowledged_ends(&acknowledged);
            state.oracle.record_acknowledged_ends(&delivered);
            report
        }
        _ => status(StatusCode::NOT_FOUND),
    })
}

fn refuse(reason: &str, clock: u64) -> JsonResponse {
    let mut response = json(&serde_json::json!({ "reason": reason, "clock_ms": clock }));
    *response.status_mut() = StatusCode::CONFLICT;
    response
}

fn build_report(life: &StandinLife, listed: &[StandinEnd], clock: u64) -> JsonResponse {
    let running: Vec<(&str, u64, &str, u64)> =
        life.runs.iter().map(|(task, run)| (task.as_str(), run.run, "", 100)).collect();
    let ended: Vec<(u64, &str, u64, &str, &str)> = listed
        .iter()
        .map(|end| (end.number, end.task.as_str(), end.run, end.outcome, ""))
        .collect();
    let mut report =
        serde_json::json!({ "clock_ms": clock, "running": running, "ended_at": ended });
    if let Some(born) = life.born {
        report["born"] = born.into();
    }
    json(&report)
}

fn start(state: &mut PoolState, call: &WorkerCall, now: u64) -> JsonResponse {
    let (order, number) = (&call.order, call.number);
    let slowness = match state.slow_workers {
        Some((stride, factor)) if number.is_multiple_of(stride) => factor,
        _ => 1,
    };
    let duration = slowness * run_duration_ms(step_of(&order.task), &state.run_ms);
    let Some(life) = &mut state.sites[number].life else { return status(StatusCode::NOT_FOUND) };
    let clock = life.clock.reading_at(now);
    let ticket = order.ticket.as_deref().unwrap_or_default();
    if !advice::is_ticket_valid(ticket, &order.task, &life.name, now) {
        return refuse("ticket", clock);
    }
    if order.deadline_ms < clock {
        return refuse("late", clock);
    }
    life.extend_lease(order.deadline_ms, now);
    if life.runs.get(&order.task).is_some_and(|run| run.run == order.run) {
        // A repeated order for a run that has begun.
        return json(&serde_json::json!({ "clock_ms": clock }));
    }
    if life.refuses(&order.task, order.run) {
        return refuse("old", clock);
    }
    let description = format!(
        "run {} at {} by lead {}, begun at {now} ms, executed {} ms late",
        order.run,
        life.name,
        order.fencing_token,
        order.delay.as_millis()
    );
    let PoolState { sites, oracle, .. } = state;
    let lives: Vec<&StandinLife> = sites.iter().flat_map(|site| &site.life).collect();
    oracle.record_start(&order.task, now, &description, &lives);
    if order.delay.is_zero() {
        oracle.record_hall_start(&order.task, &hall_name(number), now, &description);
    }
    if order.spec == GANG_SPEC || order.spec.starts_with(WIDE_SPEC) {
        oracle.mark_gang_job(&order.task);
    }
    let crashes_at = crash_time(&order.task, &order.spec).map(|after| now + after);
    if crashes_at.is_some() && order.delay.is_zero() {
        oracle.record_crashing_start(&order.task, &description);
    }
    sites[number].starts += 1;
    if let Some(life) = &mut sites[number].life {
        let (run, cores) = (order.run, cores_of(&order.spec));
        let fails_at = failure_time(&order.task, run, &order.spec).map(|after| now + after);
        let stops_at = None;
        let run = StandinRun {
            run,
            started_at: now,
            duration,
            cores,
            stops_at,
            crashes_at,
            fails_at,
            description,
        };
        life.runs.insert(order.task.clone(), run);
    }
    if state.exceeds_capacity(number, now) {
        let worker_id = worker_id(number, state.sites[number].id_count - 1);
        state.oracle.violations.push(format!("{worker_id} runs more than its capacity"));
    }
    let PoolState { sites, oracle, .. } = state;
    let lives: Vec<&StandinLife> = sites.iter().flat_map(|site| &site.life).collect();
    oracle.check_task_limits(&lives);
    json(&serde_json::json!({ "clock_ms": clock }))
}
