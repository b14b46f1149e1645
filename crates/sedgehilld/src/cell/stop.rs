//! A planned stop: refuses new callers, hands over the lead, answers every call, and then ends.

use std::io;
use std::time::Duration;

use sedgehill_core::units::{Moment, TimeSpan};
use slog::{info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::settings::StopTiming;
use super::state::CellBox;
use crate::clock;
use crate::connection::StopPhase;

/// Interval at which the open connections are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Part of the stop limit that is kept for closing the connections that are idle by then.
const CLOSING_RESERVE: Duration = Duration::from_millis(1_100);

/// The signals that a box handles.
pub struct StopSignals {
    stop: Signal,
    reload: Signal,
}

impl StopSignals {
    /// Begins to handle the signals. From then on they no longer end the process, and wait until they are received.
    pub fn handle() -> io::Result<StopSignals> {
        let stop = signal(SignalKind::terminate())?;
        let reload = signal(SignalKind::hangup())?;
        Ok(StopSignals { stop, reload })
    }

    /// Waits for the signal to stop. A signal to reload is only logged.
    async fn wait_for_stop(&mut self, host: &CellBox) {
        loop {
            tokio::select! {
                _ = self.reload.recv() => info!(host.log, "reload asked for"),
                _ = self.stop.recv() => return,
            }
        }
    }
}

/// Waits for the signal to stop, then stops the box.
pub async fn run_until_stopped(host: &CellBox, signals: io::Result<StopSignals>) {
    match signals {
        Ok(mut signals) => signals.wait_for_stop(host).await,
        Err(error) => {
            warn!(host.log, "signals cannot be received"; "error" => %error);
            return std::future::pending().await;
        }
    }
    stop_box(host).await;
}

async fn stop_box(host: &CellBox) {
    let StopTiming { linger, limit } = host.settings.stop;
    let connections = &host.connections;
    info!(host.log, "stopping"; "connections" => connections.open_count());
    host.stopping.set(true);
    host.stop_requested.notify_waiters();
    let started = clock::now();
    connections.enter_phase(StopPhase::Announcing);
    tokio::time::sleep(linger).await;
    connections.enter_phase(StopPhase::ClosingIdle);
    let is_idle = || connections.open_count() == 0 && host.session.borrow().is_none();
    wait_until(started, limit.saturating_sub(CLOSING_RESERVE), is_idle).await;
    connections.enter_phase(StopPhase::ClosingAllIdle);
    wait_until(started, limit, is_idle).await;
    info!(host.log, "stopped"; "connections" => connections.open_count(),
        "ended_idle" => connections.ended_idle(), "took_ms" => clock::now().since(started).as_millis());
}

/// Waits until a check holds, at most until `limit` after `started`.
async fn wait_until(started: Moment, limit: Duration, check: impl Fn() -> bool) {
    let limit = TimeSpan(limit.as_millis() as u64);
    while !check() && clock::now().since(started) < limit {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
