//! The course of the demonstration: load with faults and changes at fixed shares of its duration.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use sedgehill_platform::admin::{BoxHealth, BoxStatus};
use sedgehill_standin::cluster::{ClusterPlan, TestCluster};
use sedgehill_standin::ledger::SafetyRule;
use tokio::sync::watch;

use super::load::{BalancerView, EXAMPLE_LOAD, LoadContext, send};
use super::report::{DemoReport, DemoResults};
use super::sampling::{BoxUsage, ConfigMonitor, PackingSamples, process_usage};
use super::{print_progress, publish_examples};

/// Interval at which the cluster is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// The configuration key that is changed during the load.
const CHANGED_KEY: &str = "parameters/inkaso/windyk";
/// Time within which all jobs must end after the load.
const JOBS_TIMEOUT: Duration = Duration::from_secs(30);

/// A planned stop of a box, from the signal to its end.
#[derive(Debug, Clone, Copy)]
struct PlannedStop {
    index: usize,
    began: Instant,
    ended: Option<Instant>,
}

struct DemoRun {
    cluster: TestCluster,
    load: LoadContext,
    balancer: watch::Sender<BalancerView>,
    packing: PackingSamples,
    configs: ConfigMonitor,
    box_usage: BTreeMap<String, BoxUsage>,
    planned_stop: Option<PlannedStop>,
}

/// Runs the demonstration and returns its report.
pub async fn run(plan: &ClusterPlan, length: Duration) -> DemoReport {
    print_progress("Building", "sedgehilld and sedgehill");
    let mut cluster = TestCluster::prepare(plan).await;
    print_progress(
        "Starting",
        format!(
            "{} boxes, {} workers, {} endpoints",
            cluster.boxes.len(),
            cluster.workers.len(),
            cluster.endpoints.len()
        ),
    );
    let mut start_up = Vec::new();
    for index in 0..cluster.boxes.len() {
        cluster.start_box(index);
        start_up.push(cluster.wait_ready(index).await);
    }
    publish_examples(&cluster).await;
    let (balancer, view) = watch::channel(BalancerView::default());
    let load = LoadContext::new(cluster.caller(), view);
    let mut run = DemoRun {
        cluster,
        load,
        balancer,
        packing: PackingSamples::default(),
        configs: ConfigMonitor::default(),
        box_usage: BTreeMap::new(),
        planned_stop: None,
    };
    run.sample().await;
    let jobs = run.submit_jobs().await;
    run.send_load(length).await;
    let unfinished = run.finish_jobs(&jobs).await;
    run.check_lost_calls();
    DemoReport::new(&DemoResults {
        cluster: &run.cluster,
        load: &run.load,
        start_up: &start_up,
        packing: &run.packing,
        configs: &run.configs,
        box_usage: &run.box_usage,
        jobs: jobs.len(),
        unfinished_jobs: unfinished,
    })
}

