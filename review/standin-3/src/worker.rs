//! A stand-in of a runner, after PROTOCOL.md ("Running tasks", "Service discovery").

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, Handler, Request, Server};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::store::Store;

/// Below `stop_ms` of the small sites, and their `heartbeat_ms`.
const STOP_MS: u64 = 100;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// After three heartbeats of silence the entry of a runner goes.
const SILENT_BEATS: u32 = 3;

struct Run {
    run: u32,
    started: Instant,
    /// When it ends done; none for a task that lasts.
    work: Option<Duration>,
    /// When a stop takes effect.
    stop_at: Option<Instant>,
    /// It fails by itself.
    fails: bool,
}

#[derive(Default)]
struct State {
    fence: u64,
    fenced_calls: u64,
    deadline_ms: u64,
    runs: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u32, &'static str)>,
    next_end: u64,
    /// The highest run of each task that was stopped or has ended here.
    past: HashMap<String, u32>,
}

struct Shared {
    id: String,
    born: u64,
    max_hold_ms: u64,
    started: Instant,
    state: Mutex<State>,
    changed: Condvar,
    dead: AtomicBool,
    record: Record,
}

/// A runner.
#[derive(Clone)]
pub struct Worker {
    shared: Arc<Shared>,
    server: Server,
}

/// What a runner says of itself.
#[derive(Clone)]
pub struct WorkerSpec {
    pub id: String,
    pub service: String,
    pub cpu: u64,
    pub mem_mb: u64,
    pub rack: String,
    /// `max_hold_ms` of the site.
    pub max_hold_ms: u64,
}

