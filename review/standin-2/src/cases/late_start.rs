//! A start gets no answer. Its runner is cut off, crashes behind the cut and starts again under its id, and the start is
//! carried out late there, while the task is started on another runner.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::Verdict;
use crate::cell::{Cell, CellPlan};
use crate::http::Call;
use crate::json::Json;
use crate::record::Record;
use crate::runner::{Behaviour, ComeBack, Fleet, StartInfo};
use crate::store::{self, Store};
use crate::way::Way;

use super::{HOST, config, runner_spec};

const BOXES: usize = 3;
const RUNNERS: usize = 8;
/// The jobs before the one whose start is late. The start and one copy of it are two of some 42 orders, which is less than
/// the share of .055 on the sheets.
const EARLIER_JOBS: usize = 44;
const EARLIER_SPEC: &str = "short";
/// The time that each task of the earlier jobs takes.
const SHORT_TIME: Duration = Duration::from_millis(200);
const MAX_HOLD_MS: u64 = 10_000;
/// The length of the cut, which is `for_s` of `node_cut` on the sheets.
const CUT: Duration = Duration::from_millis(5_500);
/// How long the crashed runner is away.
const AWAY: Duration = Duration::from_millis(500);
const WATCHED: Duration = Duration::from_secs(20);

/// The times of a course.
#[derive(Clone, Copy)]
pub struct Times {
    /// The time that the task of the last job takes.
    task: Duration,
    /// How much later its start is carried out. Orders without an answer are carried out 2 to 12 s later.
    late: Duration,
    /// How long after the late start its runner is cut off.
    before_cut: Duration,
}

/// The late run goes on while another one starts.
pub const LONG: Times = Times {
    task: Duration::from_secs(9),
    late: Duration::from_millis(5_000),
    before_cut: Duration::from_millis(2_000),
};

/// The late run ends while its runner is cut off, and its end is acknowledged unread.
pub const SHORT: Times = Times {
    task: Duration::from_millis(300),
    late: Duration::from_millis(4_500),
    before_cut: Duration::from_millis(500),
};

/// The start that is carried out late: its task and its machine.
type Chosen = Mutex<Option<(String, usize)>>;

/// Returns the plan of late calls for the way to a machine. The start of the last job is late, with all copies of it.
fn late_plan(
    machine: usize,
    late: Duration,
    chosen: Arc<Chosen>,
) -> impl FnMut(&Call) -> Option<Duration> {
    move |call| {
        if call.path != "/sedgehill/run-start" {
            return None;
        }
        let body = Json::parse(std::str::from_utf8(&call.body).ok()?)?;
        let (task, spec, run) = (body.text("task")?, body.text("spec")?, body.number("run")?);
        if spec == EARLIER_SPEC || run != 1 {
            return None;
        }
        chosen.lock().unwrap().get_or_insert((task.to_owned(), machine));
        Some(late)
    }
}

pub fn play(times: Times, trouble: bool, record: &Record) -> Result<Verdict, String> {
    let store = Arc::new(Store::default());
    let address = store::start(store.clone()).map_err(|error| error.to_string())?;
    store.put("keyed.op", "config", &config(&[("batch", "/batch/", 1)]));
    let plan = move |start: &StartInfo<'_>| {
        Behaviour::Done(if start.spec == EARLIER_SPEC { SHORT_TIME } else { times.task })
    };
    let come_back = ComeBack { after: AWAY, same_address: true, same_id: true };
    let fleet = Fleet::new(store, record.clone(), MAX_HOLD_MS, come_back, plan);
    let chosen = Arc::<Chosen>::default();
    let mut ways = Vec::new();
    for number in 0..RUNNERS {
        let mut late = late_plan(number, times.late, chosen.clone());
        let plan = move |call: &Call| if trouble { late(call) } else { None };
        let way = Way::new(record.clone(), plan).map_err(|error| error.to_string())?;
        fleet.add_machine_behind(runner_spec(number), Some(way.clone()));
        ways.push(way);
    }
    let plan = CellPlan { boxes: BOXES, store: address, max_hold_ms: MAX_HOLD_MS };
    let cell = Cell::start(Path::new("."), &plan, record)?;
    cell.wait_ready(Duration::from_secs(20))?;
    std::thread::sleep(Duration::from_secs(2));

    let earlier =
        r#"{"spec":"short","steps":[{"count":1,"cpu":300,"mem_mb":512,"estimate_ms":200}]}"#;
    let last = r#"{"spec":"long","steps":[{"count":1,"cpu":300,"mem_mb":512,"estimate_ms":9000}]}"#;
    for number in 0..=EARLIER_JOBS {
        let job = if number < EARLIER_JOBS { earlier } else { last };
        if cell.call(number, "POST", &format!("/batch/{number:016x}"), HOST, job) != 200 {
            return Err("a job was not accepted".to_owned());
        }
        std::thread::sleep(Duration::from_millis(40));
    }
    if trouble {
        std::thread::sleep(times.before_cut);
        let late = chosen.lock().unwrap().clone();
        let (task, machine) = late.ok_or("no start was left unanswered")?;
        record.line(&format!("the way to machine {machine} is cut, which has {task}"));
        ways[machine].set_cut(true);
        fleet.crash(machine);
        std::thread::sleep(CUT);
        ways[machine].set_cut(false);
        record.line("the cut is over");
    }
    std::thread::sleep(WATCHED);
    for event in cell.logs().lines().filter(|line| line.contains("restarted")) {
        record.line(&format!("log: {event}"));
    }
    let mut broken = !fleet.doubles.lock().unwrap().is_empty();
    let starts = fleet.starts.lock().unwrap();
    for (task, ended, noted) in fleet.noted.lock().unwrap().iter() {
        for start in starts.iter().filter(|start| start.task == *task && start.at > *ended) {
            let since = start.at.saturating_sub(*noted);
            record.line(&format!(
                "{task} run {} starts after an end done; note of that was taken {since:.1?} before, or later",
                start.run
            ));
            broken |= since.is_zero() || since > Duration::from_secs(1);
        }
    }
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}
