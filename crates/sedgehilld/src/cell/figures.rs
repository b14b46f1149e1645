//! What the lead shows of organisations, as metrics.

use std::time::Duration;

use sedgehill_cell::scheduler::OrganisationFigures;
use sedgehill_core::units::{CoreCount, ResourceSet};

use super::lead::LeadSession;
use crate::telemetry;

/// Time between two updates.
const EVERY: Duration = Duration::from_secs(1);
/// Thousandths in a core, and in a job a second.
const THOUSANDTHS: f64 = 1_000.0;
/// Shown where there is no limit, as Prometheus writes it.
const NO_LIMIT: f64 = f64::INFINITY;

/// Shows what organisations have running for as long as the lead lasts. A box that does not lead any more
/// shows that nothing runs by its orders.
pub async fn show(session: &LeadSession) {
    loop {
        tokio::time::sleep(EVERY).await;
        write(&session.scheduler.borrow().organisation_figures());
    }
}

/// Shows that nothing runs by the orders of a lead that is over.
pub fn clear(session: &LeadSession) {
    let mut figures = session.scheduler.borrow().organisation_figures();
    for one in &mut figures {
        (one.running, one.open_jobs) = (ResourceSet::default(), 0);
    }
    write(&figures);
}

fn write(figures: &[OrganisationFigures]) {
    for one in figures.iter().take(telemetry::LABELLED_ORGANISATIONS) {
        let cores = |count: CoreCount| count.0 as f64 / THOUSANDTHS;
        let set = |metric, value| telemetry::set_organisation_gauge(metric, &one.name.0, value);
        set("sedgehill_cell_organisation_running_cores", cores(one.running.cores));
        let limit = one.limit.cores.map_or(NO_LIMIT, cores);
        set("sedgehill_cell_organisation_limit_cores", limit);
        set("sedgehill_cell_organisation_open_jobs", one.open_jobs as f64);
        set("sedgehill_cell_organisation_share", one.weight.0 as f64 / THOUSANDTHS);
    }
}
