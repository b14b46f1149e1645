//! Boxes of the system as processes of their own, and clients of them.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::http;
use crate::json::Json;
use crate::record::Record;

/// The port of metrics, which the template of the settings names.
const METRICS_PORT: u16 = 9464;
/// How long clients wait for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(3_000);

/// What the settings of the boxes depend on.
pub struct CellPlan {
    pub boxes: usize,
    pub store: SocketAddr,
    pub max_hold_ms: u64,
}

/// One box.
pub struct EntryBox {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
    command: BoxCommand,
}

/// How a box is started.
struct BoxCommand {
    root: PathBuf,
    program: PathBuf,
    words: Vec<String>,
    settings: PathBuf,
}

impl BoxCommand {
    fn start(&self, out: File) -> Result<Child, String> {
        let errors = out.try_clone().map_err(|error| error.to_string())?;
        Command::new(&self.program)
            .args(&self.words)
            .current_dir(&self.root)
            .env("SEDGEHILL_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("{}: {error}", self.program.display()))
    }
}

/// The boxes, which end with this value.
pub struct Cell {
    pub boxes: Vec<EntryBox>,
    record: Record,
    folder: PathBuf,
}

impl Drop for Cell {
    fn drop(&mut self) {
        for entry in &mut self.boxes {
            let _ = entry.child.kill();
            let _ = entry.child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Cell {
    /// Starts boxes with the command of the deploy file and settings by its template. `root` is the root of the
    /// repository.
    pub fn start(root: &Path, plan: &CellPlan, record: &Record) -> Result<Cell, String> {
        let text = |path: &str| {
            fs::read_to_string(root.join(path)).map_err(|error| format!("{path}: {error}"))
        };
        let (deploy, template) = (text("deploy/system.toml")?, text("deploy/settings.json.in")?);
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = "))
            .map(|line| line.trim().trim_matches('"').to_owned())
            .ok_or("the deploy file has no command")?;
        let folder = std::env::temp_dir().join(format!("review-rig-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut cell = Cell { boxes: Vec::new(), record: record.clone(), folder };
        let net = free_net(plan.boxes)?;
        for number in 0..plan.boxes {
            let ip = format!("127.{}.{}.{}", net.0, net.1, number + 11);
            let name = format!("frontend-a-{}", number + 1);
            let (front, ready, peers) = (free_port(&ip)?, free_port(&ip)?, free_port(&ip)?);
            let fields = [
                ("node_name", name.clone()),
                ("ip", ip.clone()),
                ("listen.front", front.to_string()),
                ("listen.ready", ready.to_string()),
                ("port_range.0", peers.port().to_string()),
                ("platform.address", plan.store.to_string()),
                ("platform.record_bytes", "262144".to_owned()),
                ("platform.call_bytes", "2097152".to_owned()),
                ("limits.cpu_share", "0.25".to_owned()),
                ("limits.link_mbps", "1000.0".to_owned()),
                ("limits.max_fds", "4100".to_owned()),
                ("bounds.max_hold_ms", plan.max_hold_ms.to_string()),
                ("bounds.stop_ms", "400".to_owned()),
                ("bounds.contact_ms", "3000".to_owned()),
                ("bounds.status_s", "120".to_owned()),
                ("bounds.grace_s", "6".to_owned()),
            ];
            let settings = cell.folder.join(format!("{name}.conf"));
            fs::write(&settings, fill(&template, &fields)).map_err(|error| error.to_string())?;
            let mut words = run.split_whitespace();
            let program = root.join(words.next().ok_or("the command is empty")?);
            let words = words.map(|word| match word {
                "/etc/sedgehill/local.conf" => settings.to_string_lossy().into_owned(),
                word => word.to_owned(),
            });
            let log = cell.folder.join(format!("{name}.log"));
            let out = File::create(&log).map_err(|error| error.to_string())?;
            let (root, words) = (root.to_path_buf(), words.collect());
            let command = BoxCommand { root, program, words, settings };
            let child = command.start(out)?;
            record.line(&format!("box {name} starts at {front}"));
            cell.boxes.push(EntryBox { name, front, ready, child, command });
        }
        Ok(cell)
    }

    /// Waits until all boxes are ready.
    pub fn wait_ready(&self, limit: Duration) -> Result<(), String> {
        let until = self.record.now() + limit;
        for entry in &self.boxes {
            loop {
                let answer =
                    http::call(entry.ready, "GET", "/sedgehill/readyz", "x", "", CLIENT_TIMEOUT);
                if answer.is_some_and(|(status, _)| status == 200) {
                    self.record.line(&format!("box {} is ready", entry.name));
                    break;
                }
                if self.record.now() > until {
                    return Err(format!("box {} does not get ready", entry.name));
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }

    /// Makes a client's call at a box and records it.
    pub fn call(&self, number: usize, method: &str, path: &str, host: &str, body: &str) -> u16 {
        self.call_with_body(number, method, path, host, body).0
    }

    /// The same, with the body of the answer. The status is 0 without an answer.
    pub fn call_with_body(
        &self,
        number: usize,
        method: &str,
        path: &str,
        host: &str,
        body: &str,
    ) -> (u16, String) {
        let entry = &self.boxes[number % self.boxes.len()];
        let answer = http::call(entry.front, method, path, host, body, CLIENT_TIMEOUT);
        let (status, text) = answer.unwrap_or_default();
        self.record.line(&format!("{method} {path} {body} at {} -> {status} {text}", entry.name));
        (status, text)
    }

    fn log(&self, number: usize) -> String {
        let name = format!("{}.log", self.boxes[number].name);
        fs::read_to_string(self.folder.join(name)).unwrap_or_default()
    }

    /// Returns all that the boxes have logged.
    pub fn logs(&self) -> String {
        (0..self.boxes.len()).map(|number| self.log(number)).collect()
    }

    /// Returns the box that said last that it leads, by its log.
    pub fn lead(&self) -> Option<usize> {
        let token = |number: usize| {
            let log = self.log(number);
            let lines = log.lines().filter_map(Json::parse);
            let leading = lines.filter(|line| line.text("msg") == Some("leading"));
            leading.filter_map(|line| line.text("token")?.parse::<u64>().ok()).max()
        };
        let leads = (0..self.boxes.len()).filter_map(|number| Some((token(number)?, number)));
        leads.max().map(|(_, number)| number)
    }

    /// Kills a box.
    pub fn kill(&mut self, number: usize) {
        let entry = &mut self.boxes[number];
        let _ = entry.child.kill();
        let _ = entry.child.wait();
        self.record.line(&format!("box {} is killed", entry.name));
    }

    /// Starts a killed box again.
    pub fn restart(&mut self, number: usize) -> Result<(), String> {
        let entry = &mut self.boxes[number];
        let log = self.folder.join(format!("{}.log", entry.name));
        let out = File::options().append(true).open(log).map_err(|error| error.to_string())?;
        entry.child = entry.command.start(out)?;
        self.record.line(&format!("box {} starts again", entry.name));
        Ok(())
    }
}

/// Returns a part of the loopback range at whose addresses the port of metrics is free.
fn free_net(boxes: usize) -> Result<(u8, u8), String> {
    let seed = std::process::id();
    for step in 0..200u32 {
        let net = (100 + ((seed / 250 + step) % 100) as u8, (seed % 250) as u8);
        let is_free = |number: usize| {
            let ip = format!("127.{}.{}.{}", net.0, net.1, number + 11);
            TcpListener::bind((ip.as_str(), METRICS_PORT)).is_ok()
        };
        if (0..boxes).all(is_free) {
            return Ok(net);
        }
    }
    Err("no free port for metrics".to_owned())
}

fn free_port(ip: &str) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind((ip, 0)).map_err(|error| format!("{ip}: {error}"))?;
    listener.local_addr().map_err(|error| error.to_string())
}

/// Fills the template of the settings. A field without a value is left out with its section.
fn fill(template: &str, fields: &[(&str, String)]) -> String {
    let value = |name: &str| fields.iter().find(|field| field.0 == name).map(|field| &field.1);
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let name_end = start + text[start..].find("}}").expect("a section has a name");
        let name = text[start + 3..name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let end = start + text[start..].find(&close).expect("a section ends");
        let inner = text[name_end + 2..end].to_owned();
        let filled = value(&name).map_or(String::new(), |value| inner.replace("{{.}}", value));
        text.replace_range(start..end + close.len(), &filled);
    }
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}
