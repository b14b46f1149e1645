//! A randomised soak test. Boxes run as separate processes and meet faults from outside. Their guarantees are checked by
//! what callers and workers observe.

mod callers;
mod faults;
mod full;
mod kept;
mod keys;
mod limits;
mod plan;
mod progress;
mod proxy;
mod series;
mod wide;

use std::collections::BTreeSet;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use self::callers::CallerPool;
use self::faults::Repair;
use self::full::{FULL_RUN_MS, RestartWatch};
pub use self::kept::KeptConnections;
use self::keys::{SOAK_KEY, SoakKeys};
pub use self::plan::{SoakFault, SoakPlan, draw_plan};
use self::progress::ProgressWatch;
pub use self::proxy::{FaultyPath, PathState};
use crate::cell_platform::{CORES, CellPlatform};
use crate::cell_process::{CellBoxConfig, CellProcess, call, call_with_key};

/// Duration of tasks. Many run longer than the box that started them holds the lead.
pub(crate) const RUN_MS: std::ops::Range<u64> = 150..2_000;
/// Maximum time from the end of all faults until all accepted jobs have ended.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(45);
/// Time after the acceptance of a job within which every box must know it, as promised to callers.
const MAX_VISIBILITY_DELAY: Duration = Duration::from_secs(3);
/// Time between two polls of the boxes.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The kind of cell and load of a soak.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakProfile {
    /// Workers with four cores, an organisation with keys and limits, jobs of a few tasks, and an advice service that
    /// allows every worker without delay.
    Narrow,
    /// Workers with sixteen cores, narrow jobs and jobs whose gangs need up to half of the cell, and costly advice. No job
    /// may stall during the load.
    Wide,
    /// Workers with sixteen cores that narrow jobs fill, and long-running jobs with costly advice whose runs fail. Their
    /// tasks have to run again in time.
    Full,
    /// As [`SoakProfile::Narrow`], with three organisations that have limits, of which one at a time sends several times
    /// its share.
    Limits,
}

/// The size of the cell, its load, and whether it meets faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoakSize {
    /// Number of boxes.
    pub boxes: usize,
    /// Number of workers, and of callers in the narrow profile.
    pub workers: usize,
    /// The kind of cell and load.
    pub profile: SoakProfile,
    /// Whether boxes, network paths, workers and the store meet faults. If not, only the questions to the advice service
    /// do, and in the narrow profile nothing does.
    pub faults: bool,
    /// Whether signals, restarts and changes also come in series, and some workers come back as late as a machine that
    /// boots.
    pub series: bool,
}

impl Default for SoakSize {
    fn default() -> SoakSize {
        SoakSize { boxes: 3, workers: 6, profile: SoakProfile::Narrow, faults: true, series: false }
    }
}

/// Number of callers in the wide and full profiles.
const WIDE_CALLERS: u64 = 12;
/// Duration of the load after the end of all faults in the wide and full profiles.
const CALM_LOAD: Duration = Duration::from_secs(12);

impl SoakSize {
    /// Returns the cores of a worker.
    pub fn cores(&self) -> usize {
        match self.profile {
            SoakProfile::Narrow | SoakProfile::Limits => CORES,
            SoakProfile::Wide | SoakProfile::Full => wide::WIDE_CORES,
        }
    }

    /// Returns the key with which a job is submitted.
    fn key_of(&self, id: u64) -> &'static str {
        match self.profile {
            SoakProfile::Limits => limits::key_of(id),
            SoakProfile::Narrow | SoakProfile::Wide | SoakProfile::Full => SOAK_KEY,
        }
    }

    /// Returns the number of callers.
    fn callers(&self) -> u64 {
        match self.profile {
            SoakProfile::Narrow | SoakProfile::Limits => self.workers as u64,
            SoakProfile::Wide | SoakProfile::Full => WIDE_CALLERS,
        }
    }
}

/// The result of one soak.
#[derive(Debug, Default)]
pub struct SoakReport {
    /// Number of faults in the plan.
    pub faults: usize,
    /// Number of accepted jobs that were not cancelled, except long-running ones.
    pub accepted: usize,
    /// Number of jobs that were refused at every attempt.
    pub refused: usize,
    /// Number of answers that a job could not end in time.
    pub too_late: u64,
    /// Number of accepted jobs with a task that crashes its workers. Each of them has to be given up.
    pub crashing: usize,
    /// Number of accepted jobs that were given up though they crash no worker. This is allowed once at least two lives of
    /// workers ended while they ran one of the tasks.
    pub given_up: usize,
    /// The longest time in calm that a job was stalled, in the wide profile.
    pub stalled: Duration,
    /// The longest time in calm that a long-running task was without a run, in the full profile.
    pub without_run: Duration,
    /// Number of long-running tasks that have run at least once.
    pub long_running: usize,
    /// Number of calls on kept connections.
    pub kept_calls: usize,
    /// Descriptions of the violated guarantees.
    pub broken: Vec<String>,
}

