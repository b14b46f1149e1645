//! The cases.

use std::collections::VecDeque;
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::cell::{Cell, SERVICE, Site};
use crate::record::{Record, RunSpan};
use crate::worker::{Worker, WorkerSpec};

pub struct Context {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub trouble: bool,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Outcome {
    Held,
    Broken,
    NotRun,
}

/// Boxes as at the site `haddad-cdr`.
const BOXES: usize = 6;
/// Runners. One of them is 0.125 of all, less than the 0.14 of `srv_crash`.
const RUNNERS: usize = 8;
/// The runners of the site `haddad-cdr`.
const SITE_RUNNERS: usize = 48;
/// How long a runner is down after a crash.
const DOWN_MS: u64 = 4_500;
/// How long a killed box is down.
const BOX_DOWN_MS: u64 = 500;
/// `finish_s`: how long after the end of the traffic jobs are asked for.
const FINISH_MS: u64 = 14_000;
/// A job must not have nothing running for this long.
const IDLE_MS: u64 = 3_000;
/// How long after its last run a task that lasts is owed the next one.
const LASTING_MS: u64 = 6_000;

/// The queue `court-disclosure` of `haddad-cdr`, without advice.
const HADDAD: Site = Site {
    route: "\"priority\":1,\"max_attempts\":4,\"stretch\":2.2,\"target_latency_ms\":1000",
    max_hold_ms: 6_000,
};
/// The queue `status-stream` of `rcca-cargas`, without advice.
const RCCA: Site = Site {
    route: "\"priority\":1,\"max_attempts\":3,\"stretch\":2.2,\"target_latency_ms\":2500",
    max_hold_ms: 10_000,
};

/// A cell that is ready, with its runners.
struct Stage {
    cell: Cell,
    specs: Vec<WorkerSpec>,
    workers: Vec<Worker>,
    record: Record,
}

impl Stage {
    /// Starts a cell. None if it does not get ready.
    fn start(context: &Context, site: &Site, runners: usize, lists_runs: bool) -> Option<Stage> {
        let record = Record::new(lists_runs);
        let temporary = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).expect("a temporary folder");
        let cell = Cell::start(&context.root, &temporary, BOXES, site, &record);
        let spec = |number: usize| WorkerSpec {
            id: format!(
                "i-{:010x}",
                0x5a_31c7_9b53_u64.wrapping_mul(number as u64 + 3) & 0xff_ffff_ffff
            ),
            service: SERVICE.to_owned(),
            cpu: 16_000,
            mem_mb: 65_536,
            rack: format!("r1-{}", number / 4),
            max_hold_ms: site.max_hold_ms,
        };
        let specs: Vec<WorkerSpec> = (0..runners).map(spec).collect();
        let workers =
            specs.iter().map(|spec| Worker::start(spec, None, &cell.store, &record)).collect();
        let stage = Stage { cell, specs, workers, record };
        if !stage.cell.wait_ready(Duration::from_secs(20)) {
            stage.record.note("the boxes do not get ready".to_owned());
            stage.record.write(&context.folder.join("record.txt"));
            return None;
        }
        sleep(2_000);
        Some(stage)
    }

    /// Returns the number of the runner on which a task runs.
    fn runner_of(&self, task: &str) -> Option<usize> {
        self.workers
            .iter()
            .position(|worker| worker.running().iter().any(|running| running == task))
    }

