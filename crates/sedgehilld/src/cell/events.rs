//! A log line for each decision of the scheduler.

use sedgehill_cell::scheduler::CellEvent;
use slog::{Logger, info};

/// Logs a decision.
pub fn log(log: &Logger, event: &CellEvent) {
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
        CellEvent::JobEnded { job, state, after } => {
            info!(log, "job ended"; "job" => %job, "state" => ?state, "after_ms" => after.0);
        }
        CellEvent::Worker { worker, change } => {
            info!(log, "worker"; "worker" => %worker, "change" => change);
        }
    }
}
