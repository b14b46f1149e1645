//! A planned stop: no new callers, the lead handed over, every call answered, then the end.

use std::time::Duration;

use sedgehill_core::units::{Moment, TimeSpan};
use slog::{info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::settings::StopTiming;
use super::state::CellBox;
use crate::clock;
use crate::connection::StopPhase;

/// Time between two looks at what is still open.
const TURN: Duration = Duration::from_millis(50);

/// Kept of the time for a stop, to end the connections that are idle by then.
const CLOSING_TIME: Duration = Duration::from_millis(1_100);

/// Waits for the signal to stop, and stops. A signal to reload changes nothing by itself.
pub async fn wait(host: &CellBox) {
    let stop = signal(SignalKind::terminate());
    let reload = signal(SignalKind::hangup());
    let (mut stop, mut reload) = match (stop, reload) {
        (Ok(stop), Ok(reload)) => (stop, reload),
        (Err(error), _) | (_, Err(error)) => {
            warn!(host.log, "signals cannot be received"; "error" => %error);
            return std::future::pending().await;
        }
    };
    loop {
        tokio::select! {
            _ = reload.recv() => info!(host.log, "reload asked for"),
            () = received(&mut stop) => break,
        }
    }
    finish(host).await;
}

async fn received(signal: &mut Signal) {
    signal.recv().await;
}

async fn finish(host: &CellBox) {
    let StopTiming { linger, limit } = host.settings.stop;
    let connections = &host.connections;
    info!(host.log, "stopping"; "connections" => connections.open_count());
    host.stopping.set(true);
    host.stop.notify_waiters();
    let begun = clock::now();
    connections.enter_phase(StopPhase::Announcing);
    tokio::time::sleep(linger).await;
    connections.enter_phase(StopPhase::ClosingIdle);
    let is_over = || connections.open_count() == 0 && host.session.borrow().is_none();
    wait_until(begun, limit.saturating_sub(CLOSING_TIME), is_over).await;
    connections.enter_phase(StopPhase::ClosingAllIdle);
    wait_until(begun, limit, is_over).await;
    info!(host.log, "stopped"; "connections" => connections.open_count(),
        "ended_idle" => connections.ended_idle(), "took_ms" => clock::now().since(begun).as_millis());
}

/// Waits until a check holds, but not longer than `limit` after `begun`.
async fn wait_until(begun: Moment, limit: Duration, check: impl Fn() -> bool) {
    let limit = TimeSpan(limit.as_millis() as u64);
    while !check() && clock::now().since(begun) < limit {
        tokio::time::sleep(TURN).await;
    }
}
