//! Memory and descriptors of a process, read from `/proc`.

use std::net::SocketAddr;
use std::time::Duration;

/// Longest time of [`settle`].
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A mebibyte.
pub const MIB: usize = 1 << 20;

/// Returns the highest resident memory of a process so far, in bytes.
pub fn peak_memory(pid: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the process lives");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    let kibibytes: usize = line.trim().trim_end_matches(" kB").parse().expect("a number");
    kibibytes << 10
}

/// Returns the number of open descriptors of a process.
pub fn open_descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).expect("the process lives").count()
}

/// Returns the number of bytes that arrived at connections to a local address and that the process has not read.
pub fn unread_bytes(address: SocketAddr) -> usize {
    const LOCAL_ADDRESS: usize = 1;
    const STATE: usize = 3;
    const QUEUES: usize = 4;
    const LISTENING: &str = "0A";
    let port = format!(":{:04X}", address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of connections");
    let rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let connections =
        rows.filter(|row| row[LOCAL_ADDRESS].ends_with(&port) && row[STATE] != LISTENING);
    let received = connections.filter_map(|row| row[QUEUES].split_once(':').map(|queues| queues.1));
    received.filter_map(|bytes| usize::from_str_radix(bytes, 16).ok()).sum()
}

/// Waits until a process has taken what a crowd sent to some of its addresses: until its descriptors and the unread
/// bytes no longer change, or for [`SETTLE_TIMEOUT`], since a crowd may be refused for as long as it stays.
pub async fn settle(pid: u32, addresses: &[SocketAddr]) {
    const INTERVAL: Duration = Duration::from_millis(100);
    const EQUAL_SAMPLES: usize = 5;
    let settling = async {
        let mut samples = Vec::new();
        while samples.len() < EQUAL_SAMPLES {
            let unread: usize = addresses.iter().copied().map(unread_bytes).sum();
            let sample = (open_descriptors(pid), unread);
            samples.retain(|earlier| *earlier == sample);
            samples.push(sample);
            tokio::time::sleep(INTERVAL).await;
        }
    };
    // A crowd that goes on is measured all the same.
    let _ = tokio::time::timeout(SETTLE_TIMEOUT, settling).await;
}
