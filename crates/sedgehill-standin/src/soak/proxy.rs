//! A path to the store that can be made worse from outside.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are passed on at once.
const CHUNK_BYTES: usize = 16 << 10;
/// Time between two looks whether a silent path speaks again.
const SILENCE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What a path does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PathState {
    /// It passes everything on.
    #[default]
    Open,
    /// It passes everything on, each chunk so much later.
    Slow(Duration),
    /// What is sent to the store does not arrive.
    SilentForth,
    /// What the store answers does not arrive.
    SilentBack,
    /// It takes no connections.
    Refusing,
}

/// A path that can be made worse.
pub struct FaultyPath {
    /// Where it listens.
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
    /// Opens a path to `target`.
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

    /// Changes what the path does. Refusing also breaks the connections that are open.
    pub fn set(&self, state: PathState) {
        *self.state.lock() = state;
        if state == PathState::Refusing {
            self.reset();
        }
    }

    /// Has the connections that are open now lose all that is sent on them, without an error.
    pub fn silence_open(&self) {
        self.silences.send_modify(|count| *count += 1);
    }

    /// Breaks all connections.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }
}

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
        // An error means that the path is gone.
        _ = resetting.changed() => {}
    }
}

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
