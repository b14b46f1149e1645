//! The scenarios, each with its disruption and its check.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::cell::{CHECKS, Cell, Failure, HOST, LEDGER, QueueAdvice};
use crate::http;
use crate::runner::{Course, Ledger, LedgerRun};

/// Returns each pair of runs of one task that existed at the same time. All runners are up throughout.
fn overlapping(runs: &[LedgerRun]) -> Vec<String> {
    let mut broken = Vec::new();
    for (index, later) in runs.iter().enumerate() {
        for earlier in runs[..index].iter().filter(|run| run.task == later.task) {
            if earlier.ended.is_none_or(|ended| later.started < ended) {
                broken.push(format!(
                    "{} runs twice at {} ms: run {} on {} since {} ms, run {} on {}",
                    later.task,
                    later.started,
                    earlier.run,
                    earlier.runner,
                    earlier.started,
                    later.run,
                    later.runner
                ));
            }
        }
    }
    broken
}

/// Returns each start after a run of the task had ended `done`, if note of that end is taken then or later and the
/// lease of its runner did not lapse in between.
fn started_after_done(runs: &[LedgerRun]) -> Vec<String> {
    let mut broken = Vec::new();
    for later in runs {
        let counts = |run: &&LedgerRun| {
            run.task == later.task
                && run.how == "done"
                && run.ended.is_some_and(|ended| ended < later.started)
                && run.noted.is_some_and(|noted| noted >= later.started)
                && !run.lapsed_unnoted
        };
        for earlier in runs.iter().filter(counts) {
            broken.push(format!(
                "{} starts at {} ms (run {} on {}) after run {} ended done on {} at {:?} ms (end {}, noted at {:?} ms)",
                later.task,
                later.started,
                later.run,
                later.runner,
                earlier.run,
                earlier.runner,
                earlier.ended.unwrap_or_default(),
                earlier.number,
                earlier.noted.unwrap_or_default()
            ));
        }
    }
    broken
}

/// More than 500 tasks on one runner end while it is cut off for a time that is shorter than its lease.
pub fn many_ends(ledger: &Arc<Ledger>, trouble: bool) -> Result<Vec<String>, Failure> {
    const JOBS: usize = 50;
    const TASKS: usize = 20;
    /// Tasks on the cut runner for which the case can run.
    const MIN_ON_RUNNER: usize = 600;
    /// All tasks end within this time, in milliseconds, whatever their start.
    const ENDING_MS: u64 = 2_000;
    const CUT: Duration = Duration::from_millis(2_400);
    // When the first task ends; none until all have started.
    let first_end: Arc<Mutex<Option<u64>>> = Arc::default();
    let course: Course = {
        let first_end = first_end.clone();
        let began = Mutex::new(None);
        Arc::new(move |task: &str, run: u64, started: u64| {
            let began = *began.lock().unwrap().get_or_insert(started);
            let base = began + 18_000;
            *first_end.lock().unwrap() = Some(base);
            let spread =
                task.bytes().fold(7u64, |hash, byte| hash.wrapping_mul(31) + u64::from(byte));
            Some(match run {
                1 if started < base => (base + spread % ENDING_MS, "done"),
                _ => (started + 300, "done"),
            })
        })
    };
    let cell = Cell::start(ledger, course, QueueAdvice::None)?;
    let steps = format!("[{{\"count\":{TASKS},\"cpu\":20,\"mem_mb\":40,\"estimate_ms\":18000}}]");
    for number in 0..JOBS {
        cell.submit(&format!("{CHECKS}{number:016x}"), &steps)?;
        std::thread::sleep(Duration::from_millis(70));
    }
    let all = JOBS * TASKS;
    cell.wait_until(Duration::from_secs(12), "all tasks run", |cell| cell.running() == all)?;
    let fullest =
        cell.runners.iter().max_by_key(|runner| runner.running()).expect("there are runners");
    let there = fullest.running();
    ledger.note(format!("{} runs {there} tasks", fullest.id));
    if there < MIN_ON_RUNNER {
        return Err(format!("only {there} tasks on the fullest runner"));
    }
    let first = first_end.lock().unwrap().unwrap_or_default();
    let wait = first.saturating_sub(ledger.now() + 100);
    std::thread::sleep(Duration::from_millis(wait));
    if trouble {
        fullest.set_cut(true);
    }
    std::thread::sleep(CUT);
    if trouble {
        fullest.set_cut(false);
    }
    std::thread::sleep(Duration::from_secs(6));
    for number in 0..JOBS {
        cell.call("GET", &format!("{CHECKS}{number:016x}"), "");
    }
    let runs = ledger.runs.lock().unwrap();
    ledger.note(format!("{} runs of {all} tasks", runs.len()));
    if runs.iter().any(|run| run.how == "lapsed") {
        return Err("a lease lapsed".to_owned());
    }
    let mut broken = overlapping(&runs);
    broken.extend(started_after_done(&runs));
    Ok(broken)
}

