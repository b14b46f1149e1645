//! Samples of the running cluster: resources of processes, use of workers, and configuration in force.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use sedgehill_core::units::ResourceSet;
use sedgehill_platform::admin::BoxStatus;
use sedgehill_standin::cluster::TestCluster;
use sedgehill_standin::ledger::{RuleLedger, SafetyRule};
use serde::Serialize;

/// Time within which an accepted configuration must be in force on all boxes.
const MAX_IN_FORCE_DELAY: Duration = Duration::from_secs(2);
/// The unit of processor time in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Resources that the process of a box has used.
#[derive(Debug, Clone, Default, Serialize)]
pub struct BoxUsage {
    /// Processor time of the process, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory of the process, in MiB.
    pub resident_mib: f64,
}

/// Returns what a process has used so far, or `None` if it has ended.
pub fn process_usage(pid: u32) -> Option<BoxUsage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: f64 = resident.trim().trim_end_matches("kB").trim().parse().ok()?;
    Some(BoxUsage { cpu_seconds: ticks / TICKS_PER_SECOND, resident_mib: kib / 1024.0 })
}

/// Samples of the cores in use on workers that run any task.
#[derive(Debug, Clone, Default)]
pub struct PackingSamples {
    used_cores: f64,
    total_cores: f64,
}

impl PackingSamples {
    /// Takes a sample of every worker.
    pub fn take(&mut self, cluster: &TestCluster) {
        for worker in &cluster.workers {
            let (used, total) = worker.usage();
            if used != ResourceSet::default() {
                self.used_cores += used.cores.0 as f64;
                self.total_cores += total.cores.0 as f64;
            }
        }
    }

    /// Returns the share of cores in use on workers that run any task, over all samples.
    pub fn share(&self) -> f64 {
        if self.total_cores == 0.0 { 0.0 } else { self.used_cores / self.total_cores }
    }
}

/// Checks that configuration is never reverted and that an accepted version is soon in force on all boxes.
#[derive(Debug, Default)]
pub struct ConfigMonitor {
    /// The last version of each key on each box.
    versions: BTreeMap<(String, String), u64>,
    /// Key, version and time of acceptance of a version that is not yet in force on all boxes.
    pending: Option<(String, u64, Instant)>,
    /// Time from acceptance until each accepted version was in force on all boxes.
    pub delays: Vec<Duration>,
}

impl ConfigMonitor {
    /// Records that a version was accepted now.
    pub fn record_accepted(&mut self, key: &str, version: u64) {
        self.pending = Some((key.to_owned(), version, Instant::now()));
    }

    /// Checks the configuration that the running boxes have in force.
    pub fn take(&mut self, statuses: &[BoxStatus], ledger: &RuleLedger) {
        for status in statuses {
            for config in &status.configs {
                let key = (status.id.to_string(), config.key.clone());
                let version = config.version.0;
                let previous = self.versions.insert(key, version).unwrap_or(0);
                if version < previous {
                    let example =
                        format!("{}: {} went from {previous} to {version}", status.id, config.key);
                    ledger.record_violation(SafetyRule::Configuration, example);
                }
            }
        }
        self.check_pending(statuses, ledger);
    }

    fn check_pending(&mut self, statuses: &[BoxStatus], ledger: &RuleLedger) {
        let Some((key, version, since)) = self.pending.clone() else { return };
        let in_force = |status: &BoxStatus| {
            status.configs.iter().any(|config| config.key == key && config.version.0 >= version)
        };
        if statuses.iter().all(in_force) {
            self.delays.push(since.elapsed());
            self.pending = None;
        } else if since.elapsed() > MAX_IN_FORCE_DELAY {
            let example = format!("{key} version {version} is not in force everywhere in time");
            ledger.record_violation(SafetyRule::Configuration, example);
            self.pending = None;
        }
    }
}
