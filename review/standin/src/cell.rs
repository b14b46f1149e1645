//! A cell of boxes, started as processes, with its stand-ins.

use std::fs::OpenOptions;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::advice;
use crate::http;
use crate::json;
use crate::runner::{self, Course, Ledger, Runner};
use crate::store::Store;

/// The daemon, as the deploy file starts it from the repository's root.
const DAEMON: &str = "target/release/sedgehilld";
const BOXES: usize = 3;
const RUNNERS: usize = 6;
pub const HOST: &str = "cell.example";
/// The path prefix of the urgent queue.
pub const CHECKS: &str = "/checks/";
/// The path prefix of the queue that is less urgent.
pub const LEDGER: &str = "/ledger/";
/// How long the boxes may take to be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// The time between two heartbeats of a runner.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// The pause before a box that ended is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Why a scenario could not run.
pub type Failure = String;

/// How a queue asks which runners may run its steps.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum QueueAdvice {
    /// Each runner of the service may run them.
    None,
    /// The advice service tells.
    Asked,
}

/// A box, which is started again when it ends.
struct BoxProcess {
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    callers: SocketAddr,
    ready: SocketAddr,
    /// When it is to be started again; none while it runs.
    restart_at: Option<Instant>,
    /// The exit codes of its processes that ended by themselves.
    own_ends: Vec<i32>,
}

/// A running cell with its stand-ins. The boxes are killed when this is dropped.
pub struct Cell {
    ledger: Arc<Ledger>,
    store: Arc<Store>,
    pub runners: Vec<Arc<Runner>>,
    boxes: Vec<BoxProcess>,
    folder: PathBuf,
}

