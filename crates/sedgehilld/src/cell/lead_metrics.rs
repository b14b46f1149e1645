//! Exports metrics of organisations, emptied halls, stalled steps, waiting questions, late restarts,
//! admission and the speeds of workers while this box leads.

use std::collections::BTreeSet;
use std::time::Duration;

use sedgehill_cell::ids::HallName;
use sedgehill_cell::scheduler::{
    AdmissionReason, AdmissionStats, HallStats, OrganisationStats, PoolSpread, QuestionBoxStats,
    QuestionClass, QuestionWaitStats, RestartStats, SpeedStats, StallReason, StallStats,
};
use sedgehill_core::units::{CoreCount, ResourceSet, TimeSpan};

use super::lead::LeadSession;
use crate::{clock, telemetry};

/// Interval at which the metrics are updated.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// The units of core counts and of organisation weights are thousandths.
const THOUSANDTHS_PER_UNIT: f64 = 1_000.0;
const MILLIS_PER_SECOND: f64 = 1_000.0;
/// The value of a limit that is not set, which Prometheus writes as `+Inf`.
const NO_LIMIT: f64 = f64::INFINITY;

/// The most halls with metrics of their own. Operators may name any number of halls, and each name
/// is a label that is kept for good.
const MAX_LABELLED_HALLS: usize = 100;

/// The most pools with metrics of their own, for the same reason.
const MAX_LABELLED_POOLS: usize = 20;

/// Updates the metrics until the lead ends. [`reset`] then clears them.
pub async fn run(session: &LeadSession) {
    let mut exported = BTreeSet::new();
    let mut exported_halls = BTreeSet::new();
    loop {
        tokio::time::sleep(UPDATE_INTERVAL).await;
        set_hall_metrics(&session.scheduler.borrow().hall_stats(clock::now()), &mut exported_halls);
        set_organisation_metrics(&session.scheduler.borrow().organisation_stats());
        set_stall_metrics(&session.scheduler.borrow().stall_stats(clock::now()), &mut exported);
        set_restart_metrics(session.scheduler.borrow().restart_stats(clock::now()));
        set_speed_metrics(&session.scheduler.borrow().speed_stats());
        set_admission_metrics(&session.scheduler.borrow().admission_stats());
        let scheduler = session.scheduler.borrow();
        set_question_metrics(
            &scheduler.question_wait_stats(),
            scheduler.question_box_stats(clock::now()),
        );
    }
}

/// Sets the metrics of the speeds of workers.
fn set_speed_metrics(stats: &[SpeedStats]) {
    for SpeedStats { pool, spread, in_effect } in stats.iter().take(MAX_LABELLED_POOLS) {
        telemetry::set_speeds(&pool.0, spread.ratio, spread.slow, spread.known, *in_effect);
    }
}

/// Sets the metrics of stalled steps. A reason that was exported before and no longer applies is
/// set to zero.
fn set_stall_metrics(stats: &[StallStats], exported: &mut BTreeSet<StallReason>) {
    for stall in stats {
        exported.insert(stall.reason);
        telemetry::set_stalled(
            stall.reason.name(),
            stall.steps,
            stall.longest.0 as f64 / MILLIS_PER_SECOND,
        );
    }
    for reason in
        exported.iter().filter(|reason| stats.iter().all(|stall| stall.reason != **reason))
    {
        telemetry::set_stalled(reason.name(), 0, 0.0);
    }
}

/// Sets the metrics of emptied halls. Those of a hall that was exported before and is back in use are
/// set to zero.
fn set_hall_metrics(stats: &[HallStats], exported: &mut BTreeSet<HallName>) {
    for hall in stats.iter().take(MAX_LABELLED_HALLS) {
        exported.insert(hall.hall.clone());
        let emptied_for = hall.emptied_for.0 as f64 / MILLIS_PER_SECOND;
        telemetry::set_emptied_hall(&hall.hall.0, hall.workers, hall.runs, emptied_for);
    }
    for hall in exported.iter().filter(|hall| stats.iter().all(|stat| stat.hall != **hall)) {
        telemetry::set_emptied_hall(&hall.0, 0, 0, 0.0);
    }
}

/// Sets the metrics of long-running tasks that have no run.
fn set_restart_metrics(stats: RestartStats) {
    telemetry::set_restarts(stats.tasks, stats.longest.0 as f64 / MILLIS_PER_SECOND);
}