impl Worker {
    /// Starts a runner at a free port, or at the port of an earlier life.
    pub fn start(
        spec: &WorkerSpec,
        at: Option<SocketAddr>,
        store: &Store,
        record: &Record,
    ) -> Worker {
        let born =
            SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis() as u64;
        let shared = Arc::new(Shared {
            id: spec.id.clone(),
            born,
            max_hold_ms: spec.max_hold_ms,
            started: Instant::now(),
            state: Mutex::new(State { next_end: 1, ..State::default() }),
            changed: Condvar::new(),
            dead: AtomicBool::new(false),
            record: record.clone(),
        });
        let handling = shared.clone();
        let handler: Handler = Arc::new(move |request| handling.handle(request));
        let server = match at {
            Some(address) => Server::start_at(address, handler),
            None => Server::start(handler),
        };
        let worker = Worker { shared, server };
        worker.spawn_beats(spec.clone(), store.clone());
        let ticking = worker.shared.clone();
        std::thread::spawn(move || {
            while !ticking.dead.load(Ordering::SeqCst) {
                ticking.tick();
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        record.note(format!("runner {} up", spec.id));
        worker
    }

    fn spawn_beats(&self, spec: WorkerSpec, store: Store) {
        let (shared, address) = (self.shared.clone(), self.server.address);
        std::thread::spawn(move || {
            let entry = format!(
                "{{\"id\":{id},\"born\":{},\"service\":{},\"address\":\"{address}\",\"zone\":\"abdali\",\"version\":\"1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"machine\":{id},\"capacity\":{{\"cpu\":{},\"mem_mb\":{},\"gpu\":0}},\"labels\":[\"a\",{}]}}",
                shared.born,
                quote(&spec.service),
                spec.cpu,
                spec.mem_mb,
                quote(&spec.rack),
                id = quote(&spec.id),
            );
            store.put("keyed.servers", &spec.id, entry.as_bytes());
            let mut last_beat = Instant::now();
            loop {
                std::thread::sleep(Duration::from_millis(50));
                if !shared.dead.load(Ordering::SeqCst) {
                    if last_beat.elapsed() >= HEARTBEAT {
                        last_beat = Instant::now();
                    }
                    continue;
                }
                if last_beat.elapsed() >= HEARTBEAT * SILENT_BEATS {
                    // Unless a next life has written its own entry by now.
                    let own = store
                        .newest("keyed.servers")
                        .into_iter()
                        .any(|(key, value)| key == spec.id && value == entry.as_bytes());
                    if own {
                        store.put("keyed.servers", &spec.id, b"");
                    }
                    return;
                }
            }
        });
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// The tasks that run here.
    pub fn running(&self) -> Vec<String> {
        self.shared.state.lock().expect("no panic").runs.keys().cloned().collect()
    }

    /// Sets the highest fencing token that the runner has seen.
    pub fn set_fence(&self, token: u64) {
        self.shared.state.lock().expect("no panic").fence = token;
    }

    /// Returns how many calls it has refused because of their token.
    pub fn fenced_calls(&self) -> u64 {
        self.shared.state.lock().expect("no panic").fenced_calls
    }

    /// Lets a task that runs here fail by itself. Returns whether it runs here.
    pub fn fail(&self, task: &str) -> bool {
        let mut state = self.shared.state.lock().expect("no panic");
        let Some(run) = state.runs.get_mut(task) else { return false };
        run.fails = true;
        true
    }

    /// Crashes: everything that runs is gone, the port is closed, and nothing is said.
    pub fn crash(&self) {
        self.shared.dead.store(true, Ordering::SeqCst);
        self.server.kill();
        let mut state = self.shared.state.lock().expect("no panic");
        self.shared.record.note(format!(
            "runner {} crashed with {} runs",
            self.id(),
            state.runs.len()
        ));
        let gone: Vec<(String, u32)> =
            state.runs.iter().map(|(task, run)| (task.clone(), run.run)).collect();
        for (task, run) in gone {
            self.shared.record.run_ended(&self.shared.id, &task, run, "crashed");
        }
        state.runs.clear();
        self.shared.changed.notify_all();
    }
}

impl Shared {
    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1_000
    }

    fn tick(&self) {
        let clock = self.clock_ms();
        let mut state = self.state.lock().expect("no panic");
        let lapsed = clock > state.deadline_ms;
        let mut over = Vec::new();
        for (task, run) in &state.runs {
            let is_stopped = run.stop_at.is_some_and(|at| Instant::now() >= at);
            let is_done = run.work.is_some_and(|work| run.started.elapsed() >= work);
            let how = match (is_done, is_stopped, lapsed) {
                _ if run.fails => "failed",
                (true, ..) => "done",
                (_, true, _) => "stopped",
                (_, _, true) => "lapsed",
                _ => continue,
            };
            over.push((task.clone(), run.run, how));
        }
        for (task, run, how) in &over {
            state.runs.remove(task);
            let past = state.past.entry(task.clone()).or_default();
            *past = (*past).max(*run);
            let number = state.next_end;
            state.next_end += 1;
            state.ended.push((number, task.clone(), *run, how));
            self.record.run_ended(&self.id, task, *run, how);
        }
        if !over.is_empty() {
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Answer {
        if self.dead.load(Ordering::SeqCst) {
            return None;
        }
        if request.method == "GET" {
            return Some((200, b"{}".to_vec()));
        }
        if request.headers.get("target-instance").is_some_and(|id| *id != self.id) {
            return Some((421, b"{}".to_vec()));
        }
        let Some(body) = Json::parse(&request.body) else { return Some((400, b"{}".to_vec())) };
        let token = body.number("fencing_token").unwrap_or(0);
        let mut state = self.state.lock().expect("no panic");
        if token < state.fence {
            state.fenced_calls += 1;
            return Some((409, self.refusal("fence")));
        }
        state.fence = token;
        if let Some(deadline) = body.number("deadline_ms") {
            let most = self.clock_ms() + self.max_hold_ms;
            state.deadline_ms = state.deadline_ms.max(deadline.min(most));
        }
        match request.path.as_str() {
            "/sedgehill/run-start" => Some(self.start(&mut state, &body)),
            "/sedgehill/run-stop" => {
                let task = body.text("task").unwrap_or_default().to_owned();
                let number = body.number("run").unwrap_or(0) as u32;
                match state.runs.get_mut(&task) {
                    Some(run) if run.run == number => {
                        run.stop_at.get_or_insert(Instant::now() + Duration::from_millis(STOP_MS));
                    }
                    _ => {
                        let past = state.past.entry(task).or_default();
                        *past = (*past).max(number);
                    }
                }
                Some((200, format!("{{\"clock_ms\":{}}}", self.clock_ms()).into_bytes()))
            }
            "/sedgehill/hold" => {
                let seen = body.number("last_seen").unwrap_or(0);
                state.ended.retain(|(number, ..)| *number > seen);
                let until =
                    Instant::now() + Duration::from_millis(body.number("wait_ms").unwrap_or(0));
                while state.ended.is_empty() && !self.dead.load(Ordering::SeqCst) {
                    let now = Instant::now();
                    if now >= until {
                        break;
                    }
                    state = self.changed.wait_timeout(state, until - now).expect("no panic").0;
                }
                if self.dead.load(Ordering::SeqCst) {
                    return None;
                }
                Some((200, self.report(&state)))
            }
            _ => Some((404, b"{}".to_vec())),
        }
    }

    fn refusal(&self, reason: &str) -> Vec<u8> {
        format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", self.clock_ms()).into_bytes()
    }

    fn start(&self, state: &mut State, body: &Json) -> (u16, Vec<u8>) {
        let task = body.text("task").unwrap_or_default().to_owned();
        let number = body.number("run").unwrap_or(0) as u32;
        let clock = self.clock_ms();
        let done = (200, format!("{{\"clock_ms\":{clock}}}").into_bytes());
        if state.runs.get(&task).is_some_and(|run| run.run == number) {
            return done;
        }
        let past = state.past.get(&task).copied().unwrap_or(0);
        if number <= past || state.runs.get(&task).is_some_and(|run| run.run > number) {
            return (409, self.refusal("old"));
        }
        if body.number("deadline_ms").is_some_and(|deadline| deadline <= clock) {
            return (409, self.refusal("late"));
        }
        let spec = body.text("spec").unwrap_or_default();
        let work = spec.strip_prefix("work=").and_then(|text| text.parse().ok());
        let work = work.map(Duration::from_millis);
        self.record.run_started(&self.id, &task, number);
        state.runs.insert(
            task,
            Run { run: number, started: Instant::now(), work, stop_at: None, fails: false },
        );
        done
    }

    fn report(&self, state: &State) -> Vec<u8> {
        let running =
            state.runs.iter().map(|(task, run)| format!("[{},{},\"\",100]", quote(task), run.run));
        let running: Vec<String> = running.collect();
        let ended = state.ended.iter().take(500);
        let ended = ended.map(|(number, task, run, how)| {
            format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
        });
        let ended: Vec<String> = ended.collect();
        format!(
            "{{\"born\":{},\"clock_ms\":{},\"running\":[{}],\"ended_at\":[{}]}}",
            self.born,
            self.clock_ms(),
            running.join(","),
            ended.join(",")
        )
        .into_bytes()
    }
}