impl DemoRun {
    /// Sends the load and triggers each event at its share of the duration.
    async fn send_load(&mut self, length: Duration) {
        print_progress("Sending", format!("load for {} s", length.as_secs()));
        let sending = tokio::spawn(send(self.load.clone(), &EXAMPLE_LOAD, length));
        let started = Instant::now();
        let mut triggered = 0;
        while !sending.is_finished() {
            let share = started.elapsed().as_secs_f64() / length.as_secs_f64();
            while let Some((at, event)) = EVENTS.get(triggered).filter(|(at, _)| share >= *at) {
                print_progress("At", format!("{:.0}%: {}", at * 100.0, event.description()));
                self.trigger(*event).await;
                triggered += 1;
            }
            self.sample().await;
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    }

    async fn trigger(&mut self, event: DemoEvent) {
        match event {
            DemoEvent::LeaveEndpoints => {
                for endpoint in self.cluster.endpoints.iter().step_by(10) {
                    self.cluster.list.set_endpoint_leaving(endpoint.id(), true);
                    self.cluster.ledger.endpoint_leaving(endpoint.id());
                }
            }
            DemoEvent::KillBox => self.cluster.boxes[0].kill(),
            DemoEvent::RestartBox => self.cluster.start_box(0),
            DemoEvent::ChangeConfig => self.change_config().await,
            DemoEvent::StopBox => {
                self.cluster.boxes[1].signal(Signal::SIGTERM);
                self.planned_stop =
                    Some(PlannedStop { index: 1, began: Instant::now(), ended: None });
            }
            DemoEvent::RestartWorkers => {
                for worker in self.cluster.workers.iter().step_by(17) {
                    worker.restart();
                }
            }
        }
    }

    async fn change_config(&mut self) {
        let path = self.cluster.directory().join("change.json");
        let text = r#"{ "parameters": [ { "organisation": "inkaso", "template": "windyk",
            "priority": 9, "queue": 3000 } ] }"#;
        std::fs::write(&path, text).expect("the configuration file can be written");
        let args = ["--format", "json", "publish", path.to_str().expect("the path is text")];
        let output = self.cluster.client_ok(&args).await;
        let published: serde_json::Value =
            serde_json::from_str(&output).expect("the client prints JSON");
        let version = published[0]["version"].as_u64().expect("a version is a number");
        self.configs.record_accepted(CHANGED_KEY, version);
    }

    /// Samples processes, workers and boxes, and updates the boxes to which the balancer sends requests.
    async fn sample(&mut self) {
        self.packing.take(&self.cluster);
        let mut ready = Vec::new();
        let mut statuses: Vec<BoxStatus> = Vec::new();
        for index in 0..self.cluster.boxes.len() {
            self.restart_stopped(index);
            let process = &self.cluster.boxes[index];
            let Some(usage) = process.pid().and_then(process_usage) else { continue };
            self.box_usage.insert(process.id.to_string(), usage);
            let address = process.addresses.traffic;
            let Some(health) = self.cluster.health(index).await else { continue };
            if health.health == BoxHealth::Ready {
                ready.push(address);
                statuses.extend(self.cluster.status(index).await);
            }
        }
        self.configs.take(&statuses, &self.cluster.ledger);
        self.balancer.send_replace(BalancerView { ready });
    }

    /// Starts a box again when its planned stop has ended, and checks its exit code.
    fn restart_stopped(&mut self, index: usize) {
        let Some(stop) =
            self.planned_stop.as_mut().filter(|stop| stop.index == index && stop.ended.is_none())
        else {
            return;
        };
        if let Some(code) = self.cluster.boxes[index].try_wait() {
            stop.ended = Some(Instant::now());
            if code != Some(0) {
                let example = format!("the stopping box ended with {code:?}");
                self.cluster.ledger.record_violation(SafetyRule::PlannedStop, example);
            }
            self.cluster.start_box(index);
        }
    }

    /// Records a violation for each call that was lost at a box during its planned stop.
    fn check_lost_calls(&self) {
        let Some(stop) = self.planned_stop else { return };
        let address = self.cluster.boxes[stop.index].addresses.traffic;
        let ended = stop.ended.unwrap_or_else(Instant::now) + SAMPLE_INTERVAL;
        for lost in self.load.lost() {
            let is_during_stop = lost.began <= ended && lost.lost >= stop.began;
            if lost.address == address && is_during_stop {
                self.cluster.ledger.record_violation(SafetyRule::PlannedStop, lost.reason);
            }
        }
    }

    /// Submits the jobs of the demonstration by the command line and returns their ids.
    async fn submit_jobs(&self) -> Vec<String> {
        const JOBS: [(&str, &str, &str); 8] = [
            ("inkaso", "arrears-rerun", "120"),
            ("haddad", "cdr-archive", "100"),
            ("inkaso", "utility-merge", "8"),
            ("haddad", "fraud-graph", "12"),
            ("inkaso", "arrears-rerun", "80"),
            ("haddad", "cdr-archive", "60"),
            ("inkaso", "utility-merge", "4"),
            ("haddad", "fraud-graph", "6"),
        ];
        let mut ids = Vec::new();
        for (organisation, template, tasks) in JOBS {
            let args = [
                "submit",
                "--organisation",
                organisation,
                "--template",
                template,
                "--tasks",
                tasks,
            ];
            ids.push(self.cluster.client_ok(&args).await.trim().to_owned());
        }
        print_progress("Submitted", format!("{} jobs", ids.len()));
        ids
    }

    /// Waits until the jobs have ended. Returns the number of those that have not ended in time.
    async fn finish_jobs(&mut self, ids: &[String]) -> usize {
        print_progress("Waiting", "for the jobs to end");
        let started = Instant::now();
        loop {
            let text = self.cluster.client_ok(&["--format", "json", "jobs"]).await;
            let jobs: Vec<sedgehill_platform::admin::JobListing> =
                serde_json::from_str(&text).expect("the client prints jobs");
            let open = jobs
                .iter()
                .filter(|listing| ids.contains(&listing.id.to_string()))
                .filter(|listing| !listing.job.phase.is_final())
                .count();
            if open == 0 || started.elapsed() > JOBS_TIMEOUT {
                return open;
            }
            self.sample().await;
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    }
}

/// A fault or change during the load.
#[derive(Debug, Clone, Copy)]
enum DemoEvent {
    LeaveEndpoints,
    RestartWorkers,
    KillBox,
    ChangeConfig,
    RestartBox,
    StopBox,
}

impl DemoEvent {
    fn description(self) -> &'static str {
        match self {
            DemoEvent::LeaveEndpoints => "every tenth endpoint is leaving",
            DemoEvent::RestartWorkers => "every seventeenth worker restarts",
            DemoEvent::KillBox => "box-1 is killed",
            DemoEvent::ChangeConfig => "an operator publishes a change",
            DemoEvent::RestartBox => "box-1 is replaced",
            DemoEvent::StopBox => "box-2 stops as planned, and is replaced",
        }
    }
}

/// The events, each with the share of the duration at which it is triggered.
const EVENTS: [(f64, DemoEvent); 6] = [
    (0.10, DemoEvent::LeaveEndpoints),
    (0.20, DemoEvent::RestartWorkers),
    (0.30, DemoEvent::KillBox),
    (0.40, DemoEvent::ChangeConfig),
    (0.50, DemoEvent::RestartBox),
    (0.65, DemoEvent::StopBox),
];
