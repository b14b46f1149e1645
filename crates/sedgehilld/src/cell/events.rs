//! Logs and counts the decisions of the scheduler.

use sedgehill_cell::ids::{CellTask, FencingToken, WorkerLife};
use sedgehill_cell::scheduler::{
    AdmissionInputs, CellEvent, KnownTaskState, LimitResource, LossCause, SettlementCause,
    SpeedStats, TakeOverSettled,
};
use slog::{KV, Logger, Record, Serializer, info, warn};

use crate::telemetry;

const MILLIS_PER_SECOND: f64 = 1000.0;
/// The most tasks that one log line names.
const MAX_LISTED_TASKS: usize = 5;

/// Logs and counts a decision of the lead that holds `token`.
pub fn record_event(log: &Logger, token: FencingToken, event: &CellEvent) {
    count_event(event);
    log_event(log, token, event);
}

fn count_event(event: &CellEvent) {
    match event {
        CellEvent::Placed { waited, earlier, without_run, .. } => {
            telemetry::count_cell_event("placed", "");
            if let Some(span) = without_run {
                telemetry::note_cell_time(
                    "sedgehill_cell_restart_seconds",
                    span.0 as f64 / MILLIS_PER_SECOND,
                );
            }
            if let Some(earlier) = earlier {
                telemetry::count_earlier_start(earlier.name());
            }
            telemetry::note_cell_time(
                "sedgehill_cell_wait_seconds",
                waited.0 as f64 / MILLIS_PER_SECOND,
            );
        }
        CellEvent::StartFailed { refusal, .. } => {
            let detail = refusal.map_or("no_answer", |refusal| refusal.name());
            telemetry::count_cell_event("start_failed", detail);
        }
        CellEvent::Ended { end, .. } => telemetry::count_cell_event("run_ended", end.name()),
        CellEvent::Stopping { reason, .. } => telemetry::count_cell_event("stopping", reason),
        CellEvent::RunLost { cause, .. } => {
            telemetry::count_cell_event("run_lost", cause.name());
            telemetry::count_run_lost(cause.name());
        }
        CellEvent::LossUnresolved { .. } => telemetry::count_crash("open", ""),
        CellEvent::LossUnheard { .. } => telemetry::count_crash("unheard", ""),
        CellEvent::EntryPassedOver { .. } => telemetry::count_cell_event("entry", "passed_over"),
        CellEvent::LossForgotten { .. } => telemetry::count_crash("forgotten", ""),
        CellEvent::FurtherStart { .. } => telemetry::count_crash("further_start", ""),
        CellEvent::LossCleared { .. } => telemetry::count_crash("cleared", ""),
        CellEvent::CrashCounted { detected_by, .. } => {
            telemetry::count_crash("counted", detected_by.name())
        }
        CellEvent::CorrelatedCrash { .. } => telemetry::count_crash("together", ""),
        CellEvent::UnansweredStartLost { .. } => telemetry::count_crash("unanswered", ""),
        CellEvent::TaskGivenUp { .. } => telemetry::count_crash("given_up", ""),
        CellEvent::RunAdopted { .. } => telemetry::count_run_found("adopted"),
        CellEvent::RunUnwanted { .. } => telemetry::count_run_found("unwanted"),
        CellEvent::AdviceRequested { .. } => telemetry::count_cell_event("asked", ""),
        CellEvent::AdviceReceived { allowed, took, .. } => {
            let detail = if allowed.is_some() { "answered" } else { "failed" };
            telemetry::count_cell_event("advised", detail);
            if let Some(took) = took {
                telemetry::note_cell_time(
                    "sedgehill_cell_advice_seconds",
                    took.0 as f64 / MILLIS_PER_SECOND,
                );
            }
        }
        CellEvent::AdviceOverdue { .. } => telemetry::count_cell_event("advice_overdue", ""),
        CellEvent::LimitReached { .. } => telemetry::count_cell_event("held", "limit"),
        CellEvent::Stalled { reason, .. } => telemetry::count_cell_event("stalled", reason.name()),
        CellEvent::RestartLate { reason, .. } => {
            telemetry::count_cell_event("restart_late", reason.name());
        }
        CellEvent::JobEnded { state, after, .. } => {
            telemetry::count_cell_event("job_ended", state.name());
            telemetry::note_cell_time(
                "sedgehill_cell_job_seconds",
                after.0 as f64 / MILLIS_PER_SECOND,
            );
        }
        CellEvent::WorkerChanged { change, .. } => telemetry::count_cell_event("worker", change),
        CellEvent::WorkerHeard { .. } => telemetry::count_cell_event("worker", "answers"),
        CellEvent::WorkerEnded { .. } => telemetry::count_cell_event("worker", "ended"),
        CellEvent::WorkerRestarted { .. } => telemetry::count_cell_event("worker", "started again"),
        CellEvent::ReportIgnored { .. } => telemetry::count_cell_event("worker", "account unused"),
        CellEvent::ReportPartial { .. } => telemetry::count_cell_event("worker", "partial report"),
        CellEvent::FencedByWorker { .. } => telemetry::count_cell_event("fenced_by_worker", ""),
        CellEvent::TakeOverSettled(settled) => telemetry::count_settled(settled.by.name()),
        CellEvent::JobLedElsewhere { .. } => telemetry::count_cell_event("marked_late", ""),
        CellEvent::SpeedsInherited { .. } => telemetry::count_cell_event("speeds", "inherited"),
        CellEvent::SpeedsInEffect(stats) => {
            let detail = if stats.in_effect { "in_effect" } else { "not_in_effect" };
            telemetry::count_cell_event("speeds", detail);
        }
        CellEvent::LimitPreempted { organisation, key, binding, stopped, .. } => {
            let binding = binding.map_or("none", LimitResource::name);
            telemetry::count_limit_preemption(organisation, *key, binding, stopped.len());
        }
        CellEvent::LimitBackfilled { organisation, key, tasks, .. } => {
            telemetry::count_limit_backfill(organisation, *key, *tasks);
        }
        CellEvent::AdmissionDecided { outcome, .. } => {
            telemetry::count_cell_event("admission", outcome.reason.name());
        }
    }
}