/// A box with its proxy to the store. It has no process while it is down.
struct SoakBox {
    config: CellBoxConfig,
    path: FaultyPath,
    process: Option<CellProcess>,
}

/// In one of this many seeds, each life of a worker has a new id and does not report when it began. In the others, some
/// workers restart under the same id.
const NEW_IDS_ONE_IN: u64 = 4;

/// The boxes, stand-ins and checks of a running soak.
struct Soak<'a> {
    size: SoakSize,
    directory: &'a Path,
    platform: Rc<CellPlatform>,
    boxes: Vec<SoakBox>,
    keys: SoakKeys,
    kept: KeptConnections,
    /// Workers that only the end of their boot brings back.
    booting: BTreeSet<usize>,
    progress: Rc<ProgressWatch>,
    restarts: Rc<RestartWatch>,
}

/// Runs the faults of a seed for some seconds. The plan and the settings and logs of the boxes are written to `directory`.
pub async fn run_soak(
    seed: u64,
    seconds: u64,
    size: SoakSize,
    directory: &Path,
) -> std::io::Result<SoakReport> {
    let plan = draw_plan(seed, seconds, size);
    std::fs::write(directory.join("plan.txt"), format!("{plan:#?}"))?;
    let mut soak = Soak::start(seed, size, directory).await?;
    soak.platform.workers.seed(seed);
    soak.platform.store.seed(seed);
    let addresses: Vec<_> = soak.boxes.iter().map(|soak_box| soak_box.config.callers).collect();
    let callers = CallerPool::new(addresses.clone(), size, soak.kept.clone());
    let mut report = SoakReport { faults: plan.len(), ..SoakReport::default() };
    let platform = soak.platform.clone();
    let load = drive_all((0..size.callers()).map(|caller| {
        let (callers, platform) = (&callers, &platform);
        async move {
            match size.profile {
                SoakProfile::Full => full::run_caller(callers, platform, seed, caller + 1).await,
                SoakProfile::Narrow | SoakProfile::Wide | SoakProfile::Limits => {
                    callers.run(seed, caller + 1).await
                }
            }
        }
    }));
    let keys = soak.keys.clone();
    let probing = keys.probe(&addresses, seed);
    let kept = soak.kept.clone();
    let calling = kept.run(&addresses, seed);
    let (progress, restarts) = (soak.progress.clone(), soak.restarts.clone());
    let watching = async {
        match size.profile {
            SoakProfile::Narrow | SoakProfile::Limits => std::future::pending().await,
            SoakProfile::Wide => progress.run(&platform, callers.jobs()).await,
            SoakProfile::Full => restarts.run(&platform).await,
        }
    };
    tokio::select! {
        () = load => {}
        () = probing => {}
        () = calling => {}
        () = callers.watch_backlog(&platform) => {}
        () = watching => {}
        result = soak.run(&plan, seconds) => result?,
    }
    soak.check_long_running(&callers, &mut report).await;
    soak.check(&callers, &mut report).await;
    report.stalled = soak.progress.max_stall();
    report.without_run = soak.restarts.max_time_without_run();
    report.long_running = soak.restarts.seen_count();
    let watched = [
        (soak.progress.violations(), "\"step stalled\""),
        (soak.restarts.violations(), "\"task without a run\""),
    ];
    for (violations, message) in
        watched.into_iter().filter(|(violations, _)| !violations.is_empty())
    {
        report.broken.extend(violations);
        report.broken.extend(soak.log_lines(message));
    }
    Ok(report)
}

/// Polls futures together until all have ended. The futures of a load run until they are dropped.
async fn drive_all<F: Future<Output = ()>>(futures: impl Iterator<Item = F>) {
    let mut pending: Vec<std::pin::Pin<Box<F>>> = futures.map(Box::pin).collect();
    std::future::poll_fn(|context| {
        pending.retain_mut(|future| future.as_mut().poll(context).is_pending());
        match pending.is_empty() {
            true => std::task::Poll::Ready(()),
            false => std::task::Poll::Pending,
        }
    })
    .await;
}

