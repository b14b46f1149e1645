//! What the lead shows of organisations and of stalled steps, as metrics.

use std::collections::BTreeSet;
use std::time::Duration;

use sedgehill_cell::scheduler::{OrganisationStats, RestartStats, StallReason, StallStats};
use sedgehill_core::units::{CoreCount, ResourceSet};

use super::lead::LeadSession;
use crate::{clock, telemetry};

/// Time between two updates.
const EVERY: Duration = Duration::from_secs(1);
/// Thousandths in a core, and in a job a second.
const THOUSANDTHS: f64 = 1_000.0;
/// Milliseconds in a second.
const MILLIS: f64 = 1_000.0;
/// Shown where there is no limit, as Prometheus writes it.
const NO_LIMIT: f64 = f64::INFINITY;

/// Shows what organisations have running for as long as the lead lasts. A box that does not lead any more
/// shows that nothing runs by its orders.
pub async fn show(session: &LeadSession) {
    let mut shown = BTreeSet::new();
    loop {
        tokio::time::sleep(EVERY).await;
        write(&session.scheduler.borrow().organisation_stats());
        write_stalls(&session.scheduler.borrow().stall_stats(clock::now()), &mut shown);
        write_restarts(session.scheduler.borrow().restart_stats(clock::now()));
    }
}

/// Shows the stalled steps. Reasons that were shown and hold for none any more are set to nothing.
fn write_stalls(figures: &[StallStats], shown: &mut BTreeSet<StallReason>) {
    for one in figures {
        shown.insert(one.reason);
        telemetry::set_stalled(one.reason.name(), one.steps, one.longest.0 as f64 / MILLIS);
    }
    for reason in shown.iter().filter(|reason| figures.iter().all(|one| one.reason != **reason)) {
        telemetry::set_stalled(reason.name(), 0, 0.0);
    }
}

/// Shows the long-running tasks without a run.
fn write_restarts(figures: RestartStats) {
    telemetry::set_restarts(figures.tasks, figures.longest.0 as f64 / MILLIS);
}

/// Shows that nothing runs by the orders of a lead that is over.
pub fn clear(session: &LeadSession) {
    let mut figures = session.scheduler.borrow().organisation_stats();
    for one in &mut figures {
        (one.running, one.open_jobs) = (ResourceSet::default(), 0);
    }
    write(&figures);
    let stalls = session.scheduler.borrow().stall_stats(clock::now());
    write_stalls(&[], &mut stalls.iter().map(|one| one.reason).collect());
    write_restarts(RestartStats::default());
}

fn write(figures: &[OrganisationStats]) {
    for one in figures.iter().take(telemetry::MAX_LABELLED_ORGANISATIONS) {
        let cores = |count: CoreCount| count.0 as f64 / THOUSANDTHS;
        let set = |metric, value| telemetry::set_organisation_gauge(metric, &one.name.0, value);
        set("sedgehill_cell_organisation_running_cores", cores(one.running.cores));
        let limit = one.limit.cores.map_or(NO_LIMIT, cores);
        set("sedgehill_cell_organisation_limit_cores", limit);
        set("sedgehill_cell_organisation_open_jobs", one.open_jobs as f64);
        set("sedgehill_cell_organisation_share", one.weight.0 as f64 / THOUSANDTHS);
    }
}
