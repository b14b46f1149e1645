//! What the lead shows of organisations and of stalled steps, as metrics.

use std::collections::BTreeSet;
use std::time::Duration;

use sedgehill_cell::scheduler::{OrganisationFigures, RestartFigures, StallFigures, StallReason};
use sedgehill_core::units::{CoreCount, ResourceSet};

use super::lead::LeadSession;
use crate::{clock, telemetry};

/// Time between two updates.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// Thousandths in a core, and in a job a second.
const THOUSANDTHS_PER_UNIT: f64 = 1_000.0;
/// Milliseconds in a second.
const MILLIS_PER_SECOND: f64 = 1_000.0;
/// Shown where there is no limit, as Prometheus writes it.
const NO_LIMIT: f64 = f64::INFINITY;

/// Shows what organisations have running for as long as the lead lasts. A box that does not lead any more
/// shows that nothing runs by its orders.
pub async fn run(session: &LeadSession) {
    let mut exported = BTreeSet::new();
    loop {
        tokio::time::sleep(UPDATE_INTERVAL).await;
        set_organisation_metrics(&session.scheduler.borrow().organisation_figures());
        set_stall_metrics(&session.scheduler.borrow().stall_figures(clock::now()), &mut exported);
        set_restart_metrics(session.scheduler.borrow().restart_figures(clock::now()));
    }
}

/// Shows the stalled steps. Reasons that were shown and hold for none any more are set to nothing.
fn set_stall_metrics(figures: &[StallFigures], exported: &mut BTreeSet<StallReason>) {
    for stall in figures {
        exported.insert(stall.reason);
        telemetry::set_stalled(
            stall.reason.name(),
            stall.steps,
            stall.longest.0 as f64 / MILLIS_PER_SECOND,
        );
    }
    for reason in
        exported.iter().filter(|reason| figures.iter().all(|stall| stall.reason != **reason))
    {
        telemetry::set_stalled(reason.name(), 0, 0.0);
    }
}

/// Shows the long-running tasks without a run.
fn set_restart_metrics(figures: RestartFigures) {
    telemetry::set_restarts(figures.tasks, figures.longest.0 as f64 / MILLIS_PER_SECOND);
}

/// Shows that nothing runs by the orders of a lead that is over.
pub fn reset(session: &LeadSession) {
    let mut figures = session.scheduler.borrow().organisation_figures();
    for organisation in &mut figures {
        (organisation.running, organisation.open_jobs) = (ResourceSet::default(), 0);
    }
    set_organisation_metrics(&figures);
    let stalls = session.scheduler.borrow().stall_figures(clock::now());
    set_stall_metrics(&[], &mut stalls.iter().map(|stall| stall.reason).collect());
    set_restart_metrics(RestartFigures::default());
}

fn set_organisation_metrics(figures: &[OrganisationFigures]) {
    for organisation in figures.iter().take(telemetry::LABELLED_ORGANISATIONS) {
        let cores = |count: CoreCount| count.0 as f64 / THOUSANDTHS_PER_UNIT;
        let set =
            |metric, value| telemetry::set_organisation_gauge(metric, &organisation.name.0, value);
        set("sedgehill_cell_organisation_running_cores", cores(organisation.running.cores));
        let limit = organisation.limit.cores.map_or(NO_LIMIT, cores);
        set("sedgehill_cell_organisation_limit_cores", limit);
        set("sedgehill_cell_organisation_open_jobs", organisation.open_jobs as f64);
        set(
            "sedgehill_cell_organisation_share",
            organisation.weight.0 as f64 / THOUSANDTHS_PER_UNIT,
        );
    }
}
