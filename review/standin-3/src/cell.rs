//! Boxes in cell mode as child processes, with the store, and clients of them.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::{Server, call};
use crate::record::Record;
use crate::store::{CALL_BYTES, RECORD_BYTES, Store};

/// The host and the prefix of the only queue.
pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
pub const SERVICE: &str = "cdr-lookup";

/// Each box listens for callers, readiness checks, other boxes and readers of metrics.
const ADDRESSES_PER_BOX: usize = 4;

/// A box.
pub struct CellBox {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// The program and the arguments of the deploy file, with another path of the settings.
fn start_command(root: &Path, settings: &Path) -> Command {
    let mut command = Command::new(root.join("target/release/sedgehilld"));
    command.arg("cell").arg("--settings").arg(settings).current_dir(root);
    command
}

/// What differs between the sites.
pub struct Site {
    /// The fields of the only route that matter here.
    pub route: &'static str,
    pub max_hold_ms: u64,
}

/// A cell: a store and boxes.
pub struct Cell {
    pub store: Store,
    pub store_server: Server,
    pub boxes: Vec<CellBox>,
    pub record: Record,
    root: PathBuf,
    /// Where the settings and logs of the boxes are.
    folder: PathBuf,
}

/// Returns different free addresses.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let bind = |_| TcpListener::bind("127.0.0.1:0").expect("a free port");
    let listeners: Vec<TcpListener> = (0..count).map(bind).collect();
    listeners.iter().map(|listener| listener.local_addr().expect("a bound port")).collect()
}

impl Cell {
    /// Starts a store and as many boxes as wanted, with settings as the template of the deploy file gives them.
    pub fn start(root: &Path, folder: &Path, count: usize, site: &Site, record: &Record) -> Cell {
        let Site { route, max_hold_ms } = site;
        let store = Store::new();
        let store_server = store.serve();
        let config = format!(
            "{{\"version\":3,\"routes\":[{{\"name\":\"q1\",\"host\":\"{HOST}\",\"path_prefix\":\"{PREFIX}\",\"service\":\"{SERVICE}\",\"kind\":\"unsafe\",\"timeout_ms\":3000,{route}}}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\"max_conns\":64,\"enforces_capacity\":false}}],\"limits\":{{\"max_body_bytes\":262144}}}}"
        );
        store.put("keyed.op", "config", config.as_bytes());
        let mut boxes = Vec::new();
        let addresses = free_addresses(count * ADDRESSES_PER_BOX);
        for number in 1..=count {
            let name = format!("frontend-abdali-{number}");
            let own = &addresses[(number - 1) * ADDRESSES_PER_BOX..];
            let (callers, ready, peers, metrics) = (own[0], own[1], own[2], own[3]);
            let settings = folder.join(format!("{name}.json"));
            let text = format!(
                "{{\"box\":\"{name}\",\"listen\":{{\"callers\":\"{callers}\",\"ready\":\"{ready}\",\"peers\":\"{peers}\",\"metrics\":\"{metrics}\"}},\"store\":\"{}\",\"cores\":\"0.25\",\"link_mbps\":\"1000.0\",\"descriptors\":\"4200\",\"memory\":\"260MiB\",\"store_record_bytes\":\"{RECORD_BYTES}\",\"store_call_bytes\":\"{CALL_BYTES}\",\"cell\":{{\"lease_most\":\"{max_hold_ms}ms\",\"stop\":\"400ms\",\"size_known\":\"3000ms\"}},\"keep_ended\":\"120s\",\"stop_grace\":\"6s\"}}",
                store_server.address
            );
            std::fs::write(&settings, text).expect("the settings can be written");
            let log = folder.join(format!("{name}.log"));
            boxes.push(CellBox { name, callers, ready, settings, log, child: None });
        }
        let mut cell = Cell {
            store,
            store_server,
            boxes,
            record: record.clone(),
            root: root.to_owned(),
            folder: folder.to_owned(),
        };
        for number in 0..count {
            cell.start_box(number);
        }
        cell
    }

    pub fn start_box(&mut self, number: usize) {
        let cell_box = &mut self.boxes[number];
        let log = File::options().append(true).create(true).open(&cell_box.log).expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = start_command(&self.root, &cell_box.settings)
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors))
            .spawn()
            .expect("the box can be started");
        self.record.note(format!("box {} starts", cell_box.name));
        cell_box.child = Some(child);
    }

    /// Kills a box.
    pub fn kill_box(&mut self, number: usize) {
        let cell_box = &mut self.boxes[number];
        if let Some(mut child) = cell_box.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.note(format!("box {} killed", cell_box.name));
        }
    }

    /// Returns the number of the box that claimed the lead last, by the logs of the boxes.
    pub fn lead(&self) -> Option<usize> {
        let claims = self.boxes.iter().enumerate().filter_map(|(number, cell_box)| {
            let log = std::fs::read_to_string(&cell_box.log).unwrap_or_default();
            let last = log.lines().rfind(|line| line.contains("\"msg\":\"leading\""))?.to_owned();
            let at = last.split("\"ts\":").nth(1)?.split(',').next()?.parse::<u64>().ok()?;
            Some((at, number))
        });
        claims.max().map(|(_, number)| number)
    }

    /// Returns the boxes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for cell_box in &mut self.boxes {
            if let Some(child) = &mut cell_box.child
                && let Ok(Some(status)) = child.try_wait()
            {
                ended.push(format!("{} {status}", cell_box.name));
            }
        }
        ended
    }

    /// Waits until all boxes are ready. Returns whether they are.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        let is_ready = |cell_box: &CellBox| {
            let answer =
                call(cell_box.ready, "GET", "/sedgehill/readyz", HOST, b"", Duration::from_secs(1));
            answer.is_some_and(|(status, _)| status == 200)
        };
        while Instant::now() < until {
            if self.boxes.iter().all(is_ready) {
                self.record.note("all boxes are ready".to_owned());
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Calls a box as a client does, and records it.
    pub fn client(
        &self,
        number: usize,
        method: &str,
        job: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let cell_box = &self.boxes[number];
        let path = format!("{PREFIX}{job}");
        let answer =
            call(cell_box.callers, method, &path, HOST, body.as_bytes(), Duration::from_secs(3));
        let answer =
            answer.map(|(status, body)| (status, String::from_utf8_lossy(&body).into_owned()));
        let shown = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        let sent: String = body.chars().take(100).collect();
        self.record.note(format!("{method} {job} at {} {sent} -> {shown}", cell_box.name));
        answer
    }

    /// Submits a job until it is accepted, as clients repeat their calls.
    pub fn submit(&self, job: &str, body: &str) -> bool {
        for attempt in 0..12 {
            let answer = self.client(attempt % self.boxes.len(), "POST", job, body);
            if answer.is_some_and(|(status, _)| status == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(500));
        }
        false
    }

    /// Copies the last lines of the logs of the boxes that contain one of the texts into the record.
    pub fn note_logs(&self, texts: &[&str], most: usize) {
        for cell_box in &self.boxes {
            let log = std::fs::read_to_string(&cell_box.log).unwrap_or_default();
            let lines: Vec<&str> =
                log.lines().filter(|line| texts.iter().any(|text| line.contains(text))).collect();
            for line in lines.iter().take(most) {
                let line: String = line.chars().take(300).collect();
                self.record.note(format!("log of {}: {line}", cell_box.name));
            }
        }
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for number in 0..self.boxes.len() {
            if let Some(mut child) = self.boxes[number].child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        self.store_server.kill();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
