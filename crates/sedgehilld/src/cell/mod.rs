//! Cell mode: accepts jobs, places their tasks on workers and follows them, on the users' platform.
//!
//! All boxes run the same code. Each box serves callers, writes durable state to the platform's
//! store, follows the topics of the store, and leads the cell while it holds the claim. No box has
//! a fixed role, and none keeps state on disk. All tasks run on one thread, since a box has a
//! fraction of one core.

mod admission;
mod apply;
mod callers;
mod events;
mod frames;
mod hedge;
mod late_answer;
mod lead;
mod lead_link;
mod lead_log;
mod lead_metrics;
mod link_client;
mod link_server;
mod orders;
mod recorder;
mod recorder_batch;
mod relay;
mod renewal;
mod settings;
mod state;
mod stop;
mod submission;
mod topic_follower;
mod unsettled;
mod worker_watch;

use std::net::SocketAddr;
use std::rc::Rc;

use slog::info;
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};

pub use self::settings::CellSettings;
use self::state::CellBox;
use crate::{DaemonError, logging, telemetry};

/// Runs a box in cell mode until it receives the signal to stop.
pub fn run(settings: CellSettings) -> Result<(), DaemonError> {
    let log = logging::build_stdout_logger(&settings.name.to_string());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(DaemonError::Runtime)?;
    let local = LocalSet::new();
    local.block_on(&runtime, serve(settings, log))
}

/// Logs and counts each replacement of connections that fell silent.
async fn log_replacements(host: Rc<CellBox>) {
    loop {
        let peer = host.clients.http.next_replacement().await;
        let peer = peer.map_or_else(|| "all".to_owned(), |peer| peer.to_string());
        telemetry::count_cell_event("connections", "replaced");
        info!(host.log, "silent connections replaced"; "peer" => peer);
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address).await.map_err(|error| DaemonError::Listen(address, error))
}

async fn serve(settings: CellSettings, log: logging::LogSink) -> Result<(), DaemonError> {
    // Before the listeners: a box that is asked to stop has to answer the calls on each connection that it takes.
    let signals = stop::StopSignals::handle();
    let listen = settings.listen.clone();
    let callers = bind(listen.callers).await?;
    let ready = bind(listen.ready).await?;
    let peers = bind(listen.peers).await?;
    let metrics = bind(listen.metrics).await?;
    let host = Rc::new(CellBox::new(settings, log.logger.clone()));
    info!(host.log, "started"; "version" => env!("CARGO_PKG_VERSION"), "life" => host.life);
    let (submissions, inbox) = submission::SubmissionHandle::new();
    spawn_local(topic_follower::follow_config(host.clone()));
    spawn_local(topic_follower::follow_leads(host.clone()));
    spawn_local(topic_follower::follow_jobs(host.clone()));
    spawn_local(topic_follower::follow_progress(host.clone()));
    spawn_local(submission::run(host.clone(), inbox));
    spawn_local(callers::serve(host.clone(), submissions, callers));
    spawn_local(callers::serve_ready(host.clone(), ready));
    let recorder = telemetry::install();
    spawn_local(telemetry::run_upkeep(recorder.clone()));
    spawn_local(callers::serve_metrics(host.clone(), recorder, metrics));
    spawn_local(link_server::run(host.clone(), peers));
    spawn_local(link_client::run(host.clone()));
    spawn_local(lead::run(host.clone()));
    spawn_local(log_replacements(host.clone()));
    stop::run_until_stopped(&host, signals).await;
    Ok(())
}
