//! Callers that use one connection to a box until its process is gone, and a check that only a killed process cuts off
//! their calls.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::keys::SOAK_KEY;
use crate::keep_alive_caller::{KeepAliveCaller, KeepAliveOutcome};

/// Pauses between the calls of a connection, in milliseconds, one range for each caller of a box. The longest are shorter
/// than the time after which a stopping box closes an idle connection.
const PAUSES_MS: [RangeInclusive<u64>; 4] = [1..=64, 200..=830, 1_000..=3_000, 1..=3_000];
/// Pause after a box refused a connection.
const REFUSED_PAUSE: Duration = Duration::from_millis(40);
/// Number of signals that a violation lists.
const LISTED_SIGNALS: usize = 4;
/// Separates the generator of pauses from the others.
const KEPT_SALT: u64 = 0x6b65_7074;

/// The signals that one box received, and the calls on its kept connections.
#[derive(Debug, Default)]
struct BoxSignals {
    /// When the box received each signal, and its name.
    signals: Vec<(Instant, &'static str)>,
    kills: usize,
    last_kill: Option<Instant>,
    /// Whether the current process was asked to stop.
    is_stopping: bool,
}

#[derive(Debug, Default)]
struct KeptState {
    boxes: Vec<BoxSignals>,
    calls: usize,
    violations: Vec<String>,
}

/// Records signals to boxes, and the calls that they cut off.
#[derive(Debug, Clone)]
pub struct KeptConnections {
    state: Arc<Mutex<KeptState>>,
}

impl KeptConnections {
    /// Creates the record of this many boxes.
    pub fn new(boxes: usize) -> KeptConnections {
        let boxes = (0..boxes).map(|_| BoxSignals::default()).collect();
        KeptConnections { state: Arc::new(Mutex::new(KeptState { boxes, ..KeptState::default() })) }
    }

    /// Records a signal to a box, before it is sent.
    pub fn record_signal(&self, number: usize, signal: &'static str) {
        let signals = &mut self.state.lock().boxes[number];
        signals.signals.push((Instant::now(), signal));
        if signal == "SIGKILL" {
            signals.kills += 1;
            signals.last_kill = Some(Instant::now());
        }
        signals.is_stopping |= signal == "SIGTERM";
    }

    /// Records that the process of a box ended by itself. Without a signal to stop, or with an exit code other than 0, that
    /// is a violation.
    pub fn record_end(&self, number: usize, code: Option<i32>) {
        let state = &mut *self.state.lock();
        let was_stopping = std::mem::take(&mut state.boxes[number].is_stopping);
        if !was_stopping || code != Some(0) {
            let violation = format!("box-{number} ended with {code:?}{}", state.history(number));
            state.violations.push(violation);
        }
    }

    /// Records that a box is started.
    pub fn record_start(&self, number: usize) {
        let signals = &mut self.state.lock().boxes[number];
        signals.signals.push((Instant::now(), "start"));
        signals.is_stopping = false;
    }

    /// Returns how often a box was killed.
    pub fn kills(&self, number: usize) -> usize {
        self.state.lock().boxes[number].kills
    }

    /// Returns how often a box was killed, without a kill in the last `span`.
    pub fn recent_kills(&self, number: usize, span: Duration) -> usize {
        let signals = &self.state.lock().boxes[number];
        let is_recent = signals.last_kill.is_some_and(|at| at.elapsed() < span);
        signals.kills - usize::from(is_recent)
    }

    /// Records that a call was cut off. This is a violation unless the box was killed since it had been killed `kills`
    /// times, when the connection was opened.
    pub fn record_cut(&self, number: usize, kills: usize, description: &str) {
        let state = &mut *self.state.lock();
        if state.boxes[number].kills == kills {
            let violation =
                format!("box-{number} cut off a call: {description}{}", state.history(number));
            state.violations.push(violation);
        }
    }

    /// Returns the number of calls on kept connections.
    pub fn calls(&self) -> usize {
        self.state.lock().calls
    }

    /// Describes the calls that were cut off, and the processes that ended unasked.
    pub fn violations(&self) -> Vec<String> {
        self.state.lock().violations.clone()
    }

    /// Calls all boxes until the future is dropped, each over [`PAUSES_MS`] many connections.
    pub async fn run(&self, boxes: &[SocketAddr], seed: u64) {
        let callers = boxes.iter().enumerate().flat_map(|(number, address)| {
            PAUSES_MS.into_iter().enumerate().map(move |(index, pauses_ms)| {
                let salt = KEPT_SALT ^ ((number * PAUSES_MS.len() + index) as u64) << 32;
                self.call_repeatedly(number, *address, pauses_ms, seed ^ salt)
            })
        });
        super::drive_all(callers).await;
    }

    async fn call_repeatedly(
        &self,
        number: usize,
        address: SocketAddr,
        pauses_ms: RangeInclusive<u64>,
        seed: u64,
    ) {
        let request = format!(
            "GET /checks/00000000000000ff HTTP/1.1\r\nHost: cell.example\r\nDeadline-Ms: 3000\r\n\
             Authorization: Token {SOAK_KEY}\r\n\r\n"
        );
        let mut rng = StdRng::seed_from_u64(seed);
        let mut caller = KeepAliveCaller::new(address, request.into());
        let mut kills = 0;
        loop {
            if !caller.is_connected() {
                kills = self.kills(number);
            }
            let pause = Duration::from_millis(rng.random_range(pauses_ms.clone()));
            match caller.call().await {
                KeepAliveOutcome::Answered(_) => {
                    self.state.lock().calls += 1;
                    tokio::time::sleep(pause).await;
                }
                KeepAliveOutcome::Refused => tokio::time::sleep(REFUSED_PAUSE).await,
                KeepAliveOutcome::Cut(description) => {
                    self.record_cut(number, kills, &description);
                    tokio::time::sleep(REFUSED_PAUSE).await;
                }
            }
        }
    }
}

impl KeptState {
    /// Lists the last signals to a box, each with the time since then.
    fn history(&self, number: usize) -> String {
        let signals = self.boxes[number].signals.iter().rev().take(LISTED_SIGNALS);
        signals
            .map(|(at, signal)| format!(", {} ms after {signal}", at.elapsed().as_millis()))
            .collect()
    }
}
