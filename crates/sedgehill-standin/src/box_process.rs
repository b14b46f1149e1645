//! A daemon of a box as a child process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use sedgehill_core::ids::BoxId;
use serde_json::Value;

use crate::binaries::BuiltBinaries;

/// Addresses on which a box listens.
#[derive(Debug, Clone, Copy)]
pub struct BoxAddresses {
    /// For callers.
    pub traffic: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// For other boxes.
    pub peer: SocketAddr,
}

/// The daemon of a box as a child process, which is killed when this is dropped.
#[derive(Debug)]
pub struct BoxProcess {
    /// The id of the box.
    pub id: BoxId,
    /// Addresses on which the box listens.
    pub addresses: BoxAddresses,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl BoxProcess {
    /// Writes the settings file of a box into a directory. Does not start the process.
    pub fn write(
        directory: &Path,
        id: BoxId,
        addresses: BoxAddresses,
        settings: &Value,
    ) -> BoxProcess {
        let path = directory.join(format!("{id}.json"));
        let text = serde_json::to_string_pretty(settings).expect("settings serialize");
        std::fs::write(&path, text).expect("the settings file can be written");
        let log = directory.join(format!("{id}.log"));
        BoxProcess { id, addresses, settings: path, log, child: None }
    }

    /// Returns the process id while the process runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Starts the process and appends its log to a file.
    pub fn start(&mut self, binaries: &BuiltBinaries) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log);
        self.start_logging_to(binaries, log.expect("the log file can be opened").into());
    }

    /// Starts the process with its log on a pipe that nobody reads, which soon fills.
    pub fn start_with_unread_log(&mut self, binaries: &BuiltBinaries) {
        self.start_logging_to(binaries, Stdio::piped());
    }

    fn start_logging_to(&mut self, binaries: &BuiltBinaries, log: Stdio) {
        let child = Command::new(&binaries.daemon)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the daemon can be started"));
    }

    /// Sends a signal to the process if it runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            let _ = kill(Pid::from_raw(pid as i32), signal);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        self.wait();
    }

    /// Waits for the end of the process and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        let mut child = self.child.take()?;
        child.wait().ok()?.code()
    }

    /// Returns the exit code if the process has ended. The inner value is `None` if a signal ended it.
    pub fn try_wait(&mut self) -> Option<Option<i32>> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status.code())
    }

    /// Returns the log so far.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for BoxProcess {
    fn drop(&mut self) {
        // Resumes a process that a test has stopped by SIGSTOP.
        self.signal(Signal::SIGCONT);
        self.kill();
    }
}
