//! A log line and a count for each decision of the scheduler.

use sedgehill_cell::scheduler::CellEvent;
use slog::{Logger, info};

use crate::telemetry;

const MILLIS: f64 = 1000.0;

/// Logs and counts a decision.
pub fn note(log: &Logger, event: &CellEvent) {
    count(event);
    write(log, event);
}

fn count(event: &CellEvent) {
    match event {
        CellEvent::Placed { waited, .. } => {
            telemetry::count_cell_event("placed", "");
            telemetry::note_cell_time("sedgehill_cell_wait_seconds", waited.0 as f64 / MILLIS);
        }
        CellEvent::StartFailed { refusal, .. } => {
            let detail = refusal.map_or("no_answer", |refusal| refusal.name());
            telemetry::count_cell_event("start_failed", detail);
        }
        CellEvent::Ended { end, .. } => telemetry::count_cell_event("run_ended", end.name()),
        CellEvent::Stopping { reason, .. } => telemetry::count_cell_event("stopping", reason),
        CellEvent::RunLost { reason, .. } => telemetry::count_cell_event("run_lost", reason),
        CellEvent::Asked { .. } => telemetry::count_cell_event("asked", ""),
        CellEvent::Advised { good, took, .. } => {
            let detail = if good.is_some() { "answered" } else { "failed" };
            telemetry::count_cell_event("advised", detail);
            telemetry::note_cell_time("sedgehill_cell_advice_seconds", took.0 as f64 / MILLIS);
        }
        CellEvent::Held { .. } => telemetry::count_cell_event("held", "limit"),
        CellEvent::JobEnded { state, after, .. } => {
            telemetry::count_cell_event("job_ended", state.name());
            telemetry::note_cell_time("sedgehill_cell_job_seconds", after.0 as f64 / MILLIS);
        }
        CellEvent::Worker { change, .. } => telemetry::count_cell_event("worker", change),
    }
}

fn write(log: &Logger, event: &CellEvent) {
    match event {
        CellEvent::Placed { task, run, worker, waited, ticket_left } => {
            info!(log, "placed"; "task" => %task, "run" => run.0, "worker" => %worker,
                "waited_ms" => waited.0, "ticket_left_ms" => ticket_left.map(|left| left.0));
        }
        CellEvent::StartFailed { task, run, worker, refusal } => {
            info!(log, "start failed"; "task" => %task, "run" => run.0, "worker" => %worker,
                "refusal" => ?refusal);
        }
        CellEvent::Ended { task, run, worker, end } => {
            info!(log, "run ended"; "task" => %task, "run" => run.0, "worker" => %worker,
                "end" => ?end);
        }
        CellEvent::Stopping { task, run, worker, reason } => {
            info!(log, "stopping run"; "task" => %task, "run" => run.0, "worker" => %worker,
                "reason" => reason);
        }
        CellEvent::RunLost { task, run, worker, reason } => {
            info!(log, "run lost"; "task" => %task, "run" => run.0, "worker" => %worker,
                "reason" => reason);
        }
        CellEvent::Asked { step, named, helper } => {
            info!(log, "asked"; "step" => %step, "named" => named, "helper" => helper.0);
        }
        CellEvent::Advised { step, good, took } => {
            info!(log, "advised"; "step" => %step, "good" => good, "took_ms" => took.0);
        }
        CellEvent::Held { step, organisation, running, limit, need } => {
            info!(log, "held back by a limit"; "step" => %step, "organisation" => %organisation,
                "running" => %running, "limit" => %limit, "need" => %need);
        }
        CellEvent::JobEnded { job, state, after } => {
            info!(log, "job ended"; "job" => %job, "state" => ?state, "after_ms" => after.0);
        }
        CellEvent::Worker { worker, change } => {
            info!(log, "worker"; "worker" => %worker, "change" => change);
        }
    }
}
