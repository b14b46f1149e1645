//! Stand-ins for the platform's runners, which are told what to do by calls, as the users' pages tell it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Call, Reply, Server};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;
use crate::way::Way;

/// The topic in which runners list themselves.
pub const RUNNERS_TOPIC: &str = "keyed.servers";
/// How often a runner writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// How long the entry of a runner stays that says nothing: three heartbeats.
const ENTRY_LASTS: Duration = Duration::from_millis(4_500);
/// The time that a stop takes.
const STOP_TIME: Duration = Duration::from_millis(100);
/// The interval of looking after runs.
const TICK: Duration = Duration::from_millis(5);

/// What a run does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// It ends `done` after this time.
    Done(Duration),
    /// It ends `failed` after this time.
    Fails(Duration),
    /// It runs until it is stopped.
    Lasts,
    /// Its runner crashes after this time.
    Crashes(Duration),
}

/// What a machine is.
#[derive(Debug, Clone)]
pub struct MachineSpec {
    pub service: String,
    pub zone: String,
    pub cpu: u64,
    pub mem_mb: u64,
    pub gpu: u64,
    pub labels: Vec<String>,
}

/// A start that a runner carried out.
#[derive(Debug, Clone)]
pub struct StartSeen {
    pub at: Duration,
    pub task: String,
    pub run: u64,
    pub machine: usize,
}

/// An end of a run.
#[derive(Debug, Clone)]
pub struct EndSeen {
    pub task: String,
    pub run: u64,
    pub how: &'static str,
}

/// What a start is about, for the choice of what its run does.
pub struct StartInfo<'a> {
    /// The number of starts of tasks of the same spec on the machine before this one.
    pub earlier: usize,
    pub spec: &'a str,
}

/// How a machine comes back after a crash.
#[derive(Debug, Clone, Copy)]
pub struct ComeBack {
    pub after: Duration,
    /// Whether the next life answers at the address of the one before it.
    pub same_address: bool,
    /// Whether the next life has the id of the one before it.
    pub same_id: bool,
}

