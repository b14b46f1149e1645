//! The report of the demonstration, as a table and as JSON.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use sedgehill_standin::cluster::TestCluster;
use sedgehill_standin::ledger::{CallerOutcome, RuleCount, SafetyRule};
use serde::Serialize;

use super::load::{KindTally, LoadContext};
use super::sampling::{BoxUsage, ConfigMonitor, PackingSamples};

/// Results of the calls of one kind.
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
        let quantile_ms = |quantile| tally.waiting.value_at_quantile(quantile) as f64 / 1000.0;
        KindReport {
            path: path.to_owned(),
            waiting_p50_ms: quantile_ms(0.5),
            waiting_p99_ms: quantile_ms(0.99),
            answered: count(CallerOutcome::Answered),
            not_run: count(CallerOutcome::NotRun),
            unknown: count(CallerOutcome::Unknown),
            nothing: count(CallerOutcome::Nothing),
            reasons: tally.reasons.clone(),
        }
    }
}

/// Results of the demonstration.
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

/// Sources of a report.
pub struct DemoResults<'r> {
    /// The cluster.
    pub cluster: &'r TestCluster,
    /// Results of the calls.
    pub load: &'r LoadContext,
    /// Time that each box took to become ready.
    pub start_up: &'r [Duration],
    /// Samples of the use of workers.
    pub packing: &'r PackingSamples,
    /// Observations of the configuration of boxes.
    pub configs: &'r ConfigMonitor,
    /// Resources that each box used.
    pub box_usage: &'r BTreeMap<String, BoxUsage>,
    /// Number of jobs that were submitted.
    pub jobs: usize,
    /// Number of jobs that did not end in time.
    pub unfinished_jobs: usize,
}

fn to_millis(times: &[Duration]) -> Vec<f64> {
    times.iter().map(|time| time.as_secs_f64() * 1000.0).collect()
}

impl DemoReport {
    /// Builds the report.
    pub fn new(results: &DemoResults<'_>) -> DemoReport {
        let DemoResults { cluster, load, packing, configs, box_usage, .. } = results;
        let tally = load.tally();
        DemoReport {
            kinds: tally.iter().map(|(path, tally)| KindReport::new(path, tally)).collect(),
            start_up_ms: to_millis(results.start_up),
            packing: packing.share(),
            in_force_ms: to_millis(&configs.delays),
            task_starts: cluster.ledger.task_starts(),
            jobs: results.jobs,
            unfinished_jobs: results.unfinished_jobs,
            log_appends: cluster.log.append_count(),
            boxes: (*box_usage).clone(),
            violations: cluster.ledger.violations(),
        }
    }

    /// Returns whether no safety rule was violated and all jobs ended.
    pub fn passed(&self) -> bool {
        self.unfinished_jobs == 0 && self.violations.iter().all(|(_, count)| count.count == 0)
    }

    /// Formats the report as a table.
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
        for (name, usage) in &self.boxes {
            let _ = writeln!(
                text,
                "{name}: {:.1} s of processor time, {:.0} MiB resident",
                usage.cpu_seconds, usage.resident_mib
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
