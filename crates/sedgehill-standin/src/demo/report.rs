//! The table at the end of the demonstration.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use sedgehill_standin::cluster::TestCluster;
use sedgehill_standin::ledger::{CallerOutcome, RuleCount, SafetyRule};
use serde::Serialize;

use super::load::{KindTally, LoadShared};
use super::sample::{BoxUsage, ConfigWatch, PackingSamples};

/// What callers of one kind saw.
#[derive(Debug, Clone, Serialize)]
pub struct KindReport {
    path: String,
    waiting_p50_ms: f64,
    waiting_p99_ms: f64,
    answered: u64,
    not_run: u64,
    unknown: u64,
    nothing: u64,
    reasons: BTreeMap<String, u64>,
}

impl KindReport {
    fn new(path: &str, tally: &KindTally) -> KindReport {
        let count = |outcome| tally.outcomes.get(&outcome).copied().unwrap_or(0);
        let millis = |quantile| tally.waiting.value_at_quantile(quantile) as f64 / 1000.0;
        KindReport {
            path: path.to_owned(),
            waiting_p50_ms: millis(0.5),
            waiting_p99_ms: millis(0.99),
            answered: count(CallerOutcome::Answered),
            not_run: count(CallerOutcome::NotRun),
            unknown: count(CallerOutcome::Unknown),
            nothing: count(CallerOutcome::Nothing),
            reasons: tally.reasons.clone(),
        }
    }
}

/// Everything that the demonstration found.
#[derive(Debug, Clone, Serialize)]
pub struct DemoReport {
    kinds: Vec<KindReport>,
    start_up_ms: Vec<f64>,
    packing: f64,
    in_force_ms: Vec<f64>,
    task_starts: u64,
    jobs: usize,
    unfinished_jobs: usize,
    log_appends: u64,
    boxes: BTreeMap<String, BoxUsage>,
    violations: Vec<(SafetyRule, RuleCount)>,
}

/// What a report is made from.
pub struct DemoFindings<'r> {
    /// The cell.
    pub cluster: &'r TestCluster,
    /// What callers saw.
    pub shared: &'r LoadShared,
    /// How long each box took to be ready.
    pub start_up: &'r [Duration],
    /// How full workers were.
    pub packing: &'r PackingSamples,
    /// How configuration came into force.
    pub configs: &'r ConfigWatch,
    /// What each box used.
    pub costs: &'r BTreeMap<String, BoxUsage>,
    /// Jobs that were submitted.
    pub jobs: usize,
    /// Jobs that did not end in time.
    pub unfinished_jobs: usize,
}

fn all_millis(times: &[Duration]) -> Vec<f64> {
    times.iter().map(|time| time.as_secs_f64() * 1000.0).collect()
}

impl DemoReport {
    /// Gathers the findings.
    pub fn new(findings: &DemoFindings<'_>) -> DemoReport {
        let DemoFindings { cluster, shared, packing, configs, costs, .. } = findings;
        let tally = shared.tally();
        DemoReport {
            kinds: tally.iter().map(|(path, tally)| KindReport::new(path, tally)).collect(),
            start_up_ms: all_millis(findings.start_up),
            packing: packing.share(),
            in_force_ms: all_millis(&configs.took),
            task_starts: cluster.ledger.task_starts(),
            jobs: findings.jobs,
            unfinished_jobs: findings.unfinished_jobs,
            log_appends: cluster.log.append_count(),
            boxes: (*costs).clone(),
            violations: cluster.ledger.violations(),
        }
    }

    /// Whether every promise was kept and every job ended.
    pub fn passed(&self) -> bool {
        self.unfinished_jobs == 0 && self.violations.iter().all(|(_, count)| count.count == 0)
    }

    /// The table.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let _ = writeln!(
            text,
            "\n{:<30} {:>10} {:>10} {:>9} {:>8} {:>8} {:>8}",
            "requests", "wait p50", "wait p99", "answered", "not run", "unknown", "nothing"
        );
        for kind in &self.kinds {
            let _ = writeln!(
                text,
                "{:<30} {:>7.1} ms {:>7.1} ms {:>9} {:>8} {:>8} {:>8}",
                kind.path,
                kind.waiting_p50_ms,
                kind.waiting_p99_ms,
                kind.answered,
                kind.not_run,
                kind.unknown,
                kind.nothing
            );
        }
        for kind in self.kinds.iter().filter(|kind| !kind.reasons.is_empty()) {
            let _ = writeln!(text, "  {} not answered: {:?}", kind.path, kind.reasons);
        }
        let _ = writeln!(
            text,
            "\n{} task starts, {} of {} jobs ended, {:.0}% of the cores of workers in use were used",
            self.task_starts,
            self.jobs - self.unfinished_jobs,
            self.jobs,
            self.packing * 100.0
        );
        let _ = writeln!(
            text,
            "{} log appends; boxes ready after {:.0?} ms; changes in force after {:.0?} ms",
            self.log_appends, self.start_up_ms, self.in_force_ms
        );
        for (name, cost) in &self.boxes {
            let _ = writeln!(
                text,
                "{name}: {:.1} s of processor time, {:.0} MiB resident",
                cost.cpu_seconds, cost.resident_mib
            );
        }
        text.push_str("\nbroken promises, as counted by the stand-ins\n");
        for (rule, count) in &self.violations {
            let _ = writeln!(text, "{:<44} {:>6}", rule.to_string(), count.count);
            for example in &count.examples {
                let _ = writeln!(text, "    {example}");
            }
        }
        let verdict = if self.passed() { "passed" } else { "FAILED" };
        let _ = writeln!(text, "\n{verdict}");
        text
    }
}