impl Drop for Cell {
    fn drop(&mut self) {
        for process in &mut self.boxes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Cell {
    pub fn start(
        ledger: &Arc<Ledger>,
        course: Course,
        advice: QueueAdvice,
    ) -> Result<Cell, Failure> {
        let store = Arc::new(Store::default());
        store.put("keyed.op", "config", &config(advice));
        let answering = store.clone();
        let store_address = http::serve(move |request| answering.answer(&request));
        let advice_address = http::serve(|request| advice::answer(&request));
        let folder = std::env::temp_dir().join(format!("sedgehill-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut cell =
            Cell { ledger: ledger.clone(), store, runners: Vec::new(), boxes: Vec::new(), folder };
        cell.add_runners(&course);
        for number in 0..BOXES {
            cell.start_box(number, store_address, advice_address)?;
        }
        cell.wait_until(READY_LIMIT, "all boxes are ready", |cell| {
            let is_ready = |process: &BoxProcess| {
                let answer = http::call(process.ready, "GET", "/sedgehill/readyz", "box", "");
                answer.is_some_and(|(status, _)| status == 200)
            };
            cell.boxes.iter().all(is_ready)
        })?;
        Ok(cell)
    }

    /// Adds empty runners.
    pub fn add_runners(&mut self, course: &Course) {
        for number in self.runners.len()..self.runners.len() + RUNNERS {
            let ledger = self.ledger.clone();
            let runner = Runner::new(format!("runner-{number}"), ledger, course.clone());
            let answering = runner.clone();
            let connections = runner.connections.clone();
            let address =
                http::serve_limited(connections, move |request| answering.answer(request));
            keep_entry(self.store.clone(), runner.clone(), address, number);
            self.runners.push(runner);
        }
    }

    /// Starts a box with the settings that the deploy file's template gives a small deployment.
    fn start_box(
        &mut self,
        number: usize,
        store: SocketAddr,
        advice: SocketAddr,
    ) -> Result<(), Failure> {
        let [callers, ready, peers, metrics] = free_addresses()?;
        let text = format!(
            "{{\"box\":\"box-{number}\",\"listen\":{{\"callers\":\"{callers}\",\"ready\":\"{ready}\",\
             \"peers\":\"{peers}\",\"metrics\":\"{metrics}\"}},\"store\":\"{store}\",\"cores\":\"0.25\",\
             \"link_mbps\":\"1000.0\",\"descriptors\":\"4100\",\"store_record_bytes\":\"262144\",\
             \"store_call_bytes\":\"2097152\",\"advice\":\"{advice}\",\
             \"cell\":{{\"lease_most\":\"{}ms\",\"stop\":\"400ms\",\"size_known\":\"3000ms\"}},\
             \"keep_ended\":\"120s\",\"stop_grace\":\"6s\"}}",
            runner::MAX_HOLD_MS
        );
        let settings = self.folder.join(format!("box-{number}.json"));
        std::fs::write(&settings, text).map_err(|error| error.to_string())?;
        let log = self.folder.join(format!("box-{number}.log"));
        let child = spawn_box(&settings, &log)?;
        let (restart_at, own_ends) = (None, Vec::new());
        let process = BoxProcess { child, settings, log, callers, ready, restart_at, own_ends };
        self.boxes.push(process);
        Ok(())
    }

    pub fn wait_until(
        &self,
        limit: Duration,
        what: &str,
        check: impl Fn(&Cell) -> bool,
    ) -> Result<(), Failure> {
        let began = Instant::now();
        while began.elapsed() < limit {
            if check(self) {
                self.ledger.note(what);
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(format!("not within {limit:?}: {what}"))
    }

    /// Makes a call for a job, at other boxes if one gives no final answer. Returns the last answer.
    pub fn call(&self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        for (number, process) in self.boxes.iter().enumerate().cycle().take(6) {
            let answer = http::call(process.callers, method, path, HOST, body);
            self.ledger.note(format!("client: {method} {path} at box {number} -> {answer:?}"));
            match answer {
                Some((502..=504, _)) | None => std::thread::sleep(Duration::from_millis(300)),
                answer => return answer,
            }
        }
        None
    }

    pub fn submit(&self, path: &str, steps: &str) -> Result<(), Failure> {
        let body = format!("{{\"spec\":\"work of {path}\",\"steps\":{steps}}}");
        match self.call("POST", path, &body) {
            Some((200, _)) => Ok(()),
            answer => Err(format!("{path} was not accepted: {answer:?}")),
        }
    }

    /// The number of tasks that run on all runners.
    pub fn running(&self) -> usize {
        self.runners.iter().map(|runner| runner.running()).sum()
    }

    /// Loses all runners for good: they say nothing more, and their entries go after three heartbeats.
    pub fn lose_runners(&self) {
        self.runners.iter().for_each(|runner| runner.lose());
        let (store, ids) =
            (self.store.clone(), self.runners.iter().map(|runner| runner.id.clone()));
        let ids: Vec<String> = ids.collect();
        std::thread::spawn(move || {
            std::thread::sleep(3 * HEARTBEAT);
            ids.iter().for_each(|id| store.put("keyed.servers", id, ""));
        });
    }

    /// Returns the number of the box that began to lead last, by the boxes' logs.
    pub fn lead(&self) -> Option<usize> {
        let led_at = |process: &BoxProcess| {
            let log = std::fs::read_to_string(&process.log).unwrap_or_default();
            let line = log.lines().rev().find(|line| line.contains("\"msg\":\"leading\""))?;
            json::parse(line.as_bytes())?.number("ts")
        };
        let leads = self
            .boxes
            .iter()
            .enumerate()
            .filter_map(|(number, process)| Some((led_at(process)?, number)));
        leads.max().map(|(_, number)| number)
    }

    /// Has a box lose power, which is started again like one that ends. Its connections to runners stay open there.
    pub fn cut_power(&mut self, number: usize) {
        self.runners.iter().for_each(|runner| runner.connections.lose_clients());
        self.kill_box(number);
    }

    /// The addresses for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.boxes.iter().map(|process| process.callers).collect()
    }

    /// Kills a box, which is then started again like one that ends.
    pub fn kill_box(&mut self, number: usize) {
        let process = &mut self.boxes[number];
        let _ = process.child.kill();
        let _ = process.child.wait();
        process.restart_at = Some(Instant::now() + RESTART_PAUSE);
        self.ledger.note(format!("box {number} is killed"));
    }

    /// Starts boxes again that have ended, for a time.
    pub fn supervise(&mut self, time: Duration) -> Result<(), Failure> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            for (number, process) in self.boxes.iter_mut().enumerate() {
                if let Some(at) = process.restart_at {
                    if Instant::now() >= at {
                        process.child = spawn_box(&process.settings, &process.log)?;
                        process.restart_at = None;
                    }
                } else if let Ok(Some(status)) = process.child.try_wait() {
                    let code = status.code().unwrap_or_else(|| -status.signal().unwrap_or(0));
                    process.own_ends.push(code);
                    process.restart_at = Some(Instant::now() + RESTART_PAUSE);
                    let log = std::fs::read_to_string(&process.log).unwrap_or_default();
                    let panic = log.lines().rev().find(|line| line.contains("panicked at"));
                    self.ledger.note(format!(
                        "box {number} ended by itself with code {code}: {}",
                        panic.unwrap_or_default()
                    ));
                }
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// How often each box ended by itself.
    pub fn own_ends(&self) -> Vec<usize> {
        self.boxes.iter().map(|process| process.own_ends.len()).collect()
    }
}

/// Returns the configuration: two queues of one service.
fn config(advice: QueueAdvice) -> String {
    let advice = match advice {
        QueueAdvice::None => String::new(),
        QueueAdvice::Asked => format!(",\"advice\":{}", advice::settings()),
    };
    let route = |name: &str, prefix: &str, priority: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"service\":\"pool\",\
             \"priority\":{priority},\"max_attempts\":3,\"stretch\":4.0,\"target_latency_ms\":1000{advice}}}"
        )
    };
    let routes = [route("checks", CHECKS, 0), route("ledger", LEDGER, 2)].join(",");
    format!(
        "{{\"version\":1,\"routes\":[{routes}],\"services\":[{{\"name\":\"pool\",\"enforces_capacity\":false}}]}}"
    )
}

/// Keeps the entry of a runner in the store for as long as the runner is there.
fn keep_entry(store: Arc<Store>, runner: Arc<Runner>, address: SocketAddr, number: usize) {
    let seq = AtomicU64::new(1);
    let put = move || {
        let entry = format!(
            "{{\"service\":\"pool\",\"address\":\"{address}\",\"zone\":\"hall-1\",\"version\":\"1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{},\"born\":{},\
             \"capacity\":{{\"cpu\":16000,\"mem_mb\":65536,\"gpu\":0}},\"labels\":[\"a\",\"r1-{}\"]}}",
            seq.fetch_add(1, Ordering::Relaxed),
            runner.born,
            number / 2
        );
        if !runner.is_lost() {
            store.put("keyed.servers", &runner.id, &entry);
        }
    };
    put();
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(HEARTBEAT);
            put();
        }
    });
}

/// Starts the process of a box, which appends its log to a file.
fn spawn_box(settings: &Path, log: &Path) -> Result<Child, Failure> {
    let log = OpenOptions::new().create(true).append(true).open(log);
    let log = log.map_err(|error| error.to_string())?;
    let errors = log.try_clone().map_err(|error| error.to_string())?;
    let command = Command::new(DAEMON)
        .args(["cell", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn();
    let child = command.map_err(|error| format!("{DAEMON} does not start: {error}"))?;
    note_process(child.id());
    Ok(child)
}

/// Adds a process to the file that the environment variable `REVIEW_PROCESSES` names. The script ends what is left of
/// these if it is ended itself.
fn note_process(id: u32) {
    let Some(path) = std::env::var_os("REVIEW_PROCESSES") else { return };
    if let Ok(mut file) = OpenOptions::new().create(true).append(true).open(path) {
        let _ = writeln!(file, "{id}");
    }
}

fn free_addresses() -> Result<[SocketAddr; 4], Failure> {
    let bind = || TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string());
    let listeners = [bind()?, bind()?, bind()?, bind()?];
    let address = |listener: &TcpListener| listener.local_addr().map_err(|error| error.to_string());
    let [first, second, third, fourth] = &listeners;
    Ok([address(first)?, address(second)?, address(third)?, address(fourth)?])
}
