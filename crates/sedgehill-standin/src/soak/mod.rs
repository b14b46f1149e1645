//! A randomised soak: boxes as separate processes, broken from outside, their promises checked from
//! what callers and workers see.

mod callers;
mod faults;
mod full;
mod keys;
mod plan;
mod progress;
mod proxy;
mod wide;

use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use self::callers::CallerPool;
use self::faults::Repair;
use self::full::{FULL_RUN_MS, RestartWatch};
use self::keys::{SOAK_KEY, SoakKeys};
pub use self::plan::{SoakFault, SoakPlan, draw_plan};
use self::progress::ProgressWatch;
pub use self::proxy::{FaultyPath, PathState};
use crate::cell_platform::{CORES, CellPlatform};
use crate::cell_process::{CellBoxConfig, CellProcess, call, call_with_key};

/// How long tasks run, in milliseconds: many outlive their lead.
pub(crate) const RUN_MS: std::ops::Range<u64> = 150..2_000;
/// How long everything accepted may take to end once all is well again.
const SETTLE_LIMIT: Duration = Duration::from_secs(45);
/// From its acceptance until every box has to know a job, as callers are told.
const VISIBLE: Duration = Duration::from_secs(3);
/// Time between two looks.
const TURN: Duration = Duration::from_millis(100);

/// What a cell of a soak is like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakWorld {
    /// Workers of four cores, an organisation with keys and limits, jobs of a few tasks, an advice service that likes
    /// every worker at once.
    Narrow,
    /// Workers of sixteen cores, jobs with gangs as wide as half of the cell among narrow ones, dear advice. It is
    /// watched that no job is stalled while the load goes on.
    Wide,
    /// Workers of sixteen cores that narrow jobs fill, and long-running jobs with dear advice whose runs fail. It is
    /// watched that their tasks run again in time.
    Full,
}

/// How large a cell is, and what it meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoakSize {
    /// Boxes.
    pub boxes: usize,
    /// Workers; there are as many callers in a narrow world.
    pub workers: usize,
    /// What it is like.
    pub world: SoakWorld,
    /// Boxes, paths, workers and the store are broken. Otherwise only questions to the advice service are.
    pub faults: bool,
}

impl Default for SoakSize {
    fn default() -> SoakSize {
        SoakSize { boxes: 3, workers: 6, world: SoakWorld::Narrow, faults: true }
    }
}

/// Callers of a wide world.
const WIDE_CALLERS: u64 = 12;
/// How long the load of a wide world goes on once all is well again.
const CALM_LOAD: Duration = Duration::from_secs(12);

impl SoakSize {
    /// Cores of a worker.
    pub fn cores(&self) -> usize {
        match self.world {
            SoakWorld::Narrow => CORES,
            SoakWorld::Wide | SoakWorld::Full => wide::WIDE_CORES,
        }
    }

    fn callers(&self) -> u64 {
        match self.world {
            SoakWorld::Narrow => self.workers as u64,
            SoakWorld::Wide | SoakWorld::Full => WIDE_CALLERS,
        }
    }
}

/// What one run found.
#[derive(Debug, Default)]
pub struct SoakReport {
    /// Faults that were caused.
    pub faults: usize,
    /// Jobs that callers were told are kept.
    pub accepted: usize,
    /// Jobs that callers were told were not taken.
    pub refused: usize,
    /// Jobs with a task that crashes its workers, all of which were given up.
    pub crashing: usize,
    /// Other jobs that were given up, each after two lives at least had ended under one of its tasks.
    pub given_up: usize,
    /// The longest that a job was stalled in calm, where that is watched.
    pub stalled: Duration,
    /// The longest that a long-running task was without a run in calm, where that is watched.
    pub without_run: Duration,
    /// Long-running tasks that ever ran.
    pub long_running: usize,
    /// Promises that were broken.
    pub broken: Vec<String>,
}

/// A box, running or not.
struct SoakBox {
    site: CellBoxConfig,
    path: FaultyPath,
    process: Option<CellProcess>,
}

/// In one run of so many, each life of a worker has an id of its own and tells nothing of its start.
const OTHER_IDS_ONE_IN: u64 = 4;

/// A running soak.
struct Soak<'a> {
    size: SoakSize,
    directory: &'a Path,
    platform: Rc<CellPlatform>,
    boxes: Vec<SoakBox>,
    keys: SoakKeys,
    progress: Rc<ProgressWatch>,
    restarts: Rc<RestartWatch>,
}