impl<'a> Soak<'a> {
    /// Starts the stand-ins and boxes, and waits until all boxes are ready.
    async fn start(seed: u64, size: SoakSize, directory: &'a Path) -> std::io::Result<Soak<'a>> {
        let mut platform = CellPlatform::start_with_cores(size.workers, size.cores()).await?;
        platform.workers.set_run_ms(match size.profile {
            SoakProfile::Narrow | SoakProfile::Wide | SoakProfile::Limits => RUN_MS,
            SoakProfile::Full => FULL_RUN_MS,
        });
        if !seed.is_multiple_of(NEW_IDS_ONE_IN) {
            platform.reuse_worker_ids(seed);
        }
        if size.series {
            series::slow_restarts(&platform.workers, size);
        }
        platform.put_foreign_entries();
        let keys = SoakKeys::new(size.workers);
        match size.profile {
            SoakProfile::Narrow => keys.configure(&platform),
            SoakProfile::Wide => wide::configure(&platform, 1),
            SoakProfile::Full => full::configure(&platform, 1),
            SoakProfile::Limits => limits::configure(&platform, 1),
        }
        let mut boxes = Vec::new();
        for number in 0..size.boxes {
            let path = FaultyPath::open(platform.store_address).await?;
            let advice = platform.add_advice_address().await?;
            let config =
                CellBoxConfig::new(&format!("box-{number}"), &platform, path.address, "0.25");
            let config = config.with_advice(advice);
            let process = Some(config.start(directory)?);
            boxes.push(SoakBox { config, path, process });
        }
        let (platform, progress) = (Rc::new(platform), Rc::new(ProgressWatch::new()));
        let restarts = Rc::new(RestartWatch::new());
        let kept = KeptConnections::new(size.boxes);
        let booting = BTreeSet::new();
        let mut soak =
            Soak { size, directory, platform, boxes, keys, kept, booting, progress, restarts };
        soak.wait_ready().await?;
        Ok(soak)
    }

    /// Returns the lines with `message` from the logs of all boxes. They show the reason of a violation even if the logs
    /// are not kept.
    fn log_lines(&self, message: &str) -> Vec<String> {
        let logs = self.boxes.iter().map(|soak_box| soak_box.config.log_path(self.directory));
        let texts = logs.filter_map(|log| std::fs::read_to_string(log).ok());
        let matching_lines = |text: String| {
            let lines = text.lines().filter(|line| line.contains(message));
            lines.map(str::to_owned).collect::<Vec<_>>()
        };
        texts.flat_map(matching_lines).collect()
    }

    /// Waits until every box is ready.
    async fn wait_ready(&mut self) -> std::io::Result<()> {
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        for soak_box in &self.boxes {
            while !is_ready(soak_box).await {
                if Instant::now() > deadline {
                    return Err(std::io::Error::other(format!(
                        "{} is not ready",
                        soak_box.config.name
                    )));
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Executes the plan and ends all faults. In the wide and full profiles the load then continues in calm for
    /// [`CALM_LOAD`].
    async fn run(&mut self, plan: &SoakPlan, seconds: u64) -> std::io::Result<()> {
        self.execute_plan(plan, seconds).await?;
        self.repair_all()?;
        if self.size.faults {
            self.record_fault();
        }
        if matches!(self.size.profile, SoakProfile::Wide | SoakProfile::Full) {
            self.execute_plan(&SoakPlan::new(), CALM_LOAD.as_secs()).await?;
        }
        Ok(())
    }

    /// Injects the faults of a plan and repairs them, for some seconds. Repairs that are due later are left to
    /// [`Soak::repair_all`].
    async fn execute_plan(&mut self, plan: &SoakPlan, seconds: u64) -> std::io::Result<()> {
        let started = Instant::now();
        let mut faults = plan.iter().peekable();
        let mut repairs: Vec<(Instant, Repair)> = Vec::new();
        while started.elapsed() < Duration::from_secs(seconds) {
            while let Some((_, fault)) = faults.next_if(|(at, _)| started.elapsed() >= *at) {
                self.inject(*fault, &mut repairs)?;
            }
            let now = Instant::now();
            let due: Vec<_> = repairs.extract_if(.., |(at, _)| *at <= now).collect();
            for (_, repair) in due {
                self.repair(repair, &mut repairs)?;
            }
            self.restart_stopped_boxes()?;
            tokio::time::sleep(POLL_INTERVAL / 5).await;
        }
        Ok(())
    }

    /// Tells the watches that a fault begins or ends now.
    fn record_fault(&self) {
        self.progress.record_fault();
        self.restarts.record_fault();
    }

    /// Starts boxes again whose processes have ended, as after a planned stop.
    fn restart_stopped_boxes(&mut self) -> std::io::Result<()> {
        for number in 0..self.boxes.len() {
            let ended = self.boxes[number].process.take_if(CellProcess::has_ended);
            if let Some(mut process) = ended {
                self.kept.record_end(number, process.wait());
                self.start_box(number)?;
            }
        }
        Ok(())
    }

    /// Checks that boxes report the long-running jobs as running, and as cancelled once they are cancelled.
    async fn check_long_running(&mut self, callers: &CallerPool, report: &mut SoakReport) {
        let ids = callers.jobs().lock().long_running.clone();
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        for id in ids {
            if let Some(state) = self.wait_for_state(id, "running", deadline).await {
                report.broken.push(format!("{id:016x} was accepted and is {state}"));
                continue;
            }
            let path = wide::job_path(id);
            for soak_box in &self.boxes {
                call_with_key(soak_box.config.callers, "DELETE", &path, "", Some(SOAK_KEY)).await;
            }
            if let Some(state) = self.wait_for_state(id, "cancelled", deadline).await {
                report.broken.push(format!("{id:016x} was cancelled and is {state}"));
            }
        }
    }

    /// Checks the guarantees that hold after the end of all faults: the states of accepted jobs, the violations that the
    /// stand-ins recorded, that no refused job ran, and that no box panicked.
    async fn check(&mut self, callers: &CallerPool, report: &mut SoakReport) {
        let accepted = callers.jobs().lock().accepted.clone();
        let refused = callers.jobs().lock().refused.clone();
        let crashing = callers.jobs().lock().crashing.clone();
        report.crashing = crashing.intersection(&accepted).count();
        report.accepted = accepted.len();
        report.refused = refused.len();
        report.too_late = callers.jobs().lock().answers.get(&429).copied().unwrap_or_default();
        tokio::time::sleep(MAX_VISIBILITY_DELAY).await;
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        for id in accepted {
            let wanted = if crashing.contains(&id) { "failed" } else { "completed" };
            let Some(state) = self.wait_for_state(id, wanted, deadline).await else { continue };
            let job = format!("{id:016x}");
            match state.contains("failed") && self.platform.workers.may_give_up(&job) {
                true => report.given_up += 1,
                false => report.broken.push(format!("{job} was accepted and is {state}")),
            }
        }
        report.broken.extend(self.platform.workers.violations());
        report.broken.extend(self.keys.violations());
        report.broken.extend(self.kept.violations());
        report.kept_calls = self.kept.calls();
        report.broken.extend(self.platform.shared_tokens());
        let started = self.platform.workers.started_jobs();
        let ran = refused.iter().map(|id| format!("{id:016x}")).filter(|id| started.contains(id));
        report.broken.extend(ran.map(|id| format!("{id} was refused each time and ran")));
        for soak_box in &self.boxes {
            let log = std::fs::read_to_string(soak_box.config.log_path(self.directory));
            // A box that panicked was started again, so only its log shows the panic.
            if log.is_ok_and(|log| log.contains("panicked")) {
                report.broken.push(format!("{} panicked", soak_box.config.name));
            }
        }
    }

    /// Waits until a box reports a job in the state `wanted`, and returns `None` then. Otherwise returns what boxes report
    /// instead: at once if the job has failed or is not known any more, or else the last answer at the deadline.
    async fn wait_for_state(&mut self, id: u64, wanted: &str, deadline: Instant) -> Option<String> {
        let path = wide::job_path(id);
        let mut last_answer = String::from("not known");
        loop {
            let is_last_poll = Instant::now() >= deadline;
            if let Err(error) = self.restart_stopped_boxes() {
                return Some(format!("not to be asked for: {error}"));
            }
            for soak_box in &self.boxes {
                let key = Some(self.size.key_of(id));
                match call_with_key(soak_box.config.callers, "GET", &path, "", key).await {
                    Some((200, body)) if body.contains(wanted) => return None,
                    // A failed job does not change its state any more.
                    Some((200, body)) if body.contains("failed") => return Some(body),
                    Some((410, _)) => return Some("not known any more".to_owned()),
                    Some((status, body)) => last_answer = format!("{status} {body}"),
                    None => {}
                }
            }
            if is_last_poll {
                return Some(last_answer);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Returns whether a box reports itself as ready.
async fn is_ready(soak_box: &SoakBox) -> bool {
    let answer = call(soak_box.config.ready, "GET", "/sedgehill/readyz", "").await;
    answer.is_some_and(|(status, _)| status == 200)
}
