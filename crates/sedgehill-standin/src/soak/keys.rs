//! The organisation of a soak: each version of the configuration takes one key away, puts another in force,
//! and moves the limit.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::cell_platform::{CellPlatform, StandinOrganisation};
use crate::cell_process::call_with_key;

/// The key that callers bring, which stays in force.
pub const SOAK_KEY: &str = "soak-key-5b1e";
/// What a version takes away is gone everywhere within this time.
const MAX_PROPAGATION: Duration = Duration::from_secs(2);
/// Time between two calls with keys that were taken away.
const PROBE_INTERVAL: Duration = Duration::from_millis(40);
/// The limits of versions in turn, in cores for six workers. Each task of a soak takes one.
const CORE_LIMITS: [u64; 2] = [14, 9];
const CORE_LIMITS_WORKERS: u64 = 6;
/// Tells the generator of probes from those of faults and jobs.
const PROBE_SALT: u64 = 0x6b65_7973;

#[derive(Debug, Default)]
struct KeyState {
    /// When each version was put into the store, the first being version 1.
    written_at: Vec<Instant>,
    violations: Vec<String>,
}

/// The versions of a soak's configuration.
#[derive(Debug, Clone, Default)]
pub struct SoakKeys {
    workers: u64,
    state: Arc<Mutex<KeyState>>,
}

/// The key that one version alone has in force.
fn version_key(version: usize) -> String {
    format!("spare-key-{version}")
}

impl SoakKeys {
    /// Versions for a cell of so many workers.
    pub fn new(workers: usize) -> SoakKeys {
        SoakKeys { workers: workers as u64, state: Arc::default() }
    }

    /// Puts the next version into the store.
    pub fn configure(&self, platform: &CellPlatform) {
        let mut state = self.state.lock();
        let version = state.written_at.len() + 1;
        if version == 1 {
            let max_cores = CORE_LIMITS.into_iter().max().unwrap_or_default() * self.workers
                / CORE_LIMITS_WORKERS;
            platform.workers.limit_running_tasks("", max_cores as usize);
        }
        let organisation = StandinOrganisation {
            name: "soak",
            keys: vec![SOAK_KEY.to_owned(), version_key(version)],
            cores: CORE_LIMITS[version % CORE_LIMITS.len()] * self.workers / CORE_LIMITS_WORKERS,
        };
        platform.configure_organisations(version as u64, &[organisation]);
        state.written_at.push(Instant::now());
    }

    /// Calls with keys that should not be in force any more, until it is dropped.
    pub async fn probe(&self, boxes: &[SocketAddr], seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed ^ PROBE_SALT);
        loop {
            tokio::time::sleep(PROBE_INTERVAL).await;
            let Some(version) = self.newest_revoked() else { continue };
            let address = boxes[rng.random_range(0..boxes.len())];
            let key = version_key(version);
            let answer = call_with_key(address, "GET", "/checks/", "", Some(&key)).await;
            if let Some((200, _)) = answer {
                let violation = format!("a key of version {version} works at {address}");
                self.state.lock().violations.push(violation);
            }
        }
    }

    /// The newest version whose key should be gone everywhere.
    fn newest_revoked(&self) -> Option<usize> {
        let state = self.state.lock();
        // A key goes with the version after its own.
        let revoked =
            state.written_at.iter().skip(1).take_while(|at| at.elapsed() >= MAX_PROPAGATION);
        Some(revoked.count()).filter(|count| *count > 0)
    }

    /// Keys that worked after they were taken away.
    pub fn violations(&self) -> Vec<String> {
        self.state.lock().violations.clone()
    }
}
