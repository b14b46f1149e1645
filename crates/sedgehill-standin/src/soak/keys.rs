//! The organisation of a soak. Each version of its configuration revokes one key, adds another, and changes the limit of
//! cores.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::cell_platform::{CellPlatform, StandinOrganisation};
use crate::cell_process::call_with_key;

/// The key that callers use. It is valid in all versions.
pub const SOAK_KEY: &str = "soak-key-5b1e";
/// Time after which every box must reject a key that a new version has revoked.
const MAX_PROPAGATION: Duration = Duration::from_secs(2);
/// Time between two calls with revoked keys.
const PROBE_INTERVAL: Duration = Duration::from_millis(40);
/// The limits of cores that versions have in turn, for a cell of [`CORE_LIMITS_WORKERS`] workers. Each task of a soak
/// uses one core.
const CORE_LIMITS: [u64; 2] = [14, 9];
/// Number of workers to which [`CORE_LIMITS`] refers. Larger cells have proportionally higher limits.
const CORE_LIMITS_WORKERS: u64 = 6;
/// Separates the generator of probes from those of faults and jobs.
const PROBE_SALT: u64 = 0x6b65_7973;

/// The versions so far, and the violations found.
#[derive(Debug, Default)]
struct KeyState {
    /// When each version was written to the store, beginning with version 1.
    written_at: Vec<Instant>,
    violations: Vec<String>,
}

/// Writes the versions of the organisation's configuration, and checks that revoked keys are rejected.
#[derive(Debug, Clone, Default)]
pub struct SoakKeys {
    workers: u64,
    state: Arc<Mutex<KeyState>>,
}

/// Returns the key that is valid in one version alone.
fn version_key(version: usize) -> String {
    format!("spare-key-{version}")
}

impl SoakKeys {
    /// Creates the keys for a cell with this many workers.
    pub fn new(workers: usize) -> SoakKeys {
        SoakKeys { workers: workers as u64, state: Arc::default() }
    }

    /// Writes the next version to the store.
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

    /// Calls random boxes with revoked keys until the future is dropped, and records a violation for each accepted one.
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

    /// Returns the newest version whose own key every box must reject by now.
    fn newest_revoked(&self) -> Option<usize> {
        let state = self.state.lock();
        // The key of a version is revoked by the next version.
        let revoked =
            state.written_at.iter().skip(1).take_while(|at| at.elapsed() >= MAX_PROPAGATION);
        Some(revoked.count()).filter(|count| *count > 0)
    }

    /// Describes the revoked keys that a box still accepted.
    pub fn violations(&self) -> Vec<String> {
        self.state.lock().violations.clone()
    }
}
