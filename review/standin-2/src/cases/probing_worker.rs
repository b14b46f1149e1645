//! A service with one task on each runner fails three times on each of them as it comes up, and then serves. A job
//! that is handed in later must start, since the runners are all but empty.

use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::cell::{Cell, CellPlan};
use crate::record::Record;
use crate::runner::{Behaviour, ComeBack, Fleet, StartInfo};
use crate::store::{self, Store};

use super::{HOST, config, runner_spec};

const BOXES: usize = 3;
const RUNNERS: usize = 3;
const MAX_HOLD_MS: u64 = 10_000;
/// How often the service fails on each runner, and how long after its start.
const FAILURES: usize = 3;
const FAILS_AFTER: Duration = Duration::from_millis(600);
/// How long the service has to run on all runners before the job comes.
const CALM: Duration = Duration::from_secs(8);
/// `finish_s`, after which jobs are asked for, and the time for which a job may have nothing running.
const FINISH: Duration = Duration::from_secs(14);
const NOTHING_RUNNING: Duration = Duration::from_secs(3);
/// The job is watched for longer than the rule asks for, to show that it doesn't start later.
const WATCHED: Duration = Duration::from_secs(40);

const SERVICE_ID: &str = "00000000000000a1";
const JOB_ID: &str = "00000000000000b2";

pub fn play(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let store = Arc::new(Store::default());
    let address = store::start(store.clone()).map_err(|error| error.to_string())?;
    store.put("keyed.op", "config", &config(&[("serve", "/serve/", 1), ("batch", "/batch/", 0)]));
    let plan = move |start: &StartInfo<'_>| match start.spec {
        "serve" if trouble && start.earlier < FAILURES => Behaviour::Fails(FAILS_AFTER),
        "serve" => Behaviour::Lasts,
        _ => Behaviour::Done(Duration::from_millis(500)),
    };
    let come_back = ComeBack { after: Duration::from_secs(3), same_address: false, same_id: false };
    let fleet = Fleet::new(store, record.clone(), MAX_HOLD_MS, come_back, plan);
    for number in 0..RUNNERS {
        fleet.add_machine(runner_spec(number));
    }
    let plan = CellPlan { boxes: BOXES, store: address, max_hold_ms: MAX_HOLD_MS };
    let cell = Cell::start(Path::new("."), &plan, record)?;
    cell.wait_ready(Duration::from_secs(20))?;
    std::thread::sleep(Duration::from_secs(2));

    let service = r#"{"spec":"serve","steps":[{"count":3,"cpu":1000,"mem_mb":1024,"estimate_ms":500,"anti_affinity":1,"long_running":true}]}"#;
    if cell.call(0, "POST", &format!("/serve/{SERVICE_ID}"), HOST, service) != 200 {
        return Err("the service was not accepted".to_owned());
    }
    wait_for_service(&fleet, record)?;
    std::thread::sleep(CALM);

    let job =
        r#"{"spec":"batch","steps":[{"count":2,"cpu":1000,"mem_mb":1024,"estimate_ms":500}]}"#;
    if cell.call(1, "POST", &format!("/batch/{JOB_ID}"), HOST, job) != 200 {
        return Err("the job was not accepted".to_owned());
    }
    let accepted = record.now();
    let mut first_start = None;
    let mut number = 0;
    while record.now() < accepted + WATCHED {
        std::thread::sleep(Duration::from_millis(500));
        let starts = fleet.starts.lock().unwrap();
        first_start = starts.iter().find(|start| start.task.starts_with(JOB_ID)).map(|s| s.at);
        drop(starts);
        number += 1;
        if number % 8 == 0 {
            cell.call(number, "GET", &format!("/batch/{JOB_ID}"), HOST, "");
        }
        let ends = fleet.ends.lock().unwrap();
        let done = ends.iter().filter(|end| end.task.starts_with(JOB_ID) && end.how == "done");
        if done.count() == 2 {
            break;
        }
    }
    cell.call(0, "GET", &format!("/batch/{JOB_ID}"), HOST, "");
    for line in cell.logs().lines().filter(|line| line.contains("stalled")).take(6) {
        record.line(&format!("log: {line}"));
    }
    match first_start {
        Some(at) => record.line(&format!(
            "the job's first task started {:.3} s after the acceptance",
            (at.saturating_sub(accepted)).as_secs_f64()
        )),
        None => record.line(&format!(
            "no task of the job started within {} s, with 3 of 48 cores in use",
            WATCHED.as_secs()
        )),
    }
    let late = accepted + FINISH + NOTHING_RUNNING;
    Ok(match first_start.is_none_or(|at| at > late) {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Waits until each runner has had a run of the service for some time.
fn wait_for_service(fleet: &Fleet, record: &Record) -> Result<(), String> {
    let limit = record.now() + Duration::from_secs(40);
    loop {
        std::thread::sleep(Duration::from_millis(100));
        let starts = fleet.starts.lock().unwrap();
        let ends = fleet.ends.lock().unwrap();
        let running = starts.iter().filter(|start| {
            let old = record.now() >= start.at + 2 * FAILS_AFTER;
            old && !ends.iter().any(|end| (&end.task, end.run) == (&start.task, start.run))
        });
        let machines: BTreeSet<usize> = running.map(|start| start.machine).collect();
        if machines.len() == RUNNERS {
            record.line("the service runs on all runners");
            return Ok(());
        }
        if record.now() > limit {
            return Err("the service does not run on all runners".to_owned());
        }
    }
}
