//! Daemons in cell mode as child processes, and HTTP calls to them.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::binaries::build_binaries;
use crate::cell_platform::CellPlatform;
use crate::network::free_addresses;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The configuration of a box in cell mode: its own addresses and those of the systems it talks to.
///
/// A box that is started again from it has the same addresses.
#[derive(Debug, Clone)]
pub struct CellBoxConfig {
    /// The name of the box.
    pub name: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    peers: SocketAddr,
    metrics: SocketAddr,
    store: SocketAddr,
    advice: SocketAddr,
    cores: String,
    /// The `link_mbps` setting, if it is not left at its default.
    link_mbps: Option<String>,
    /// The `store_record_bytes` and `store_call_bytes` settings, if they are not left at their defaults.
    store_limits: Option<(usize, usize)>,
    /// The `descriptors` setting, if it is not left at its default.
    descriptors: Option<usize>,
}

impl CellBoxConfig {
    /// Creates the configuration of a box on free loopback ports. `store` is the address at which the box reaches the
    /// store, and `cores` its `cores` setting.
    pub fn new(
        name: &str,
        platform: &CellPlatform,
        store: SocketAddr,
        cores: &str,
    ) -> CellBoxConfig {
        let [callers, ready, peers, metrics] = free_addresses(Ipv4Addr::LOCALHOST.into());
        CellBoxConfig {
            name: name.to_owned(),
            callers,
            ready,
            peers,
            metrics,
            store,
            advice: platform.advice_address,
            cores: cores.to_owned(),
            link_mbps: None,
            store_limits: None,
            descriptors: None,
        }
    }

    /// Sets the `link_mbps` setting.
    pub fn with_link_mbps(mut self, link_mbps: &str) -> CellBoxConfig {
        self.link_mbps = Some(link_mbps.to_owned());
        self
    }

    /// Sets the `store_record_bytes` and `store_call_bytes` settings.
    pub fn with_store_limits(mut self, record_bytes: usize, call_bytes: usize) -> CellBoxConfig {
        self.store_limits = Some((record_bytes, call_bytes));
        self
    }

    /// Sets the `descriptors` setting.
    pub fn with_descriptors(mut self, descriptors: usize) -> CellBoxConfig {
        self.descriptors = Some(descriptors);
        self
    }

    /// Sets the address of the advice service for this box; see [`CellPlatform::add_advice_address`].
    pub fn with_advice(mut self, advice: SocketAddr) -> CellBoxConfig {
        self.advice = advice;
        self
    }

    /// Writes the settings file into `directory` and starts the box, which appends its log to a file there.
    pub fn start(&self, directory: &Path) -> std::io::Result<CellProcess> {
        let mut settings = json!({
            "box": self.name,
            "cores": self.cores,
            "listen": {
                "callers": self.callers, "ready": self.ready,
                "peers": self.peers, "metrics": self.metrics
            },
            "store": self.store,
            "advice": self.advice,
        });
        if let Some(link) = &self.link_mbps {
            settings["link_mbps"] = json!(link);
        }
        if let Some((record_bytes, call_bytes)) = self.store_limits {
            settings["store_record_bytes"] = json!(record_bytes.to_string());
            settings["store_call_bytes"] = json!(call_bytes.to_string());
        }
        if let Some(descriptors) = self.descriptors {
            settings["descriptors"] = json!(descriptors.to_string());
        }
        let path = directory.join(format!("{}.json", self.name));
        std::fs::write(&path, settings.to_string())?;
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(self.log_path(directory))?;
        let child = Command::new(build_binaries().daemon)
            .args(["cell", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        let log = self.log_path(directory);
        let CellBoxConfig { callers, ready, metrics, .. } = *self;
        Ok(CellProcess { child, callers, ready, metrics, log })
    }

    /// Returns the path of the log file.
    pub fn log_path(&self, directory: &Path) -> PathBuf {
        directory.join(format!("{}.log", self.name))
    }
}

/// The process of a box in cell mode, which is killed when this is dropped.
pub struct CellProcess {
    child: Child,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    log: PathBuf,
}

impl CellProcess {
    /// Returns the last lines of the log, for messages of failed tests.
    pub fn log_tail(&self) -> String {
        const MAX_LINES: usize = 12;
        let Ok(text) = std::fs::read_to_string(&self.log) else { return "no log".to_owned() };
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(MAX_LINES)..].join("\n")
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        // Fails if the process has ended, which callers detect themselves.
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    /// Waits for the end of the process. Returns the exit code, or `None` if a signal ended it.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().ok()?.code()
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for CellProcess {
    fn drop(&mut self) {
        // Fails if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Makes a call on a new connection. Returns the status and the body, or `None` unless a whole answer comes in time.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Option<(u16, String)> {
    call_with_key(address, method, path, body, None).await
}

/// Like [`call`], with the key of an organisation.
pub async fn call_with_key(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    key: Option<&str>,
) -> Option<(u16, String)> {
    let key = key.map(|key| format!("Authorization: Token {key}\r\n")).unwrap_or_default();
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: cell.example\r\nConnection: close\r\n\
             Deadline-Ms: 3000\r\n{key}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        let status = answer.split(' ').nth(1)?.parse().ok()?;
        let body = answer.split_once("\r\n\r\n")?.1.to_owned();
        Some((status, body))
    };
    tokio::time::timeout(CALL_TIMEOUT, exchange).await.ok()?
}