fn log_event(log: &Logger, token: FencingToken, event: &CellEvent) {
    match event {
        CellEvent::Placed {
            task,
            run,
            worker,
            waited,
            ticket_left,
            earlier,
            without_run,
            speed,
        } => {
            info!(log, "placed"; SettlementField(*earlier), "token" => %token,
                "task" => %task, "run" => run.0, "worker" => %worker,
                "waited_ms" => waited.0, "ticket_left_ms" => ticket_left.map(|left| left.0),
                "without_run_ms" => without_run.map(|span| span.0),
                "speed" => speed.map(|speed| speed.factor()));
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
        CellEvent::RunLost { task, run, worker, cause } => {
            info!(log, "run lost"; "token" => %token, LossCauseFields(cause), "task" => %task, "run" => run.0,
                "worker" => %worker, "reason" => cause.name());
        }
        CellEvent::LossUnresolved { task, run, worker } => {
            info!(log, "crash not known"; "token" => %token, "task" => %task, "run" => run.0, "worker" => %worker);
        }
        CellEvent::LossUnheard { task, run, worker } => {
            info!(log, "loss unheard"; "token" => %token, "task" => %task, "run" => run.0, "worker" => %worker);
        }
        CellEvent::EntryPassedOver { worker, pool } => {
            warn!(log, "worker of an unnamed pool passed over"; "token" => %token, "worker" => %worker, "pool" => %pool);
        }
        CellEvent::LossForgotten { task, run, worker } => {
            info!(log, "loss forgotten"; "token" => %token, "task" => %task, "run" => run.0, "worker" => %worker);
        }
        CellEvent::FurtherStart { task, run, count } => {
            info!(log, "start after crashes"; "token" => %token, "task" => %task, "run" => run.0, "count" => count);
        }
        CellEvent::LossCleared { task, run, worker } => {
            info!(log, "no crash"; "token" => %token, "task" => %task, "run" => run.0, "worker" => %worker);
        }
        CellEvent::CrashCounted {
            task,
            run,
            worker,
            alone,
            seen,
            other_runs,
            detected_by,
            count,
        } => {
            info!(log, "crash counted"; "token" => %token, "task" => %task, "run" => run.0, "worker" => %worker,
                "alone" => alone, "seen" => seen, "beside" => other_runs, "told_by" => detected_by.name(), "count" => count);
        }
        CellEvent::CorrelatedCrash { task, run, worker, others } => {
            info!(log, "lost together"; "token" => %token, "task" => %task, "run" => run.0, "worker" => %worker,
                "others" => others);
        }
        CellEvent::UnansweredStartLost { task, run, worker, count } => {
            info!(log, "lost unanswered"; "token" => %token, "task" => %task, "run" => run.0, "worker" => %worker,
                "count" => count);
        }
        CellEvent::TaskGivenUp { task, workers } => {
            let names: Vec<String> = workers.iter().map(WorkerLife::to_string).collect();
            warn!(log, "task given up"; "token" => %token, "task" => %task, "crashed" => names.join(" "));
        }
        CellEvent::RunAdopted { task, run, worker } => {
            info!(log, "run adopted"; "token" => %token, "task" => %task, "run" => run.0, "worker" => %worker);
        }
        CellEvent::RunUnwanted { task, run, worker, known_state } => {
            info!(log, "run not wanted"; "token" => %token, KnownStateFields(known_state), "task" => %task, "run" => run.0,
                "worker" => %worker);
        }
        CellEvent::AdviceRequested { step, named, helper, class, time_left, waited } => {
            info!(log, "asked"; "step" => %step, "named" => named, "helper" => helper.0, "class" => class.name(),
                "time_left_ms" => time_left.0, "waited_ms" => waited.0);
        }
        CellEvent::AdviceReceived { step, helper, allowed, took } => {
            info!(log, "advised"; "step" => %step, "good" => allowed, "helper" => helper.0,
                "took_ms" => took.map(|took| took.0));
        }
        CellEvent::AdviceOverdue { step, helper } => {
            info!(log, "advice overdue"; "step" => %step, "helper" => helper.0);
        }
        CellEvent::LimitReached { step, organisation, running, limit, need } => {
            info!(log, "held back by a limit"; "step" => %step, "organisation" => %organisation,
                "running" => %running, "limit" => %limit, "need" => %need);
        }
        CellEvent::Stalled { step, reason, stalled_for, details } => {
            warn!(log, "step stalled"; "token" => %token, "step" => %step, "reason" => %reason,
                "stalled_ms" => stalled_for.0, "waiting" => details.waiting, "places" => details.places,
                "places_good" => details.places_allowed, "places_unknown" => details.places_unknown,
                "places_shunned" => details.places_untrusted, "good" => details.allowed, "not_good" => details.rejected, "tickets" => details.tickets,
                "shunned" => details.untrusted,
                "share_percent" => details.share_percent, "asking" => details.asking,
                "asked_ms_ago" => details.asked_ago.map(|ago| ago.0));
        }
        CellEvent::RestartLate { task, cause, without_run, reason, ahead, details } => {
            warn!(log, "task without a run"; "token" => %token, "task" => %task, "cause" => %cause,
                "without_run_ms" => without_run.0, "reason" => %reason, "ahead" => ahead,
                "places" => details.places, "places_good" => details.places_allowed,
                "places_unknown" => details.places_unknown, "places_shunned" => details.places_untrusted,
                "shunned" => details.untrusted, "good" => details.allowed,
                "not_good" => details.rejected, "tickets" => details.tickets, "asking" => details.asking,
                "asked_ms_ago" => details.asked_ago.map(|ago| ago.0));
        }
        CellEvent::JobEnded { job, state, after } => {
            info!(log, "job ended"; "job" => %job, "state" => ?state, "after_ms" => after.0);
        }
        CellEvent::WorkerChanged { worker, change, address } => {
            info!(log, "worker"; "worker" => %worker, "change" => change, "address" => %address);
        }
        CellEvent::WorkerHeard { worker, inherited, running, ended, clock, lease_until, after } => {
            info!(log, "worker heard"; "token" => %token, "worker" => %worker, "inherited" => inherited,
                "running" => running, "ended" => ended, "clock" => clock.0,
                "lease_until" => lease_until.0, "after_ms" => after.0);
        }
        CellEvent::WorkerEnded { worker, address, call, runs, silent } => {
            info!(log, "worker ended"; "token" => %token, "worker" => %worker, "address" => %address,
                "call" => call.name(), "runs" => runs, "silent_ms" => silent.map(|silent| silent.0));
        }
        CellEvent::WorkerRestarted { worker, next, token: fence, runs, acknowledged, silent } => {
            info!(log, "worker started again"; "token" => %token, "worker" => %worker, "next" => %next,
                "next_token" => fence.map(|fence| fence.0), "runs" => runs, "acknowledged" => acknowledged,
                "silent_ms" => silent.map(|silent| silent.0));
        }
        CellEvent::ReportIgnored { worker, start } => {
            warn!(log, "account of another life or none"; "token" => %token, "worker" => %worker,
                "born" => start.map(|start| start.0));
        }
        CellEvent::ReportPartial { worker, ended, acknowledged, kept } => {
            info!(log, "report lists only the first ends"; "token" => %token, "worker" => %worker,
                "ended" => ended, "acknowledged" => acknowledged, "runs_kept" => kept);
        }
        CellEvent::FencedByWorker { worker, call } => {
            info!(log, "fenced by a worker"; "token" => %token, "worker" => %worker, "call" => call.name());
        }
        CellEvent::TakeOverSettled(settled) => log_settled_take_over(log, token, settled),
        CellEvent::JobLedElsewhere { job, after } => {
            info!(log, "job marked by another lead"; "token" => %token, "job" => %job, "after_ms" => after.0);
        }
        CellEvent::SpeedsInherited { machines, known, queues, age } => {
            info!(log, "worker speeds taken over"; "token" => %token, "workers" => machines,
                "known" => known, "queues" => queues, "age_ms" => age.map(|age| age.0));
        }
        CellEvent::SpeedsInEffect(SpeedStats { pool, spread, in_effect }) => {
            info!(log, "worker speeds in effect"; "token" => %token, "pool" => %pool,
                "in_effect" => in_effect, "spread" => spread.ratio, "slow" => spread.slow,
                "known" => spread.known, "workers" => spread.workers);
        }
        CellEvent::LimitPreempted { .. } => log_limit_preemption(log, token, event),
        CellEvent::LimitBackfilled {
            step,
            organisation,
            key: _,
            tasks,
            ends_within,
            ahead,
            ahead_starts_in,
        } => {
            info!(log, "backfilled under a limit"; "token" => %token, "step" => %step,
                "organisation" => %organisation, "tasks" => tasks,
                "ends_within_ms" => ends_within.map(|span| span.0), "ahead" => %ahead,
                "ahead_starts_ms" => ahead_starts_in.map(|span| span.0));
        }
        CellEvent::AdmissionDecided { job, organisation, queue, inputs, outcome } => {
            info!(log, "admission"; "token" => %token, AdmissionFields(inputs), "job" => %job,
                "organisation" => %organisation, "queue" => %queue, "outcome" => outcome.decision.name(),
                "reason" => outcome.reason.name(),
                "retry_after_ms" => outcome.decision.retry_after().map(|span| span.0));
        }
    }
}

/// Logs an event of preemption under a limit; does nothing for any other event.
fn log_limit_preemption(log: &Logger, token: FencingToken, event: &CellEvent) {
    let CellEvent::LimitPreempted {
        step,
        organisation,
        key: _,
        binding,
        tasks,
        need,
        running,
        limit,
        coming,
        stopped,
        oldest_report,
    } = event
    else {
        return;
    };
    let names: Vec<String> =
        stopped.iter().take(MAX_LISTED_TASKS).map(CellTask::to_string).collect();
    info!(log, "preempted under a limit"; "token" => %token, "step" => %step, "organisation" => %organisation,
        "binding" => binding.map(LimitResource::name), "tasks" => tasks, "need" => %need, "running" => %running,
        "limit" => %limit, "coming" => %coming, "stopped" => stopped.len(), "stopped_some" => names.join(" "),
        "oldest_report_ms" => oldest_report.0);
}

fn log_settled_take_over(log: &Logger, token: FencingToken, settled: &TakeOverSettled) {
    let names: Vec<String> = settled.unheard_some.iter().map(WorkerLife::to_string).collect();
    info!(log, "take-over settled"; "token" => %token, "by" => settled.by.name(), "after_ms" => settled.after.0,
        "heard" => settled.heard, "ended" => settled.ended, "unheard" => settled.unheard,
        "unheard_some" => names.join(" "), "jobs" => settled.jobs);
}

/// Log field with how the orders of earlier leads were settled; empty if there can have been none.
struct SettlementField(Option<SettlementCause>);

impl KV for SettlementField {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        match self.0 {
            Some(earlier) => serializer.emit_str("earlier_settled", earlier.name()),
            None => Ok(()),
        }
    }
}