type Plan = dyn Fn(&StartInfo<'_>) -> Behaviour + Send + Sync;

struct Run {
    run: u64,
    since: Instant,
    behaviour: Behaviour,
    stop_at: Option<Instant>,
}

#[derive(Default)]
struct LifeState {
    fence: u64,
    lease_until: u64,
    runs: BTreeMap<String, Run>,
    /// The highest run of each task that was stopped or has ended here.
    floor: HashMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    /// When the runs ended, by the number of the end.
    ended_at: HashMap<u64, Duration>,
    last_end: u64,
}

/// One life of a runner.
struct Life {
    id: String,
    machine: usize,
    born: u64,
    started: Instant,
    clock_base: u64,
    alive: AtomicBool,
    state: Mutex<LifeState>,
    changed: Condvar,
}

impl Life {
    fn clock(&self) -> u64 {
        self.clock_base + self.started.elapsed().as_millis() as u64
    }
}

/// All runners.
pub struct Fleet {
    store: Arc<Store>,
    record: Record,
    plan: Box<Plan>,
    max_hold: u64,
    come_back: ComeBack,
    specs: Mutex<Vec<MachineSpec>>,
    lives: AtomicUsize,
    spec_starts: Mutex<HashMap<(usize, String), usize>>,
    pub starts: Mutex<Vec<StartSeen>>,
    pub ends: Mutex<Vec<EndSeen>>,
    pub crashes: Mutex<Vec<Duration>>,
    /// The tasks that run now, with the ids of their runners and their runs.
    running: Mutex<BTreeMap<String, Vec<(String, u64)>>>,
    /// The tasks that were started while another run of them went on.
    pub doubles: Mutex<Vec<String>>,
    /// The ends `done` of which note was taken: the task, when it ended, and when note was taken.
    pub noted: Mutex<Vec<(String, Duration, Duration)>>,
    ordered_crashes: Mutex<BTreeSet<usize>>,
    lost: Mutex<BTreeSet<usize>>,
}

impl Fleet {
    pub fn new(
        store: Arc<Store>,
        record: Record,
        max_hold: u64,
        come_back: ComeBack,
        plan: impl Fn(&StartInfo<'_>) -> Behaviour + Send + Sync + 'static,
    ) -> Arc<Fleet> {
        Arc::new(Fleet {
            store,
            record,
            plan: Box::new(plan),
            max_hold,
            come_back,
            specs: Mutex::default(),
            lives: AtomicUsize::new(0),
            spec_starts: Mutex::default(),
            starts: Mutex::default(),
            ends: Mutex::default(),
            crashes: Mutex::default(),
            running: Mutex::default(),
            doubles: Mutex::default(),
            noted: Mutex::default(),
            ordered_crashes: Mutex::default(),
            lost: Mutex::default(),
        })
    }

    /// Adds a machine and starts its first runner.
    pub fn add_machine(self: &Arc<Self>, spec: MachineSpec) -> usize {
        self.add_machine_behind(spec, None)
    }

    /// Adds a machine that is reached on a way of its own, whose address it lists.
    pub fn add_machine_behind(self: &Arc<Self>, spec: MachineSpec, way: Option<Arc<Way>>) -> usize {
        let machine = {
            let mut specs = self.specs.lock().unwrap();
            specs.push(spec);
            specs.len() - 1
        };
        self.begin_life(machine, 0, way);
        machine
    }

    /// Crashes the runner of a machine.
    pub fn crash(&self, machine: usize) {
        self.ordered_crashes.lock().unwrap().insert(machine);
    }

    /// Crashes the runner of a machine, which is lost for good.
    pub fn lose(&self, machine: usize) {
        self.lost.lock().unwrap().insert(machine);
        self.crash(machine);
    }

    /// Starts a runner at a port or, with 0, at a free one.
    fn begin_life(self: &Arc<Self>, machine: usize, port: u16, way: Option<Arc<Way>>) {
        let number = self.lives.fetch_add(1, Ordering::SeqCst);
        let id_number = if self.come_back.same_id { machine } else { number };
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let life = Arc::new(Life {
            id: format!("i-{machine:02}{id_number:06x}"),
            machine,
            born,
            started: Instant::now(),
            clock_base: if self.come_back.same_id {
                0
            } else {
                100_000 + 50_000 * (number as u64 % 7)
            },
            alive: AtomicBool::new(true),
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let (fleet, called) = (self.clone(), life.clone());
        let server =
            Server::start("127.0.0.1", port, Arc::new(move |call| fleet.answer(&called, call)))
                .expect("a free port for a runner");
        let address = server.address;
        let listed_address = match &way {
            Some(way) => way.lead_to(address),
            None => address,
        };
        self.record.line(&format!("runner {} of machine {machine} begins at {address}", life.id));
        let (fleet, listed) = (self.clone(), life.clone());
        std::thread::spawn(move || fleet.write_entries(&listed, &listed_address.to_string()));
        let fleet = self.clone();
        std::thread::spawn(move || {
            while life.alive.load(Ordering::SeqCst) {
                std::thread::sleep(TICK);
                fleet.tick(&life);
            }
            server.close();
            if fleet.lost.lock().unwrap().contains(&life.machine) {
                return;
            }
            std::thread::sleep(fleet.come_back.after);
            let port = if fleet.come_back.same_address { address.port() } else { 0 };
            fleet.begin_life(life.machine, port, way);
        });
    }

    /// Writes the entry of a runner with each heartbeat. After its end the entry goes.
    fn write_entries(&self, life: &Life, address: &str) {
        let spec = self.specs.lock().unwrap()[life.machine].clone();
        let mut seq = 0u64;
        while life.alive.load(Ordering::SeqCst) {
            seq += 1;
            let capacity = [
                ("cpu", spec.cpu.into()),
                ("mem_mb", spec.mem_mb.into()),
                ("gpu", spec.gpu.into()),
            ];
            let labels = spec.labels.iter().map(|label| label.as_str().into()).collect();
            let entry = Json::object([
                ("service", spec.service.as_str().into()),
                ("address", address.into()),
                ("zone", spec.zone.as_str().into()),
                ("version", "v1".into()),
                ("slots", 8u64.into()),
                ("state", "ready".into()),
                ("cold_left_ms", 0u64.into()),
                ("born", life.born.into()),
                ("capacity", Json::object(capacity)),
                ("labels", Json::List(labels)),
                ("clock_ms", life.clock().into()),
                ("seq", seq.into()),
            ]);
            self.store.put(RUNNERS_TOPIC, &life.id, &entry.write());
            let until = Instant::now() + HEARTBEAT;
            while Instant::now() < until && life.alive.load(Ordering::SeqCst) {
                std::thread::sleep(TICK);
            }
        }
        if self.come_back.same_id && !self.lost.lock().unwrap().contains(&life.machine) {
            return;
        }
        std::thread::sleep(ENTRY_LASTS);
        self.store.put(RUNNERS_TOPIC, &life.id, "");
    }

    /// Looks after the runs of a runner.
    fn tick(&self, life: &Life) {
        let mut state = life.state.lock().unwrap();
        let now = Instant::now();
        if !state.runs.is_empty() && life.clock() > state.lease_until {
            let tasks: Vec<String> = state.runs.keys().cloned().collect();
            for task in tasks {
                self.end_run(life, &mut state, &task, "lapsed");
            }
        }
        let mut over = Vec::new();
        let mut crash = self.ordered_crashes.lock().unwrap().remove(&life.machine);
        for (task, run) in &state.runs {
            let age = now.duration_since(run.since);
            if run.stop_at.is_some_and(|at| now >= at) {
                over.push((task.clone(), "stopped"));
                continue;
            }
            match run.behaviour {
                Behaviour::Done(after) if age >= after => over.push((task.clone(), "done")),
                Behaviour::Fails(after) if age >= after => over.push((task.clone(), "failed")),
                Behaviour::Crashes(after) if age >= after => crash = true,
                _ => {}
            }
        }
        if crash {
            let tasks: Vec<&str> = state.runs.keys().map(String::as_str).collect();
            self.record.line(&format!(
                "runner {} of machine {} crashes under {}",
                life.id,
                life.machine,
                tasks.join(" ")
            ));
            self.crashes.lock().unwrap().push(self.record.now());
            life.alive.store(false, Ordering::SeqCst);
            for task in state.runs.keys() {
                self.note_not_running(life, task);
            }
            state.runs.clear();
            return;
        }
        for (task, how) in over {
            self.end_run(life, &mut state, &task, how);
        }
    }

    fn end_run(&self, life: &Life, state: &mut LifeState, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else { return };
        self.note_not_running(life, task);
        state.last_end += 1;
        let number = state.last_end;
        state.ends.push((number, task.to_owned(), run.run, how));
        state.ended_at.insert(number, self.record.now());
        let floor = state.floor.entry(task.to_owned()).or_default();
        *floor = run.run.max(*floor);
        self.record.line(&format!(
            "runner {} of machine {}: {task} run {} ends {how}",
            life.id, life.machine, run.run
        ));
        let end = EndSeen { task: task.to_owned(), run: run.run, how };
        self.ends.lock().unwrap().push(end);
        life.changed.notify_all();
    }

    fn note_running(&self, life: &Life, task: &str, run: u64) {
        let mut running = self.running.lock().unwrap();
        let runs = running.entry(task.to_owned()).or_default();
        for (id, other) in runs.iter() {
            self.record.line(&format!(
                "TWICE: {task} run {run} on {} beside run {other} on {id}",
                life.id
            ));
            self.doubles.lock().unwrap().push(task.to_owned());
        }
        runs.push((life.id.clone(), run));
    }

    fn note_not_running(&self, life: &Life, task: &str) {
        if let Some(runs) = self.running.lock().unwrap().get_mut(task) {
            runs.retain(|(id, _)| *id != life.id);
        }
    }

    fn answer(&self, life: &Life, call: Call) -> Reply {
        if !life.alive.load(Ordering::SeqCst) {
            return Reply::Silence;
        }
        if call.path == "/healthz" {
            return Reply::status(200);
        }
        if call.headers.get("target-instance").is_some_and(|id| *id != life.id) {
            return Reply::status(421);
        }
        let body = std::str::from_utf8(&call.body).ok().and_then(Json::parse);
        let Some(body) = body.filter(|_| call.method == "POST") else { return Reply::status(400) };
        match call.path.as_str() {
            "/sedgehill/run-start" => self.start(life, &body),
            "/sedgehill/run-stop" => self.stop(life, &body),
            "/sedgehill/hold" => self.hold(life, &body),
            _ => Reply::status(404),
        }
    }

    fn plain(&self, life: &Life, reason: Option<&str>) -> Reply {
        let clock = ("clock_ms", life.clock().into());
        let born = ("born", life.born.into());
        match reason {
            None => Reply::json(200, Json::object([clock, born]).write()),
            Some(reason) => {
                Reply::json(409, Json::object([clock, born, ("reason", reason.into())]).write())
            }
        }
    }

    /// Checks the fencing token of an order. Returns whether it holds.
    fn fence(state: &mut LifeState, body: &Json) -> bool {
        let token = body.number("fencing_token").unwrap_or(0);
        let holds = token >= state.fence;
        state.fence = token.max(state.fence);
        holds
    }

    fn extend(&self, life: &Life, state: &mut LifeState, body: &Json) {
        if let Some(deadline) = body.number("deadline_ms") {
            let deadline = deadline.min(life.clock() + self.max_hold);
            state.lease_until = deadline.max(state.lease_until);
        }
    }

    fn start(&self, life: &Life, body: &Json) -> Reply {
        let (Some(task), Some(run), Some(deadline)) =
            (body.text("task"), body.number("run"), body.number("deadline_ms"))
        else {
            return Reply::status(400);
        };
        let spec = body.text("spec").unwrap_or_default();
        let mut state = life.state.lock().unwrap();
        if !Fleet::fence(&mut state, body) {
            return self.plain(life, Some("fence"));
        }
        if deadline <= life.clock() {
            return self.plain(life, Some("late"));
        }
        self.extend(life, &mut state, body);
        if let Some(known) = state.runs.get(task) {
            return self.plain(life, (known.run != run).then_some("old"));
        }
        if state.floor.get(task).is_some_and(|floor| run <= *floor) {
            return self.plain(life, Some("old"));
        }
        let earlier = {
            let mut counts = self.spec_starts.lock().unwrap();
            let count = counts.entry((life.machine, spec.to_owned())).or_default();
            *count += 1;
            *count - 1
        };
        let behaviour = (self.plan)(&StartInfo { earlier, spec });
        let new = Run { run, since: Instant::now(), behaviour, stop_at: None };
        state.runs.insert(task.to_owned(), new);
        self.note_running(life, task, run);
        self.record.line(&format!(
            "runner {} of machine {}: {task} run {run} starts ({spec})",
            life.id, life.machine
        ));
        self.starts.lock().unwrap().push(StartSeen {
            at: self.record.now(),
            task: task.to_owned(),
            run,
            machine: life.machine,
        });
        self.plain(life, None)
    }

    fn stop(&self, life: &Life, body: &Json) -> Reply {
        let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else {
            return Reply::status(400);
        };
        let mut state = life.state.lock().unwrap();
        if !Fleet::fence(&mut state, body) {
            return self.plain(life, Some("fence"));
        }
        let floor = state.floor.entry(task.to_owned()).or_default();
        *floor = run.max(*floor);
        if let Some(known) = state.runs.get_mut(task).filter(|known| known.run <= run) {
            known.stop_at.get_or_insert(Instant::now() + STOP_TIME);
        }
        self.plain(life, None)
    }

    fn hold(&self, life: &Life, body: &Json) -> Reply {
        let mut state = life.state.lock().unwrap();
        if !Fleet::fence(&mut state, body) {
            return self.plain(life, Some("fence"));
        }
        let lapsed = life.clock() > state.lease_until;
        self.extend(life, &mut state, body);
        let last_seen = body.number("last_seen").unwrap_or(0);
        for (number, task, _, how) in state.ends.iter().filter(|end| end.0 <= last_seen) {
            if *how == "done" && !lapsed {
                let ended = state.ended_at[number];
                self.noted.lock().unwrap().push((task.clone(), ended, self.record.now()));
            }
        }
        let forgotten = state.ends.iter().filter(|(number, ..)| *number <= last_seen).count();
        if forgotten > 0 && last_seen > state.last_end {
            self.record.line(&format!(
                "runner {} is told last_seen {last_seen}, its last end is {}: {forgotten} ends are forgotten",
                life.id, state.last_end
            ));
        }
        state.ends.retain(|(number, ..)| *number > last_seen);
        let wait = body.number("wait_ms").unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if !state.ends.is_empty() || left.is_zero() || !life.alive.load(Ordering::SeqCst) {
                break;
            }
            state = life.changed.wait_timeout(state, left.min(HEARTBEAT)).unwrap().0;
        }
        if !life.alive.load(Ordering::SeqCst) {
            return Reply::Silence;
        }
        let running = state.runs.iter().map(|(task, run)| {
            Json::List(vec![task.as_str().into(), run.run.into(), "".into(), 100u64.into()])
        });
        let ended = state.ends.iter().take(500).map(|(number, task, run, how)| {
            Json::List(vec![
                (*number).into(),
                task.as_str().into(),
                (*run).into(),
                (*how).into(),
                "".into(),
            ])
        });
        let answer = Json::object([
            ("clock_ms", life.clock().into()),
            ("born", life.born.into()),
            ("running", Json::List(running.collect())),
            ("ended_at", Json::List(ended.collect())),
        ]);
        Reply::json(200, answer.write())
    }
}