/// Runs the faults of a seed for some seconds. Settings and logs of the boxes lie in `directory`.
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
    let callers = CallerPool::new(soak.boxes.iter().map(|one| one.site.callers).collect(), size);
    let mut report = SoakReport { faults: plan.len(), ..SoakReport::default() };
    let platform = soak.platform.clone();
    let load = futures_all((0..size.callers()).map(|caller| {
        let (callers, platform) = (&callers, &platform);
        async move {
            match size.world {
                SoakWorld::Full => full::load(callers, platform, seed, caller + 1).await,
                SoakWorld::Narrow | SoakWorld::Wide => callers.run(seed, caller + 1).await,
            }
        }
    }));
    let keys = soak.keys.clone();
    let addresses: Vec<_> = soak.boxes.iter().map(|one| one.site.callers).collect();
    let probing = keys.probe(&addresses, seed);
    let (progress, restarts) = (soak.progress.clone(), soak.restarts.clone());
    let watching = async {
        match size.world {
            SoakWorld::Narrow => std::future::pending().await,
            SoakWorld::Wide => progress.run(&platform, callers.told()).await,
            SoakWorld::Full => restarts.run(&platform).await,
        }
    };
    tokio::select! {
        () = load => {}
        () = probing => {}
        () = watching => {}
        result = soak.run(&plan, seconds) => result?,
    }
    soak.check_long_running(&callers, &mut report).await;
    soak.check(&callers, &mut report).await;
    report.stalled = soak.progress.longest();
    report.without_run = soak.restarts.longest();
    report.long_running = soak.restarts.seen();
    let watched = [
        (soak.progress.broken(), "\"step stalled\""),
        (soak.restarts.broken(), "\"task without a run\""),
    ];
    for (broken, line) in watched.into_iter().filter(|(broken, _)| !broken.is_empty()) {
        report.broken.extend(broken);
        report.broken.extend(soak.told_lines(line));
    }
    Ok(report)
}

