//! A runner with one task of each of many services crashes. The other runners are all but empty, so each service must
//! soon run again.

use std::collections::BTreeMap;
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
const SERVICES: usize = 28;
const MAX_HOLD_MS: u64 = 10_000;
/// How long the services run before the crash.
const CALM: Duration = Duration::from_secs(12);
/// How long the crashed runner is away, which is `for_s` of `srv_crash` on the sheets.
const AWAY: Duration = Duration::from_millis(4_500);
/// A task that lasts may have nothing running for 3 s, from 6 s after its last run, if these 3 s and the 4 s before them
/// are calm.
const AFTER_LAST_RUN: Duration = Duration::from_secs(6);
const CALM_BEFORE: Duration = Duration::from_secs(4);
const NOTHING_RUNNING: Duration = Duration::from_secs(3);
/// How long the services are watched after the crash.
const WATCHED: Duration = Duration::from_secs(60);

pub fn play(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let store = Arc::new(Store::default());
    let address = store::start(store.clone()).map_err(|error| error.to_string())?;
    store.put("keyed.op", "config", &config(&[("serve", "/serve/", 1)]));
    let plan = |_: &StartInfo<'_>| Behaviour::Lasts;
    let come_back = ComeBack { after: AWAY, same_address: true, same_id: false };
    let fleet = Fleet::new(store, record.clone(), MAX_HOLD_MS, come_back, plan);
    for number in 0..RUNNERS {
        fleet.add_machine(runner_spec(number));
    }
    let plan = CellPlan { boxes: BOXES, store: address, max_hold_ms: MAX_HOLD_MS };
    let cell = Cell::start(Path::new("."), &plan, record)?;
    cell.wait_ready(Duration::from_secs(20))?;
    std::thread::sleep(Duration::from_secs(2));

    let service = r#"{"spec":"serve","steps":[{"count":1,"cpu":500,"mem_mb":1024,"estimate_ms":500,"long_running":true}]}"#;
    for number in 0..SERVICES {
        if cell.call(number, "POST", &format!("/serve/{number:016x}"), HOST, service) != 200 {
            return Err("a service was not accepted".to_owned());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    std::thread::sleep(CALM);
    let mut tasks_of: BTreeMap<usize, Vec<String>> = BTreeMap::new();
    for start in fleet.starts.lock().unwrap().iter() {
        tasks_of.entry(start.machine).or_default().push(start.task.clone());
    }
    let (machine, tasks) =
        tasks_of.into_iter().max_by_key(|(_, tasks)| tasks.len()).ok_or("no service runs")?;
    record.line(&format!("machine {machine} runs {} of {SERVICES} services", tasks.len()));
    let crashed = record.now();
    if trouble {
        fleet.crash(machine);
    }
    std::thread::sleep(WATCHED);

    let mut broken = false;
    let limit = AFTER_LAST_RUN.max(AWAY + CALM_BEFORE) + NOTHING_RUNNING;
    let starts = fleet.starts.lock().unwrap();
    for task in tasks.iter().filter(|_| trouble) {
        let again = starts.iter().find(|start| start.task == *task && start.at > crashed);
        let without = again.map_or(WATCHED, |start| start.at - crashed);
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