    /// Waits until as many tasks run as wanted. Returns whether they do.
    fn wait_running(&self, tasks: usize, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        loop {
            let running: usize = self.workers.iter().map(|worker| worker.running().len()).sum();
            if running >= tasks {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            sleep(50);
        }
    }

    /// Starts a runner again at its address, in a new life.
    fn restart(&mut self, number: usize) {
        let address = self.workers[number].address();
        self.workers[number] =
            Worker::start(&self.specs[number], Some(address), &self.cell.store, &self.record);
    }

    fn finish(mut self, context: &Context, outcome: Outcome) -> Outcome {
        for ended in self.cell.ended() {
            self.record.note(format!("box {ended} by itself"));
        }
        self.record.note(format!("outcome: {outcome:?}"));
        self.record.write(&context.folder.join("record.txt"));
        outcome
    }
}

fn sleep(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// A large job, one of whose runners crashes and is back after some seconds.
pub fn large_job(context: &Context) -> Outcome {
    const TASKS: usize = 6_000;
    const SMALL_TASKS: usize = 2;
    const LARGE: &str = "5c0e7a21d94b36f8";
    const SMALL: &str = "8f31c2a7d05e94b6";
    let Some(mut stage) = Stage::start(context, &HADDAD, RUNNERS, false) else {
        return Outcome::NotRun;
    };
    let body = format!(
        "{{\"spec\":\"work=20000\",\"steps\":[{{\"count\":{TASKS},\"cpu\":2,\"mem_mb\":4,\"estimate_ms\":20000}}]}}"
    );
    let accepted = stage.cell.submit(LARGE, &body);
    if !accepted || !stage.wait_running(TASKS * 9 / 10, Duration::from_secs(18)) {
        return stage.finish(context, Outcome::NotRun);
    }
    let spread: Vec<usize> = stage.workers.iter().map(|worker| worker.running().len()).collect();
    stage.record.note(format!("tasks on each runner: {spread:?}"));
    let fullest = (0..RUNNERS).max_by_key(|number| spread[*number]).unwrap_or(0);
    if context.trouble {
        stage.workers[fullest].crash();
    }
    sleep(DOWN_MS);
    if context.trouble {
        stage.restart(fullest);
    }
    sleep(8_000);
    // Another client's job, long after the runner is back.
    let small_body = "{\"spec\":\"work=500\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":512,\"estimate_ms\":500}]}";
    if !stage.cell.submit(SMALL, small_body) {
        stage.record.note("the small job is not accepted".to_owned());
        return stage.finish(context, Outcome::NotRun);
    }
    // No traffic after this.
    sleep(FINISH_MS);
    let small_answer = stage.cell.client(1, "GET", SMALL, "");
    stage.cell.client(1, "GET", LARGE, "");
    let idle_from = stage.record.now_ms();
    sleep(IDLE_MS);
    let idle_to = stage.record.now_ms();
    let mut broken = false;
    for (name, job, tasks) in [("large", LARGE, TASKS), ("small", SMALL, SMALL_TASKS)] {
        let answer = stage.cell.client(2, "GET", job, "");
        let is_open = answer.is_none_or(|(status, state)| {
            status != 200 || state.contains("pending") || state.contains("running")
        });
        let ran = stage
            .record
            .runs()
            .iter()
            .any(|run| run.is_of_job(job) && run.overlaps(idle_from, idle_to));
        stage.record.note(format!(
            "{name} job: open {is_open}, something ran in the last {IDLE_MS} ms {ran}"
        ));
        // Where all tasks of the small job have run, no task's turn has come, although it is shown as open.
        let done =
            stage.record.runs().iter().filter(|run| run.is_of_job(job) && run.is_done()).count();
        broken |= is_open && !ran && done < tasks;
    }
    let refused = stage.cell.store.refused();
    let largest = refused.iter().map(|(_, bytes)| *bytes).max().unwrap_or(0);
    stage.record.note(format!(
        "appends refused for their size: {}, the largest record has {largest} bytes",
        refused.len()
    ));
    stage.cell.note_logs(&["refused for good", "not leading any more"], 2);
    drop(small_answer);
    let outcome = if broken { Outcome::Broken } else { Outcome::Held };
    stage.finish(context, outcome)
}

/// Returns whether a task that lasts was owed a run and had none for too long after its last one.
fn is_lost(stage: &Stage, task: &str, calm_from_ms: u64) -> bool {
    let runs = stage.record.runs();
    let last_end = runs.iter().filter(|run| run.is_of_task(task)).filter_map(|run| run.end_ms());
    let mut broken = false;
    for end in last_end {
        // The 3 s and the 4 s before them have to be calm.
        let from = (end + LASTING_MS).max(calm_from_ms + 4_000);
        let to = from + IDLE_MS;
        let ran = runs.iter().any(|run| run.is_of_task(task) && run.overlaps(from, to));
        let over = to < stage.record.now_ms();
        let ended_later = runs
            .iter()
            .any(|run| run.is_of_task(task) && run.end_ms().is_some_and(|other| other > end));
        if over && !ran && !ended_later {
            stage.record.note(format!(
                "{task} has no run from {from} to {to} ms; its last one ended at {end} ms"
            ));
            broken = true;
        }
    }
    broken
}

const LASTING: &str = "a3f1c07d5e8842b9";

/// Submits a job of tasks that last, and waits until they run.
fn start_lasting(stage: &Stage, count: usize) -> bool {
    let body = format!(
        "{{\"spec\":\"last\",\"steps\":[{{\"count\":{count},\"cpu\":8000,\"mem_mb\":17000,\"estimate_ms\":500,\"long_running\":true,\"anti_affinity\":1}}]}}"
    );
    stage.cell.submit(LASTING, &body) && stage.wait_running(count, Duration::from_secs(8))
}

/// A task that lasts fails on a sound runner, shortly after a runner without any task was lost for good and the box that
/// leads was killed.
pub fn adopted(context: &Context) -> Outcome {
    const COUNT: usize = 4;
    let Some(mut stage) = Stage::start(context, &RCCA, RUNNERS, true) else {
        return Outcome::NotRun;
    };
    if !start_lasting(&stage, COUNT) {
        return stage.finish(context, Outcome::NotRun);
    }
    sleep(12_000);
    let idle = stage.workers.iter().position(|worker| worker.running().is_empty());
    let (Some(idle), Some(lead)) = (idle, stage.cell.lead()) else {
        return stage.finish(context, Outcome::NotRun);
    };
    if context.trouble {
        stage.workers[idle].crash();
        stage.cell.kill_box(lead);
    }
    sleep(BOX_DOWN_MS);
    if context.trouble {
        stage.cell.start_box(lead);
    }
    let calm_from = stage.record.now_ms();
    sleep(2_500);
    let task = format!("{LASTING}.0.0.1");
    let Some(runner) = stage.runner_of(&task) else {
        return stage.finish(context, Outcome::NotRun);
    };
    stage.record.note(format!("{task} fails by itself on {}", stage.workers[runner].id()));
    stage.workers[runner].fail(&task);
    sleep(20_000);
    stage.cell.client(3, "GET", LASTING, "");
    let outcome = if is_lost(&stage, &task, calm_from) { Outcome::Broken } else { Outcome::Held };
    stage.cell.note_logs(&["task without a run", "take-over settled"], 6);
    stage.finish(context, outcome)
}

/// A task that lasts, whose runners are lost for good one after the other.
pub fn three_losses(context: &Context) -> Outcome {
    let Some(stage) = Stage::start(context, &HADDAD, RUNNERS, true) else { return Outcome::NotRun };
    if !start_lasting(&stage, 1) {
        return stage.finish(context, Outcome::NotRun);
    }
    let task = format!("{LASTING}.0.0.0");
    for _ in 0..3 {
        sleep(3_000);
        let until = Instant::now() + Duration::from_secs(12);
        while stage.runner_of(&task).is_none() && Instant::now() < until {
            sleep(50);
        }
        let Some(runner) = stage.runner_of(&task) else {
            return stage.finish(context, Outcome::NotRun);
        };
        sleep(2_000);
        if context.trouble {
            stage.workers[runner].crash();
        } else {
            stage.workers[runner].fail(&task);
        }
    }
    let calm_from = stage.record.now_ms();
    sleep(30_000);
    stage.cell.client(3, "GET", LASTING, "");
    let outcome = if is_lost(&stage, &task, calm_from) { Outcome::Broken } else { Outcome::Held };
    stage.cell.note_logs(&["task without a run", "crash not known"], 6);
    stage.finish(context, outcome)
}

/// An entry of a service that no configuration names, by another writer: that of a runner of another system.
pub fn foreign_entry(context: &Context) -> Outcome {
    const JOBS: [&str; 3] = ["5c0e7a21d94b36f8", "6d1f8b32ea5c4709", "7e209c43fb6d581a"];
    /// The token of the other system, which has changed its leader some thousand times.
    const OTHER_TOKEN: u64 = 40_000;
    let Some(stage) = Stage::start(context, &HADDAD, SITE_RUNNERS, true) else {
        return Outcome::NotRun;
    };
    let body = "{\"spec\":\"work=1000\",\"steps\":[{\"count\":4,\"cpu\":1000,\"mem_mb\":512,\"estimate_ms\":1000}]}";
    if !stage.cell.submit("1b9d4e6f70a2c358", body) {
        return stage.finish(context, Outcome::NotRun);
    }
    sleep(3_000);
    stage.cell.client(0, "GET", "1b9d4e6f70a2c358", "");
    let other = WorkerSpec {
        id: "ledger-07".to_owned(),
        service: "ledger-batch".to_owned(),
        ..stage.specs[0].clone()
    };
    let other = context.trouble.then(|| {
        let other = Worker::start(&other, None, &stage.cell.store, &stage.record);
        other.set_fence(OTHER_TOKEN);
        other
    });
    sleep(5_000);
    let mut accepted = Vec::new();
    for job in JOBS {
        if stage.cell.submit(job, body) {
            accepted.push(job);
        }
        sleep(500);
    }
    // No traffic after this.
    sleep(FINISH_MS);
    let idle_from = stage.record.now_ms();
    sleep(IDLE_MS);
    let idle_to = stage.record.now_ms();
    let mut broken = false;
    for job in &accepted {
        let answer = stage.cell.client(2, "GET", job, "");
        let is_open = answer.is_none_or(|(status, state)| {
            status != 200 || state.contains("pending") || state.contains("running")
        });
        let ran = stage
            .record
            .runs()
            .iter()
            .any(|run| run.is_of_job(job) && run.overlaps(idle_from, idle_to));
        broken |= is_open && !ran;
    }
    if let Some(other) = other {
        stage.record.note(format!(
            "calls that the other system's runner refused: {}",
            other.fenced_calls()
        ));
    }
    stage.cell.note_logs(&["fenced by a worker", "not leading any more"], 3);
    if accepted.is_empty() {
        return stage.finish(context, Outcome::NotRun);
    }
    let outcome = if broken { Outcome::Broken } else { Outcome::Held };
    stage.finish(context, outcome)
}

/// Jobs that are cancelled right after their acceptance, at another box. Nothing else happens. Without the trouble they are
/// cancelled 3.2 s after their acceptance instead.
pub fn cancelled(context: &Context) -> Outcome {
    /// `cancel_ms`.
    const CANCEL_MS: u64 = 3_000;
    /// How often, for how long and how far apart jobs are cancelled.
    const SPELLS: usize = 16;
    const SPELL_MS: u64 = 1_200;
    const PAUSE_MS: u64 = 1_300;
    let Some(stage) = Stage::start(context, &HADDAD, SITE_RUNNERS, false) else {
        return Outcome::NotRun;
    };
    let mut answers = Vec::new();
    for spell in 0..SPELLS {
        let until = stage.record.now_ms() + SPELL_MS;
        answers.extend(submit_and_cancel(&stage, spell, until, context.trouble));
        sleep(PAUSE_MS);
    }
    sleep(8_000);
    let runs = stage.record.runs();
    let mut broken = false;
    for Cancellation { job, status, at } in &answers {
        if *status != 410 && *status / 100 != 2 {
            continue;
        }
        let is_late = |run: &&RunSpan| run.is_of_job(job) && run.start_ms() > at + CANCEL_MS;
        let late: Vec<u64> = runs.iter().filter(is_late).map(RunSpan::start_ms).collect();
        if !late.is_empty() {
            stage.record.note(format!(
                "{job}: cancelling answered with {status} at {at} ms, tasks start at {late:?} ms"
            ));
            broken = true;
        }
    }
    for status in [200, 410, 503, 504] {
        let count = answers.iter().filter(|answer| answer.status == status).count();
        stage
            .record
            .note(format!("cancellations of accepted jobs answered with {status}: {count}"));
    }
    if answers.is_empty() {
        return stage.finish(context, Outcome::NotRun);
    }
    let outcome = if broken { Outcome::Broken } else { Outcome::Held };
    stage.finish(context, outcome)
}

/// The answer to the cancellation of a job that had been accepted.
struct Cancellation {
    job: String,
    status: u16,
    /// When the answer came.
    at: u64,
}

/// Lets clients submit jobs, each at one box. Some of them cancel their jobs at another box.
fn submit_and_cancel(stage: &Stage, spell: usize, until: u64, at_once: bool) -> Vec<Cancellation> {
    /// The clients, of which a share of 0.375 cancels: less than the 0.4 of `give_up`.
    const CLIENTS: usize = 16;
    const CANCELLING: usize = 6;
    const PAUSE_MS: u64 = 60;
    /// How long after their acceptance jobs are cancelled without the trouble: after `visible_ms`.
    const LATER_MS: u64 = 3_200;
    // Five steps of 1.2 s, one after the other; and a job for the clients that cancel nothing.
    let step = |after: &str| {
        format!("{{\"count\":1,\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":1200{after}}}")
    };
    let mut steps = vec![step("")];
    steps.extend((0..4).map(|number| step(&format!(",\"after\":[{number}]"))));
    let long_body = format!("{{\"spec\":\"work=1200\",\"steps\":[{}]}}", steps.join(","));
    let short_body = format!("{{\"spec\":\"work=300\",\"steps\":[{}]}}", steps[0]);
    let answers: Mutex<Vec<Cancellation>> = Mutex::default();
    let (cell, record) = (&stage.cell, &stage.record);
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (answers, long_body, short_body) = (&answers, &long_body, &short_body);
            let cancels = client < CANCELLING;
            scope.spawn(move || {
                let first = client % BOXES;
                let cancel = |job: String, number: usize| {
                    let second = (first + 1 + number % (BOXES - 1)) % BOXES;
                    if let Some((status, _)) = cell.client(second, "DELETE", &job, "") {
                        let at = record.now_ms();
                        answers.lock().expect("no panic").push(Cancellation { job, status, at });
                    }
                };
                let mut accepted = VecDeque::new();
                for number in 0.. {
                    if record.now_ms() >= until {
                        break;
                    }
                    let job = format!("5c0e{spell:04x}{client:04x}{number:04x}");
                    let body = if cancels { long_body } else { short_body };
                    let is_accepted = cell
                        .client(first, "POST", &job, body)
                        .is_some_and(|(status, _)| status == 200);
                    if cancels && is_accepted {
                        accepted.push_back((job, number, record.now_ms()));
                    }
                    let is_due = |at: u64| at_once || record.now_ms() >= at + LATER_MS;
                    while accepted.front().is_some_and(|(_, _, at)| is_due(*at)) {
                        let Some((job, number, _)) = accepted.pop_front() else { break };
                        cancel(job, number);
                    }
                    sleep(PAUSE_MS);
                }
                for (job, number, at) in accepted {
                    sleep((at + LATER_MS).saturating_sub(record.now_ms()));
                    cancel(job, number);
                }
            });
        }
    });
    answers.into_inner().expect("no panic")
}