/// Drives all futures, which do not end by themselves.
async fn futures_all<F: Future<Output = ()>>(futures: impl Iterator<Item = F>) {
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
    async fn start(seed: u64, size: SoakSize, directory: &'a Path) -> std::io::Result<Soak<'a>> {
        let mut platform = CellPlatform::start_with_cores(size.workers, size.cores()).await?;
        platform.workers.set_run_ms(match size.world {
            SoakWorld::Narrow | SoakWorld::Wide => RUN_MS,
            SoakWorld::Full => FULL_RUN_MS,
        });
        if !seed.is_multiple_of(OTHER_IDS_ONE_IN) {
            platform.reuse_worker_ids(seed);
        }
        platform.put_foreign_entries();
        let keys = SoakKeys::new(size.workers);
        match size.world {
            SoakWorld::Narrow => keys.configure(&platform),
            SoakWorld::Wide => wide::configure(&platform, 1),
            SoakWorld::Full => full::configure(&platform, 1),
        }
        let mut boxes = Vec::new();
        for number in 0..size.boxes {
            let path = FaultyPath::open(platform.store_address).await?;
            let advice = platform.add_advice_address().await?;
            let site =
                CellBoxConfig::new(&format!("box-{number}"), &platform, path.address, "0.25");
            let site = site.with_advice(advice);
            let process = Some(site.start(directory)?);
            boxes.push(SoakBox { site, path, process });
        }
        let (platform, progress) = (Rc::new(platform), Rc::new(ProgressWatch::new()));
        let restarts = Rc::new(RestartWatch::new());
        let mut soak = Soak { size, directory, platform, boxes, keys, progress, restarts };
        soak.wait_ready().await?;
        Ok(soak)
    }

    /// Lines of a kind that boxes wrote: the reasons, where the logs are not kept.
    fn told_lines(&self, kind: &str) -> Vec<String> {
        let logs = self.boxes.iter().map(|one| one.site.log_path(self.directory));
        let texts = logs.filter_map(|log| std::fs::read_to_string(log).ok());
        let told = |text: String| {
            let lines = text.lines().filter(|line| line.contains(kind));
            lines.map(str::to_owned).collect::<Vec<_>>()
        };
        texts.flat_map(told).collect()
    }

    async fn wait_ready(&mut self) -> std::io::Result<()> {
        let deadline = Instant::now() + SETTLE_LIMIT;
        for one in &self.boxes {
            while !is_ready(one).await {
                if Instant::now() > deadline {
                    return Err(std::io::Error::other(format!("{} is not ready", one.site.name)));
                }
                tokio::time::sleep(TURN).await;
            }
        }
        Ok(())
    }

    /// Carries out the plan and heals. In a wide world the load goes on for a calm time after that.
    async fn run(&mut self, plan: &SoakPlan, seconds: u64) -> std::io::Result<()> {
        self.carry_out(plan, seconds).await?;
        self.heal()?;
        if self.size.faults {
            self.note_fault();
        }
        if self.size.world != SoakWorld::Narrow {
            self.carry_out(&SoakPlan::new(), CALM_LOAD.as_secs()).await?;
        }
        Ok(())
    }

    async fn carry_out(&mut self, plan: &SoakPlan, seconds: u64) -> std::io::Result<()> {
        let begun = Instant::now();
        let mut faults = plan.iter().peekable();
        let mut repairs: Vec<(Instant, Repair)> = Vec::new();
        while begun.elapsed() < Duration::from_secs(seconds) {
            while let Some((_, fault)) = faults.next_if(|(at, _)| begun.elapsed() >= *at) {
                self.cause(*fault, &mut repairs)?;
            }
            let now = Instant::now();
            let due: Vec<_> = repairs.extract_if(.., |(at, _)| *at <= now).collect();
            for (_, repair) in due {
                self.repair(repair, &mut repairs)?;
            }
            self.restart_ended()?;
            tokio::time::sleep(TURN / 5).await;
        }
        Ok(())
    }

    /// A fault has begun or ended.
    fn note_fault(&self) {
        self.progress.note_fault();
        self.restarts.note_fault();
    }

    /// Boxes that ended after a planned stop start again.
    fn restart_ended(&mut self) -> std::io::Result<()> {
        for number in 0..self.boxes.len() {
            let ended = self.boxes[number].process.as_mut().is_some_and(CellProcess::has_ended);
            if ended {
                self.boxes[number].process = None;
                self.start_box(number)?;
            }
        }
        Ok(())
    }

    /// Long-running jobs are known as running, and end once they are cancelled.
    async fn check_long_running(&mut self, callers: &CallerPool, report: &mut SoakReport) {
        let ids = callers.told().lock().long_running.clone();
        let deadline = Instant::now() + SETTLE_LIMIT;
        for id in ids {
            if let Some(state) = self.wait_until(id, "running", deadline).await {
                report.broken.push(format!("{id:016x} was accepted and is {state}"));
                continue;
            }
            let path = wide::path_of(id);
            for one in &self.boxes {
                call_with_key(one.site.callers, "DELETE", &path, "", Some(SOAK_KEY)).await;
            }
            if let Some(state) = self.wait_until(id, "cancelled", deadline).await {
                report.broken.push(format!("{id:016x} was cancelled and is {state}"));
            }
        }
    }

    /// Checks what must hold once all is well again.
    async fn check(&mut self, callers: &CallerPool, report: &mut SoakReport) {
        let accepted = callers.told().lock().accepted.clone();
        let refused = callers.told().lock().refused.clone();
        let crashing = callers.told().lock().crashing.clone();
        report.crashing = crashing.intersection(&accepted).count();
        report.accepted = accepted.len();
        report.refused = refused.len();
        tokio::time::sleep(VISIBLE).await;
        let deadline = Instant::now() + SETTLE_LIMIT;
        for id in accepted {
            let wanted = if crashing.contains(&id) { "failed" } else { "completed" };
            let Some(state) = self.wait_until(id, wanted, deadline).await else { continue };
            let job = format!("{id:016x}");
            match state.contains("failed") && self.platform.workers.may_give_up(&job) {
                true => report.given_up += 1,
                false => report.broken.push(format!("{job} was accepted and is {state}")),
            }
        }
        report.broken.extend(self.platform.workers.violations());
        report.broken.extend(self.keys.violations());
        report.broken.extend(self.platform.shared_tokens());
        let begun = self.platform.workers.started_jobs();
        let ran = refused.iter().map(|id| format!("{id:016x}")).filter(|id| begun.contains(id));
        report.broken.extend(ran.map(|id| format!("{id} was refused each time and ran")));
        for one in &self.boxes {
            let log = std::fs::read_to_string(one.site.log_path(self.directory));
            // A panic ends the process, which is started again: only the log tells.
            if log.is_ok_and(|log| log.contains("panicked")) {
                report.broken.push(format!("{} panicked", one.site.name));
            }
        }
    }

    /// Waits until a job is told as `wanted`. Tells what it is instead.
    async fn wait_until(&mut self, id: u64, wanted: &str, deadline: Instant) -> Option<String> {
        let path = wide::path_of(id);
        let mut last = String::from("not known");
        loop {
            let is_last = Instant::now() >= deadline;
            if let Err(error) = self.restart_ended() {
                return Some(format!("not to be asked for: {error}"));
            }
            for one in &self.boxes {
                let key = Some(SOAK_KEY);
                match call_with_key(one.site.callers, "GET", &path, "", key).await {
                    Some((200, body)) if body.contains(wanted) => return None,
                    // It is over, and will not be anything else.
                    Some((200, body)) if body.contains("failed") => return Some(body),
                    Some((410, _)) => return Some("not known any more".to_owned()),
                    Some((status, body)) => last = format!("{status} {body}"),
                    None => {}
                }
            }
            if is_last {
                return Some(last);
            }
            tokio::time::sleep(TURN).await;
        }
    }
}

async fn is_ready(one: &SoakBox) -> bool {
    let answer = call(one.site.ready, "GET", "/sedgehill/readyz", "").await;
    answer.is_some_and(|(status, _)| status == 200)
}
