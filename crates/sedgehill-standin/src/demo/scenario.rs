//! What happens when: load, a kill, a planned stop, a leaving endpoint, changes of configuration.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use sedgehill_platform::admin::{BoxHealth, BoxStatus};
use sedgehill_standin::cluster::{ClusterPlan, TestCluster};
use sedgehill_standin::ledger::SafetyRule;
use tokio::sync::watch;

use super::load::{BRIEF_LOAD, BalancerView, LoadShared, send};
use super::report::{DemoFindings, DemoReport};
use super::sample::{BoxUsage, ConfigWatch, PackingSamples, process_usage};
use super::{progress, publish_examples};

const TURN: Duration = Duration::from_millis(200);
/// The key that is changed on the way.
const CHANGED_KEY: &str = "parameters/inkaso/windyk";
/// How long jobs may take to end after the load.
const JOBS_LIMIT: Duration = Duration::from_secs(30);

/// A planned stop of a box, from the signal to its end.
#[derive(Debug, Clone, Copy)]
struct PlannedStop {
    index: usize,
    began: Instant,
    ended: Option<Instant>,
}

struct DemoRun {
    cluster: TestCluster,
    shared: LoadShared,
    balancer: watch::Sender<BalancerView>,
    packing: PackingSamples,
    configs: ConfigWatch,
    costs: BTreeMap<String, BoxUsage>,
    stop: Option<PlannedStop>,
}

/// Runs everything and reports.
pub async fn run(plan: &ClusterPlan, length: Duration) -> DemoReport {
    progress("Building", "sedgehilld and sedgehill");
    let mut cluster = TestCluster::prepare(plan).await;
    progress(
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
    let shared = LoadShared::new(cluster.caller(), view);
    let mut run = DemoRun {
        cluster,
        shared,
        balancer,
        packing: PackingSamples::default(),
        configs: ConfigWatch::default(),
        costs: BTreeMap::new(),
        stop: None,
    };
    run.look().await;
    let jobs = run.submit_jobs().await;
    run.load(length).await;
    let unfinished = run.finish_jobs(&jobs).await;
    run.check_lost_calls();
    DemoReport::new(&DemoFindings {
        cluster: &run.cluster,
        shared: &run.shared,
        start_up: &start_up,
        packing: &run.packing,
        configs: &run.configs,
        costs: &run.costs,
        jobs: jobs.len(),
        unfinished_jobs: unfinished,
    })
}

impl DemoRun {
    /// Sends the load and breaks things on the way, each at its share of the time.
    async fn load(&mut self, length: Duration) {
        progress("Sending", format!("load for {} s", length.as_secs()));
        let sending = tokio::spawn(send(self.shared.clone(), &BRIEF_LOAD, length));
        let started = Instant::now();
        let mut done = 0;
        while !sending.is_finished() {
            let share = started.elapsed().as_secs_f64() / length.as_secs_f64();
            while let Some((at, event)) = EVENTS.get(done).filter(|(at, _)| share >= *at) {
                progress("At", format!("{:.0}%: {}", at * 100.0, event.name()));
                self.cause(*event).await;
                done += 1;
            }
            self.look().await;
            tokio::time::sleep(TURN).await;
        }
    }

    async fn cause(&mut self, event: DemoEvent) {
        match event {
            DemoEvent::LeaveEndpoints => {
                for endpoint in self.cluster.endpoints.iter().step_by(10) {
                    self.cluster.list.set_endpoint_leaving(endpoint.id(), true);
                    self.cluster.ledger.endpoint_leaving(endpoint.id());
                }
            }
            DemoEvent::KillBox => self.cluster.boxes[0].kill(),
            DemoEvent::ReplaceBox => self.cluster.start_box(0),
            DemoEvent::ChangeConfig => self.change_config().await,
            DemoEvent::StopBox => {
                self.cluster.boxes[1].signal(Signal::SIGTERM);
                self.stop = Some(PlannedStop { index: 1, began: Instant::now(), ended: None });
            }
            DemoEvent::CutWorkers => {
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
        std::fs::write(&path, text).expect("a file can be written");
        let args = ["--format", "json", "publish", path.to_str().expect("the path is text")];
        let output = self.cluster.client_ok(&args).await;
        let published: serde_json::Value =
            serde_json::from_str(&output).expect("the client prints JSON");
        let version = published[0]["version"].as_u64().expect("a version is a number");
        self.configs.accepted(CHANGED_KEY, version);
    }

    /// Looks at everything once, as the balancer and the operators would.
    async fn look(&mut self) {
        self.packing.take(&self.cluster);
        let mut ready = Vec::new();
        let mut statuses: Vec<BoxStatus> = Vec::new();
        for index in 0..self.cluster.boxes.len() {
            self.look_after_stop(index);
            let process = &self.cluster.boxes[index];
            let Some(cost) = process.pid().and_then(process_usage) else { continue };
            self.costs.insert(process.id.to_string(), cost);
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

    /// Starts a box again once its planned stop has ended.
    fn look_after_stop(&mut self, index: usize) {
        let Some(stop) =
            self.stop.as_mut().filter(|stop| stop.index == index && stop.ended.is_none())
        else {
            return;
        };
        if let Some(code) = self.cluster.boxes[index].try_wait() {
            stop.ended = Some(Instant::now());
            if code != Some(0) {
                let example = format!("the stopping box ended with {code:?}");
                self.cluster.ledger.break_rule(SafetyRule::PlannedStop, example);
            }
            self.cluster.start_box(index);
        }
    }

    /// A call that was lost at a box during its planned stop was cut off by it.
    fn check_lost_calls(&self) {
        let Some(stop) = self.stop else { return };
        let address = self.cluster.boxes[stop.index].addresses.traffic;
        let ended = stop.ended.unwrap_or_else(Instant::now) + TURN;
        for lost in self.shared.lost() {
            let during = lost.began <= ended && lost.lost >= stop.began;
            if lost.address == address && during {
                self.cluster.ledger.break_rule(SafetyRule::PlannedStop, lost.reason);
            }
        }
    }

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
        progress("Submitted", format!("{} jobs", ids.len()));
        ids
    }

    /// Waits until the jobs have ended and returns how many have not.
    async fn finish_jobs(&mut self, ids: &[String]) -> usize {
        progress("Waiting", "for the jobs to end");
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
            if open == 0 || started.elapsed() > JOBS_LIMIT {
                return open;
            }
            self.look().await;
            tokio::time::sleep(TURN).await;
        }
    }
}

/// What is caused on the way.
#[derive(Debug, Clone, Copy)]
enum DemoEvent {
    LeaveEndpoints,
    CutWorkers,
    KillBox,
    ChangeConfig,
    ReplaceBox,
    StopBox,
}

impl DemoEvent {
    fn name(self) -> &'static str {
        match self {
            DemoEvent::LeaveEndpoints => "every tenth endpoint is leaving",
            DemoEvent::CutWorkers => "every seventeenth worker restarts",
            DemoEvent::KillBox => "box-1 is killed",
            DemoEvent::ChangeConfig => "an operator publishes a change",
            DemoEvent::ReplaceBox => "box-1 is replaced",
            DemoEvent::StopBox => "box-2 stops as planned, and is replaced",
        }
    }
}

/// The events, each with its share of the time.
const EVENTS: [(f64, DemoEvent); 6] = [
    (0.10, DemoEvent::LeaveEndpoints),
    (0.20, DemoEvent::CutWorkers),
    (0.30, DemoEvent::KillBox),
    (0.40, DemoEvent::ChangeConfig),
    (0.50, DemoEvent::ReplaceBox),
    (0.65, DemoEvent::StopBox),
];
