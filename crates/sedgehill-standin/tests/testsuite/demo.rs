//! The demonstration ends the processes that it started, also when it is interrupted.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Returns the ids of the processes whose parent is `parent`.
fn children(parent: u32) -> Vec<u32> {
    let entries = std::fs::read_dir("/proc").expect("processes are listed");
    let pids = entries.filter_map(|entry| entry.ok()?.file_name().to_str()?.parse::<u32>().ok());
    pids.filter(|pid| parent_of(*pid) == Some(parent)).collect()
}

fn parent_of(pid: u32) -> Option<u32> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    stat.rsplit(')').next()?.split_whitespace().nth(1)?.parse().ok()
}

fn is_running(pid: u32) -> bool {
    std::path::Path::new(&format!("/proc/{pid}")).exists()
}

#[test]
fn an_interrupted_demonstration_leaves_no_box_running() {
    const EXIT_TIMEOUT: Duration = Duration::from_secs(20);
    let mut demo = Command::new(env!("CARGO_BIN_EXE_sedgehill-standin"))
        .args(["demo", "--seconds", "30"])
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the demonstration can be started");
    let lines = BufReader::new(demo.stderr.take().expect("it is piped")).lines();
    let is_sending = |line: &Result<String, std::io::Error>| {
        line.as_ref().is_ok_and(|line| line.contains("Sending"))
    };
    assert!(lines.into_iter().any(|line| is_sending(&line)), "the load began");
    let boxes = children(demo.id());
    assert!(boxes.len() >= 3, "three boxes run: {boxes:?}");
    kill(Pid::from_raw(demo.id() as i32), Signal::SIGINT).expect("it can be interrupted");
    let status = demo.wait().expect("it ends");
    assert!(!status.success());
    let ended = Instant::now();
    while boxes.iter().any(|pid| is_running(*pid)) {
        assert!(ended.elapsed() < EXIT_TIMEOUT, "a box outlived the demonstration");
        std::thread::sleep(Duration::from_millis(50));
    }
}