/// A lasting task ends `done` on a runner that is cut off, and is started elsewhere once the lease is over.
pub fn lasting_done(ledger: &Arc<Ledger>, trouble: bool) -> Result<Vec<String>, Failure> {
    const JOB: &str = "00000000000000aa";
    const TASK: &str = "00000000000000aa.0.0.0";
    const CUT: Duration = Duration::from_millis(5_500);
    /// The bounds `cancel_ms` and `stop_ms` of the sites.
    const CANCEL_MS: u64 = 3_000;
    const STOP_MS: u64 = 400;
    // When run 1 of the task ends.
    let ends_at = Arc::new(AtomicU64::new(u64::MAX));
    let course: Course = {
        let ends_at = ends_at.clone();
        Arc::new(move |task: &str, run: u64, started: u64| {
            (task == TASK && run == 1 && ends_at.load(Ordering::SeqCst) == u64::MAX).then(|| {
                let end = started + 14_000;
                ends_at.store(end, Ordering::SeqCst);
                (end, "done")
            })
        })
    };
    let cell = Cell::start(ledger, course, QueueAdvice::None)?;
    let steps = "[{\"count\":3,\"cpu\":1000,\"mem_mb\":512,\"estimate_ms\":500,\"long_running\":true,\
                 \"anti_affinity\":1}]";
    let path = format!("{CHECKS}{JOB}");
    cell.submit(&path, steps)?;
    cell.wait_until(Duration::from_secs(4), "all tasks run", |cell| cell.running() == 3)?;
    let Some(runner) = cell.runners.iter().find(|runner| runner.runs_task(TASK)) else {
        return Err("the task runs nowhere".to_owned());
    };
    let cut_at = ends_at.load(Ordering::SeqCst).saturating_sub(1_000);
    std::thread::sleep(Duration::from_millis(cut_at.saturating_sub(ledger.now())));
    if trouble {
        runner.set_cut(true);
    }
    std::thread::sleep(CUT);
    if trouble {
        runner.set_cut(false);
    }
    std::thread::sleep(Duration::from_secs(6));
    cell.call("GET", &path, "");
    // Long after the cut, the job is cancelled.
    let cancelled = cell.call("DELETE", &path, "");
    std::thread::sleep(Duration::from_millis(CANCEL_MS + STOP_MS + 500));
    let runs = ledger.runs.lock().unwrap();
    for run in runs.iter() {
        ledger.note(format!("{run:?}"));
    }
    let mut broken = overlapping(&runs);
    if matches!(cancelled, Some((200, _))) {
        broken.extend(runs.iter().filter(|run| run.ended.is_none()).map(|run| {
            format!(
                "UNASKED as well: {} run {} on {} goes on after its job was cancelled",
                run.task, run.run, run.runner
            )
        }));
    }
    Ok(broken)
}

/// All runners are lost for good, and then the lead is killed.
pub fn no_runners(ledger: &Arc<Ledger>, trouble: bool) -> Result<Vec<String>, Failure> {
    /// The rule: on a tenth of the machines in use, at least two, processes end by themselves this often.
    const OWN_ENDS: usize = 3;
    const MACHINES: usize = 2;
    let course: Course = Arc::new(|task: &str, _, started| {
        let length = if task.starts_with("00000000000000aa") { 90_000 } else { 500 };
        Some((started + length, "done"))
    });
    let mut cell = Cell::start(ledger, course, QueueAdvice::Asked)?;
    let step = |estimate: u64| {
        format!("[{{\"count\":2,\"cpu\":1000,\"mem_mb\":512,\"estimate_ms\":{estimate}}}]")
    };
    cell.submit(&format!("{LEDGER}00000000000000aa"), &step(90_000))?;
    cell.wait_until(Duration::from_secs(4), "both tasks run", |cell| cell.running() == 2)?;
    cell.supervise(Duration::from_secs(14))?;
    if trouble {
        cell.lose_runners();
    }
    cell.supervise(Duration::from_secs(9))?;
    cell.submit(&format!("{CHECKS}00000000000000bb"), &step(500))?;
    cell.supervise(Duration::from_millis(500))?;
    if trouble {
        let lead = cell.lead().ok_or("no box leads")?;
        cell.kill_box(lead);
    }
    cell.supervise(Duration::from_secs(30))?;
    let ends = cell.own_ends();
    ledger.note(format!("processes of the boxes that ended by themselves: {ends:?}"));
    let often = ends.iter().filter(|ends| **ends >= OWN_ENDS).count();
    let mut broken = Vec::new();
    if often >= MACHINES {
        broken.push(format!("Fault: processes ended by themselves {ends:?} times on the boxes"));
    }
    Ok(broken)
}

