//! A planned stop: no new callers, the lead handed over, every call answered, then the end.

use std::time::Duration;

use sedgehill_core::units::TimeSpan;
use slog::{info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::state::CellBox;
use crate::clock;

/// Time between two looks at what is still open.
const TURN: Duration = Duration::from_millis(50);

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
    info!(host.log, "stopping"; "connections" => host.connections.get());
    host.stopping.set(true);
    host.stop.notify_waiters();
    let begun = clock::now();
    tokio::time::sleep(host.settings.stop.linger).await;
    let limit = TimeSpan(host.settings.stop.limit.as_millis() as u64);
    loop {
        // Connections that came meanwhile are closed after their call as well.
        host.closing.notify_waiters();
        let idle = host.connections.get() == 0;
        if (idle && host.session.borrow().is_none()) || clock::now().since(begun) >= limit {
            break;
        }
        tokio::time::sleep(TURN).await;
    }
    info!(host.log, "stopped"; "connections" => host.connections.get(),
        "took_ms" => clock::now().since(begun).as_millis());
}
