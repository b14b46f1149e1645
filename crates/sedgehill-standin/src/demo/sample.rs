//! Looks at the run from outside while it goes on: processes, workers, configuration.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use sedgehill_core::units::ResourceSet;
use sedgehill_platform::admin::BoxStatus;
use sedgehill_standin::cluster::TestCluster;
use sedgehill_standin::ledger::{RuleLedger, SafetyRule};
use serde::Serialize;

/// Accepted configuration must be in force everywhere within this.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);
/// The kernel counts processor time in hundredths of a second.
const TICKS_PER_SECOND: f64 = 100.0;

/// What one box cost.
#[derive(Debug, Clone, Default, Serialize)]
pub struct BoxUsage {
    /// Processor seconds of its process.
    pub cpu_seconds: f64,
    /// Its resident memory, in MiB.
    pub resident_mib: f64,
}

/// Reads what a process has used so far; none if it is gone.
pub fn process_usage(pid: u32) -> Option<BoxUsage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: f64 = resident.trim().trim_end_matches("kB").trim().parse().ok()?;
    Some(BoxUsage { cpu_seconds: ticks / TICKS_PER_SECOND, resident_mib: kib / 1024.0 })
}

/// How full the workers were on which anything ran.
#[derive(Debug, Clone, Default)]
pub struct PackingSamples {
    used: f64,
    total: f64,
}

impl PackingSamples {
    /// Looks at every worker once.
    pub fn take(&mut self, cluster: &TestCluster) {
        for worker in &cluster.workers {
            let (used, total) = worker.usage();
            if used != ResourceSet::default() {
                self.used += used.cores.0 as f64;
                self.total += total.cores.0 as f64;
            }
        }
    }

    /// The share of cores used on workers in use, over all looks.
    pub fn share(&self) -> f64 {
        if self.total == 0.0 { 0.0 } else { self.used / self.total }
    }
}

/// Watches that configuration never reverts and that what is accepted is in force everywhere soon.
#[derive(Debug, Default)]
pub struct ConfigWatch {
    newest: BTreeMap<(String, String), u64>,
    accepted: Option<(String, u64, Instant)>,
    /// How long each accepted version took to be in force everywhere.
    pub took: Vec<Duration>,
}

impl ConfigWatch {
    /// Notes that a version was accepted just now.
    pub fn accepted(&mut self, key: &str, version: u64) {
        self.accepted = Some((key.to_owned(), version, Instant::now()));
    }

    /// Takes in what the running boxes have in force.
    pub fn take(&mut self, statuses: &[BoxStatus], ledger: &RuleLedger) {
        for status in statuses {
            for config in &status.configs {
                let key = (status.id.to_string(), config.key.clone());
                let version = config.version.0;
                let before = self.newest.insert(key, version).unwrap_or(0);
                if version < before {
                    let example =
                        format!("{}: {} went from {before} to {version}", status.id, config.key);
                    ledger.break_rule(SafetyRule::Configuration, example);
                }
            }
        }
        self.check_accepted(statuses, ledger);
    }

    fn check_accepted(&mut self, statuses: &[BoxStatus], ledger: &RuleLedger) {
        let Some((key, version, since)) = self.accepted.clone() else { return };
        let in_force = |status: &BoxStatus| {
            status.configs.iter().any(|config| config.key == key && config.version.0 >= version)
        };
        if statuses.iter().all(in_force) {
            self.took.push(since.elapsed());
            self.accepted = None;
        } else if since.elapsed() > IN_FORCE_LIMIT {
            let example = format!("{key} version {version} is not in force everywhere in time");
            ledger.break_rule(SafetyRule::Configuration, example);
            self.accepted = None;
        }
    }
}
