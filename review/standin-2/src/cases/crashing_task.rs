//! A task crashes each runner that starts it. The runner is back after some seconds, with a new id at another address.
//! After three such crashes the task may be started three times more at most.

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
const RUNNERS: usize = 8;
const MAX_HOLD_MS: u64 = 10_000;
/// How long after the start of the task its runner crashes, and how long that is away.
const CRASHES_AFTER: Duration = Duration::from_millis(300);
const AWAY: Duration = Duration::from_secs(3);
/// The number of crashes under a task after which the third further start breaks the rule.
const CRASHES: usize = 3;
const STARTS_MORE: usize = 3;
const WATCHED: Duration = Duration::from_secs(105);

const JOB_ID: &str = "00000000000000c3";

pub fn play(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let store = Arc::new(Store::default());
    let address = store::start(store.clone()).map_err(|error| error.to_string())?;
    store.put("keyed.op", "config", &config(&[("batch", "/batch/", 1)]));
    let plan = move |start: &StartInfo<'_>| match start.spec {
        "crash" if trouble => Behaviour::Crashes(CRASHES_AFTER),
        _ => Behaviour::Done(Duration::from_millis(500)),
    };
    let come_back = ComeBack { after: AWAY, same_address: false, same_id: false };
    let fleet = Fleet::new(store, record.clone(), MAX_HOLD_MS, come_back, plan);
    for number in 0..RUNNERS {
        fleet.add_machine(runner_spec(number));
    }
    let plan = CellPlan { boxes: BOXES, store: address, max_hold_ms: MAX_HOLD_MS };
    let cell = Cell::start(Path::new("."), &plan, record)?;
    cell.wait_ready(Duration::from_secs(20))?;
    std::thread::sleep(Duration::from_secs(2));

    let job =
        r#"{"spec":"crash","steps":[{"count":1,"cpu":1000,"mem_mb":1024,"estimate_ms":500}]}"#;
    if cell.call(0, "POST", &format!("/batch/{JOB_ID}"), HOST, job) != 200 {
        return Err("the job was not accepted".to_owned());
    }
    let until = record.now() + WATCHED;
    let mut number = 0;
    let mut more = 0;
    while record.now() < until && more < STARTS_MORE {
        std::thread::sleep(Duration::from_secs(1));
        number += 1;
        if number % 10 == 0 {
            let (_, text) =
                cell.call_with_body(number, "GET", &format!("/batch/{JOB_ID}"), HOST, "");
            if text.contains("failed") || text.contains("completed") {
                break;
            }
        }
        let crashes = fleet.crashes.lock().unwrap();
        let third = crashes.get(CRASHES - 1).copied();
        let starts = fleet.starts.lock().unwrap();
        more = third.map_or(0, |third| starts.iter().filter(|start| start.at > third).count());
    }
    record.line(&format!(
        "{} crashes, {} starts, {more} of them after the third crash",
        fleet.crashes.lock().unwrap().len(),
        fleet.starts.lock().unwrap().len()
    ));
    Ok(if more >= STARTS_MORE { Verdict::Broken } else { Verdict::Held })
}
