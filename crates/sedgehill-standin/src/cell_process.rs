//! Boxes in cell mode as separate processes.

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

/// How long one call may take.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Where a box listens and what it meets. A box that is started again keeps all of it.
#[derive(Debug, Clone)]
pub struct CellBoxConfig {
    /// Its name.
    pub name: String,
    /// Where it takes callers.
    pub callers: SocketAddr,
    /// Where it says whether it is ready.
    pub ready: SocketAddr,
    peers: SocketAddr,
    metrics: SocketAddr,
    store: SocketAddr,
    advice: SocketAddr,
    cores: String,
    /// What its link carries; the default if none.
    link_mbps: Option<String>,
}

impl CellBoxConfig {
    /// A site on free ports of loopback. The box reaches the store at `store`.
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
        }
    }

    /// The same site with a link that carries so much.
    pub fn with_link_mbps(mut self, link_mbps: &str) -> CellBoxConfig {
        self.link_mbps = Some(link_mbps.to_owned());
        self
    }

    /// The same site with a way of its own to the advice service.
    pub fn with_advice(mut self, advice: SocketAddr) -> CellBoxConfig {
        self.advice = advice;
        self
    }

    /// Starts the box. Its settings and its log lie in `directory`; the log is appended to.
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
        Ok(CellProcess { child, callers: self.callers, ready: self.ready, log })
    }

    /// Where the log lies.
    pub fn log_path(&self, directory: &Path) -> PathBuf {
        directory.join(format!("{}.log", self.name))
    }
}

/// A box in cell mode, killed when dropped.
pub struct CellProcess {
    child: Child,
    /// Where it takes callers.
    pub callers: SocketAddr,
    /// Where it says whether it is ready.
    pub ready: SocketAddr,
    log: PathBuf,
}

impl CellProcess {
    /// The last lines of its log, to tell why something did not come.
    pub fn log_tail(&self) -> String {
        const LINES: usize = 12;
        let Ok(text) = std::fs::read_to_string(&self.log) else { return "no log".to_owned() };
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LINES)..].join("\n")
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        // The process may have ended meanwhile.
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    /// Waits for the end; the exit code, if it ended by itself.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().ok()?.code()
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for CellProcess {
    fn drop(&mut self) {
        // It may have ended, which is what is wanted.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One call on a connection of its own: the status and the body; none without a whole answer.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Option<(u16, String)> {
    call_with_key(address, method, path, body, None).await
}

/// The same with a key.
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
    tokio::time::timeout(CALL_LIMIT, exchange).await.ok()?
}
