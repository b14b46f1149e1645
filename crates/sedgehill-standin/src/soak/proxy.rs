//! A TCP proxy between a box and the store that injects network faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Maximum number of bytes that are forwarded at once.
const CHUNK_BYTES: usize = 16 << 10;
/// Time between two checks whether a silent path forwards data again.
const SILENCE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How a path treats data and connections. The variant names are written to `plan.txt`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PathState {
    /// Forwards all data.
    #[default]
    Open,
    /// Forwards all data, and each chunk after this delay.
    Slow(Duration),
    /// Holds data towards the store until the state changes.
    SilentForth,
    /// Holds data from the store until the state changes.
    SilentBack,
    /// Closes new connections at once.
    Refusing,
}

/// A proxy on the path to a server that can inject network faults.
pub struct FaultyPath {
    /// The address on which the proxy listens.
    pub address: SocketAddr,
    state: Arc<Mutex<PathState>>,
    resets: watch::Sender<u64>,
    silences: watch::Sender<u64>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for FaultyPath {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl FaultyPath {
    /// Starts a proxy to `target`.
    pub async fn open(target: SocketAddr) -> std::io::Result<FaultyPath> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(PathState::Open));
        let (resets, resetting) = watch::channel(0);
        let (silences, silencing) = watch::channel(0);
        let shared = state.clone();
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                if *shared.lock() == PathState::Refusing {
                    continue;
                }
                let events = (resetting.clone(), silencing.clone());
                connections.spawn(forward(stream, target, shared.clone(), events));
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(FaultyPath { address, state, resets, silences, task })
    }

    /// Sets the state of the path. [`PathState::Refusing`] also closes the open connections.
    pub fn set(&self, state: PathState) {
        *self.state.lock() = state;
        if state == PathState::Refusing {
            self.reset();
        }
    }

    /// Drops all further data on the connections that are open now, without closing them.
    pub fn silence_open(&self) {
        self.silences.send_modify(|count| *count += 1);
    }

    /// Closes all open connections.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }
}

/// Forwards the data of one connection in both directions until it ends or is reset.
async fn forward(
    stream: TcpStream,
    target: SocketAddr,
    state: Arc<Mutex<PathState>>,
    (mut resetting, mut silencing): (watch::Receiver<u64>, watch::Receiver<u64>),
) {
    let Ok(store_stream) = TcpStream::connect(target).await else { return };
    let (client_read, client_write) = stream.into_split();
    let (store_read, store_write) = store_stream.into_split();
    resetting.mark_unchanged();
    silencing.mark_unchanged();
    tokio::select! {
        _ = copy(client_read, store_write, (&state, &silencing), PathState::SilentForth) => {}
        _ = copy(store_read, client_write, (&state, &silencing), PathState::SilentBack) => {}
        // An error means that the `FaultyPath` was dropped.
        _ = resetting.changed() => {}
    }
}

/// Forwards data in one direction, or drops it once the connection is silenced. `silent_state` is the state that holds the
/// data of this direction.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    (state, silencing): (&Mutex<PathState>, &watch::Receiver<u64>),
    silent_state: PathState,
) -> std::io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut chunk).await?;
        if length == 0 {
            return Ok(());
        }
        if silencing.has_changed().unwrap_or(true) {
            continue;
        }
        while *state.lock() == silent_state {
            tokio::time::sleep(SILENCE_POLL_INTERVAL).await;
        }
        let delay = match *state.lock() {
            PathState::Slow(delay) => delay,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        to.write_all(&chunk[..length]).await?;
    }
}
