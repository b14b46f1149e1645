//! A runner is lost for good, and half a second later the box that leads is killed. The services that ran on the lost
//! runner must soon run again, and so must one that fails elsewhere a little later.

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
const SERVICE_ID: &str = "00000000000000d4";
const CALM: Duration = Duration::from_secs(5);
/// From the loss of the runner to the kill of the lead, and how long that box is down.
const KILL_AFTER: Duration = Duration::from_millis(500);
const DOWN: Duration = Duration::from_millis(200);
/// A task that lasts may have nothing running for 3 s, from 6 s after its last run, if these 3 s and the 4 s before them
/// are calm. Trouble counts as over when what was killed has run again for `contact_ms`.
const AFTER_LAST_RUN: Duration = Duration::from_secs(6);
const CONTACT: Duration = Duration::from_secs(3);
const CALM_BEFORE: Duration = Duration::from_secs(4);
const NOTHING_RUNNING: Duration = Duration::from_secs(3);
const WATCHED: Duration = Duration::from_secs(30);

pub fn play(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let store = Arc::new(Store::default());
    let address = store::start(store.clone()).map_err(|error| error.to_string())?;
    store.put("keyed.op", "config", &config(&[("serve", "/serve/", 1)]));
    let plan = |_: &StartInfo<'_>| Behaviour::Lasts;
    let come_back = ComeBack { after: Duration::from_secs(3), same_address: true, same_id: false };
    let fleet = Fleet::new(store, record.clone(), MAX_HOLD_MS, come_back, plan);
    for number in 0..RUNNERS {
        fleet.add_machine(runner_spec(number));
    }
    let plan = CellPlan { boxes: BOXES, store: address, max_hold_ms: MAX_HOLD_MS };
    let mut cell = Cell::start(Path::new("."), &plan, record)?;
    cell.wait_ready(Duration::from_secs(20))?;
    std::thread::sleep(Duration::from_secs(2));
    let service = r#"{"spec":"serve","steps":[{"count":8,"cpu":1000,"mem_mb":1024,"estimate_ms":500,"anti_affinity":2,"long_running":true}]}"#;
    if cell.call(0, "POST", &format!("/serve/{SERVICE_ID}"), HOST, service) != 200 {
        return Err("the service was not accepted".to_owned());
    }
    std::thread::sleep(CALM);
    let machine = {
        let starts = fleet.starts.lock().unwrap();
        starts.first().ok_or("the service does not run")?.machine
    };
    let tasks: Vec<String> = {
        let starts = fleet.starts.lock().unwrap();
        let there = starts.iter().filter(|start| start.machine == machine);
        there.map(|start| start.task.clone()).collect()
    };
    let lead = cell.lead().ok_or("no box leads")?;
    let lost = record.now();
    if trouble {
        fleet.lose(machine);
        std::thread::sleep(KILL_AFTER);
        cell.kill(lead);
        std::thread::sleep(DOWN);
        cell.restart(lead)?;
    }
    std::thread::sleep(WATCHED);
    for line in cell.logs().lines().filter(|line| line.contains("take-over settled")) {
        record.line(&format!("log: {line}"));
    }
    let calm_from = KILL_AFTER + DOWN + CONTACT + CALM_BEFORE;
    let limit = AFTER_LAST_RUN.max(calm_from) + NOTHING_RUNNING;
    let mut broken = false;
    let starts = fleet.starts.lock().unwrap();
    for task in tasks.iter().filter(|_| trouble) {
        let again = starts.iter().find(|start| start.task == *task && start.at > lost);
        let without = again.map_or(WATCHED, |start| start.at - lost);
        let too_long = without > limit;
        record.line(&format!(
            "{task} had no run for {:.1} s{}",
            without.as_secs_f64(),
            if too_long { ", which is too long" } else { "" }
        ));
        broken |= too_long;
    }
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}