/// Log fields with what an admission was decided from. Times that are not within the job's useful time
/// are left out.
struct AdmissionFields<'a>(&'a AdmissionInputs);

impl KV for AdmissionFields<'_> {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        let inputs = self.0;
        serializer.emit_u64("view_age_ms", inputs.view_age.0)?;
        serializer.emit_u64("clear_ms", inputs.time_to_clear.0)?;
        if let Some(left) = inputs.promised_in {
            serializer.emit_u64("promised_in_ms", left.0)?;
        }
        serializer.emit_u64("inflow_upper_percent", inputs.inflow.upper)?;
        serializer.emit_u64("inflow_lower_percent", inputs.inflow.lower)?;
        if let Some(wait) = inputs.late_wait {
            serializer.emit_u64("late_wait_ms", wait.0)?;
        }
        serializer.emit_u64("urgent_percent", inputs.urgent.lower)?;
        if let Some(wait) = inputs.wait {
            serializer.emit_u64("wait_ms", wait.0)?;
        }
        serializer.emit_usize("tasks_ahead", inputs.tasks_ahead)?;
        serializer.emit_u64("run_expected_ms", inputs.chain.expected.0)?;
        serializer.emit_u64("run_lower_ms", inputs.chain.lower.0)?;
        serializer.emit_u64("objective_ms", inputs.objective.0)?;
        serializer.emit_u64("age_ms", inputs.age.0)
    }
}