/// Clears the metrics of a lead that has ended, since nothing runs by its orders any more.
pub fn reset(session: &LeadSession) {
    let mut stats = session.scheduler.borrow().organisation_stats();
    for organisation in &mut stats {
        (organisation.running, organisation.open_jobs) = (ResourceSet::default(), 0);
        organisation.room = ResourceSet::default();
    }
    set_organisation_metrics(&stats);
    let halls = session.scheduler.borrow().hall_stats(clock::now());
    set_hall_metrics(&[], &mut halls.into_iter().map(|stat| stat.hall).collect());
    let stalls = session.scheduler.borrow().stall_stats(clock::now());
    set_stall_metrics(&[], &mut stalls.iter().map(|stall| stall.reason).collect());
    set_restart_metrics(RestartStats::default());
    let mut speeds = session.scheduler.borrow().speed_stats();
    for stats in &mut speeds {
        (stats.spread, stats.in_effect) = (PoolSpread::default(), false);
    }
    set_speed_metrics(&speeds);
    set_admission_metrics(&AdmissionStats::default());
    let nothing_waits =
        QuestionClass::ALL.map(|class| QuestionWaitStats { class, ..QuestionWaitStats::default() });
    set_question_metrics(&nothing_waits, QuestionBoxStats::default());
}

/// Sets the metrics of admission.
fn set_admission_metrics(stats: &AdmissionStats) {
    telemetry::set_gauge("sedgehill_cell_admission_promised", stats.promised as f64);
    telemetry::set_gauge("sedgehill_cell_admission_unrecorded", stats.unrecorded as f64);
    for reason in AdmissionReason::REFUSALS {
        let count = stats.refused.get(&reason).copied().unwrap_or(0);
        telemetry::set_admission_refused(reason.name(), count);
    }
    telemetry::set_gauge(
        "sedgehill_cell_admission_refused_with_room",
        stats.refused_with_room as f64,
    );
    telemetry::set_gauge("sedgehill_cell_admission_ended", stats.ended as f64);
    telemetry::set_admission_worthless("late", stats.ended_late);
    telemetry::set_admission_worthless("failed", stats.ended_failed);
}

/// Sets the metrics of questions that wait for boxes, and of the boxes.
fn set_question_metrics(waits: &[QuestionWaitStats], boxes: QuestionBoxStats) {
    for wait in waits {
        let longest = wait.longest.0 as f64 / MILLIS_PER_SECOND;
        telemetry::set_waiting_questions(wait.class.name(), wait.waiting, longest);
    }
    telemetry::set_question_boxes("all", boxes.boxes);
    telemetry::set_question_boxes("busy", boxes.busy);
    telemetry::set_question_boxes("unusable", boxes.unusable);
    telemetry::set_question_boxes("late", boxes.late);
    let seconds = |span: TimeSpan| span.0 as f64 / MILLIS_PER_SECOND;
    telemetry::set_gauge("sedgehill_cell_question_busy_seconds", seconds(boxes.busy_total));
    telemetry::set_gauge(
        "sedgehill_cell_question_busy_longest_seconds",
        seconds(boxes.busy_longest),
    );
}

fn set_organisation_metrics(stats: &[OrganisationStats]) {
    for organisation in stats.iter().take(telemetry::MAX_LABELLED_ORGANISATIONS) {
        let cores = |count: CoreCount| count.0 as f64 / THOUSANDTHS_PER_UNIT;
        let set =
            |metric, value| telemetry::set_organisation_gauge(metric, &organisation.name.0, value);
        set("sedgehill_cell_organisation_running_cores", cores(organisation.running.cores));
        let limit = organisation.limit.cores.map_or(NO_LIMIT, cores);
        set("sedgehill_cell_organisation_limit_cores", limit);
        set("sedgehill_cell_organisation_open_jobs", organisation.open_jobs as f64);
        let room = |limited: bool, value: f64| if limited { value } else { NO_LIMIT };
        let (limit, left) = (&organisation.limit, &organisation.room);
        let room_cores = room(limit.cores.is_some(), cores(left.cores));
        set("sedgehill_cell_organisation_room_cores", room_cores);
        let room_memory = room(limit.memory.is_some(), left.memory.0 as f64);
        set("sedgehill_cell_organisation_room_memory_bytes", room_memory);
        let room_accelerators = room(limit.accelerators.is_some(), f64::from(left.accelerators));
        set("sedgehill_cell_organisation_room_accelerators", room_accelerators);
        set(
            "sedgehill_cell_organisation_share",
            organisation.weight.0 as f64 / THOUSANDTHS_PER_UNIT,
        );
    }
}
