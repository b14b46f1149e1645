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
const IN_FORCE: Duration = Duration::from_secs(2);
/// Time between two calls with keys that were taken away.
const PROBE_EVERY: Duration = Duration::from_millis(40);
/// The limits of versions in turn, in cores for six workers. Each task of a soak takes one.
const LIMITS: [u64; 2] = [14, 9];
const LIMITS_FOR: u64 = 6;
/// Tells the generator of probes from those of faults and jobs.
const PROBE_SALT: u64 = 0x6b65_7973;

#[derive(Debug, Default)]
struct KeyState {
    /// When each version was put into the store, the first being version 1.
    versions: Vec<Instant>,
    violations: Vec<String>,
}

/// The versions of a soak's configuration.
#[derive(Debug, Clone, Default)]
pub struct SoakKeys {
    workers: u64,
    state: Arc<Mutex<KeyState>>,
}

/// The key that one version alone has in force.
fn spare_key(version: usize) -> String {
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
        let version = state.versions.len() + 1;
        if version == 1 {
            let most = LIMITS.into_iter().max().unwrap_or_default() * self.workers / LIMITS_FOR;
            platform.workers.limit_running_tasks("", most as usize);
        }
        let organisation = StandinOrganisation {
            name: "soak",
            keys: vec![SOAK_KEY.to_owned(), spare_key(version)],
            cores: LIMITS[version % LIMITS.len()] * self.workers / LIMITS_FOR,
        };
        platform.configure_organisations(version as u64, &[organisation]);
        state.versions.push(Instant::now());
    }

    /// Calls with keys that should not be in force any more, until it is dropped.
    pub async fn probe(&self, boxes: &[SocketAddr], seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed ^ PROBE_SALT);
        loop {
            tokio::time::sleep(PROBE_EVERY).await;
            let Some(version) = self.newest_gone() else { continue };
            let address = boxes[rng.random_range(0..boxes.len())];
            let key = spare_key(version);
            let answer = call_with_key(address, "GET", "/checks/", "", Some(&key)).await;
            if let Some((200, _)) = answer {
                let violation = format!("a key of version {version} works at {address}");
                self.state.lock().violations.push(violation);
            }
        }
    }

    /// The newest version whose key should be gone everywhere.
    fn newest_gone(&self) -> Option<usize> {
        let state = self.state.lock();
        // A key goes with the version after its own.
        let gone = state.versions.iter().skip(1).take_while(|at| at.elapsed() >= IN_FORCE);
        Some(gone.count()).filter(|count| *count > 0)
    }

    /// Keys that worked after they were taken away.
    pub fn violations(&self) -> Vec<String> {
        self.state.lock().violations.clone()
    }
}