/// A share of the orders is carried out late, and leads lose power one after the other.
pub fn full_connections(ledger: &Arc<Ledger>, trouble: bool) -> Result<Vec<String>, Failure> {
    const JOBS: usize = 300;
    const JOB_PAUSE: Duration = Duration::from_millis(110);
    const LATE_PERMILLE: u64 = 134;
    const LEADS: usize = 8;
    const LEAD_PAUSE: Duration = Duration::from_secs(4);
    /// The bound `finish_s` of the sites.
    const FINISH: Duration = Duration::from_secs(14);
    /// How long a job has nothing running.
    const IDLE: Duration = Duration::from_millis(3_500);
    /// Half of the cores of all runners.
    const HALF_OF_ROOM: usize = 48;
    let course: Course = Arc::new(|task: &str, run, started| {
        let drawn = task.bytes().fold(run, |hash, byte| hash.wrapping_mul(31) + u64::from(byte));
        Some((started + 500 + drawn % 1_400, "done"))
    });
    let mut cell = Cell::start(ledger, course, QueueAdvice::None)?;
    let accepted: Arc<Mutex<Vec<String>>> = Arc::default();
    let client = {
        let (accepted, ledger, callers) = (accepted.clone(), ledger.clone(), cell.callers());
        std::thread::spawn(move || {
            let steps = "[{\"count\":8,\"cpu\":1000,\"mem_mb\":2048,\"estimate_ms\":1200}]";
            for number in 0..JOBS {
                let job = format!("{number:016x}");
                let body = format!("{{\"spec\":\"work of {job}\",\"steps\":{steps}}}");
                let path = format!("{CHECKS}{job}");
                for address in callers.iter().cycle().skip(number).take(4) {
                    let answer = http::call(*address, "POST", &path, HOST, &body);
                    ledger.note(format!("client: POST {job} -> {answer:?}"));
                    if answer.is_some_and(|(status, _)| status == 200) {
                        accepted.lock().unwrap().push(job);
                        break;
                    }
                    std::thread::sleep(Duration::from_millis(100));
                }
                std::thread::sleep(JOB_PAUSE);
            }
        })
    };
    cell.supervise(LEAD_PAUSE)?;
    if trouble {
        cell.runners.iter().for_each(|runner| runner.set_late(LATE_PERMILLE));
    }
    for _ in 0..LEADS {
        cell.supervise(LEAD_PAUSE)?;
        if trouble && let Some(lead) = cell.lead() {
            let open: Vec<usize> =
                cell.runners.iter().map(|runner| runner.connections.open()).collect();
            ledger.note(format!("connections of the runners: {open:?}"));
            cell.cut_power(lead);
        }
    }
    cell.runners.iter().for_each(|runner| runner.set_late(0));
    ledger.note("no further disruption");
    while !client.is_finished() {
        cell.supervise(Duration::from_millis(100))?;
    }
    cell.supervise(FINISH)?;
    let open: Vec<usize> = cell.runners.iter().map(|runner| runner.connections.open()).collect();
    ledger.note(format!("connections of the runners: {open:?}"));
    let mut idle = accepted.lock().unwrap().clone();
    let until = Instant::now() + IDLE;
    let mut most = 0;
    while Instant::now() < until {
        idle.retain(|job| !cell.runners.iter().any(|runner| runner.runs_job(job)));
        most = most.max(cell.running());
        cell.supervise(Duration::from_millis(20))?;
    }
    let state = |job: &String| cell.call("GET", &format!("{CHECKS}{job}"), "");
    let is_open = |job: &&String| {
        let body = state(job).map(|(_, body)| body).unwrap_or_default();
        body.contains("pending") || body.contains("running")
    };
    let open: Vec<String> = idle.iter().filter(is_open).cloned().collect();
    ledger.note(format!("{} open jobs have nothing running; at most {most} tasks run", open.len()));
    if most >= HALF_OF_ROOM {
        return Err("half of the room is in use".to_owned());
    }
    Ok(open.iter().map(|job| format!("LOST: job {job} has nothing running for {IDLE:?}")).collect())
}