/// Log fields with the reason why a run counts as lost.
struct LossCauseFields<'a>(&'a LossCause);

impl KV for LossCauseFields<'_> {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        match self.0 {
            LossCause::LeaseEnded(reading) => {
                serializer.emit_u64("clock_least", reading.least.0)?;
                serializer.emit_u64("clock_age_ms", reading.age.0)?;
                serializer.emit_u64("clock", reading.clock.0)?;
                serializer.emit_u64("lease_until", reading.until.0)
            }
            LossCause::NotListed { asked, listed_from, acknowledged, ended } => {
                serializer.emit_usize("ended", *ended)?;
                serializer.emit_u64("acknowledged", *acknowledged)?;
                serializer.emit_u64("listed_from_ms_ago", listed_from.0)?;
                serializer.emit_u64("asked_ms_ago", asked.0)
            }
            LossCause::StartExpired { until, clock } => {
                serializer.emit_u64("clock", clock.0)?;
                serializer.emit_u64("lease_until", until.0)
            }
            LossCause::WorkerEnded { address, call } => {
                serializer.emit_str("call", call.name())?;
                serializer.emit_arguments("address", &format_args!("{address}"))
            }
        }
    }
}

/// Log fields with what the lead knows of a task of which a worker lists an unwanted run.
struct KnownStateFields<'a>(&'a KnownTaskState);

impl KV for KnownStateFields<'_> {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        match self.0 {
            KnownTaskState::Placed { run, worker, answered } => {
                if let Some(answered) = answered {
                    serializer.emit_u64("placed_answered_ms_ago", answered.0)?;
                }
                serializer.emit_arguments("placed_worker", &format_args!("{worker}"))?;
                serializer.emit_u32("placed_run", run.0)?;
            }
            KnownTaskState::JobOver(state) => serializer.emit_str("state", state.name())?,
            KnownTaskState::Done | KnownTaskState::Unknown => {}
        }
        serializer.emit_str("belief", self.0.name())
    }
}
