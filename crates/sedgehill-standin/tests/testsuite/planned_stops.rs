//! Planned stops while callers use keep-alive connections, in both modes.

use std::net::SocketAddr;
use std::time::Duration;

use nix::sys::signal::Signal;
use sedgehill_standin::cell_platform::CellPlatform;
use sedgehill_standin::cell_process::CellProcess;
use sedgehill_standin::keep_alive_caller::{StopTally, call_until_refused};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::cell_support::{start_box, wait_ready};
use crate::support::{small_plan, start_published};

/// A request in cell mode.
const CELL_CALL: &str =
    "GET /checks/00000000000000ff HTTP/1.1\r\nHost: cell.example\r\nDeadline-Ms: 3000\r\n\r\n";
/// A request in the daemon's own mode.
const OWN_CALL: &str = "POST /inkaso/windyk/check?work_ms=1&size=64 HTTP/1.1\r\nHost: cell.example\r\n\
                        X-Caller-Token: stops\r\nContent-Length: 3\r\n\r\nask";
/// Time for which callers send requests before the signal.
const WARM_UP: Duration = Duration::from_millis(500);

/// Two boxes in cell mode; the tests stop the first.
struct CellPair {
    first: CellProcess,
    _second: CellProcess,
    _platform: CellPlatform,
    _directory: TempDir,
}

async fn start_pair() -> CellPair {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(2).await.unwrap();
    platform.configure(1);
    let first = start_box(directory.path(), "first", &platform);
    wait_ready(&first).await;
    let second = start_box(directory.path(), "second", &platform);
    wait_ready(&second).await;
    CellPair { first, _second: second, _platform: platform, _directory: directory }
}

fn assert_none_cut(tally: &StopTally) {
    assert!(tally.calls > 100, "too few calls: {tally:?}");
    assert!(
        tally.cut.is_empty(),
        "{} of {} calls cut: {:?}",
        tally.cut.len(),
        tally.calls,
        tally.cut
    );
}

/// A stopping box must announce the end of a connection in an answer. When it closed all idle connections at once, and
/// each later connection before its first call was read, 340 of 39,499 calls of callers that continue until the box
/// refuses connections were cut: "2403 ms after the signal, call 104 of its connection: ended before the answer".
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_in_cell_mode_cuts_off_no_call_on_a_keep_alive_connection() {
    let mut pair = start_pair().await;
    let calls = tokio::spawn(call_until_refused(pair.first.callers, CELL_CALL, 32, 0..=64));
    tokio::time::sleep(WARM_UP).await;
    pair.first.signal(Signal::SIGTERM);
    assert_none_cut(&calls.await.unwrap());
    assert_eq!(pair.first.wait(), Some(0));
}

/// Callers that pause for longer than the box announces its stop get an answer with `connection: close` or find the
/// connection closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_in_cell_mode_waits_for_callers_that_pause() {
    let mut pair = start_pair().await;
    let calls = tokio::spawn(call_until_refused(pair.first.callers, CELL_CALL, 128, 500..=3_000));
    tokio::time::sleep(WARM_UP).await;
    pair.first.signal(Signal::SIGTERM);
    assert_none_cut(&calls.await.unwrap());
    assert_eq!(pair.first.wait(), Some(0));
}

/// The process is suspended repeatedly while it stops, as happens when all cores are busy.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_of_a_box_that_is_suspended_repeatedly_cuts_off_no_call() {
    const SUSPENDED: Duration = Duration::from_millis(10);
    const RUNNING: Duration = Duration::from_micros(300);
    let mut cluster = start_published(&small_plan()).await;
    let address = cluster.boxes[1].addresses.traffic;
    let calls = tokio::spawn(call_until_refused(address, OWN_CALL, 16, 0..=0));
    tokio::time::sleep(WARM_UP).await;
    cluster.boxes[1].signal(Signal::SIGTERM);
    // Until shortly before the listener is closed.
    tokio::time::sleep(Duration::from_millis(900)).await;
    while !calls.is_finished() {
        cluster.boxes[1].signal(Signal::SIGSTOP);
        tokio::time::sleep(SUSPENDED).await;
        cluster.boxes[1].signal(Signal::SIGCONT);
        tokio::time::sleep(RUNNING).await;
    }
    assert_none_cut(&calls.await.unwrap());
    assert_eq!(cluster.boxes[1].wait(), Some(0));
}

async fn read_answer(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    // After a reset the answer is incomplete.
    let _ = stream.read_to_string(&mut text).await;
    text
}

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("the box takes connections")
}

/// A request that is partly sent when the box starts to close connections is read completely and answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_half_sent_call_is_answered_by_a_stopping_box() {
    let mut pair = start_pair().await;
    let mut half = connect(pair.first.callers).await;
    let (first_part, rest) = CELL_CALL.split_at(20);
    half.write_all(first_part.as_bytes()).await.unwrap();
    let mut late = connect(pair.first.callers).await;
    pair.first.signal(Signal::SIGTERM);
    tokio::time::sleep(Duration::from_millis(2_800)).await;
    half.write_all(rest.as_bytes()).await.unwrap();
    late.write_all(CELL_CALL.as_bytes()).await.unwrap();
    for mut stream in [half, late] {
        let answer = read_answer(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 410"), "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
    }
    assert_eq!(pair.first.wait(), Some(0));
}

/// The box ends an idle connection with a 503 answer, so that a call sent at that moment gets an answer. If the
/// connection were only closed, the caller would not know whether the call was processed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_that_crosses_the_end_of_its_connection_gets_a_503() {
    let mut pair = start_pair().await;
    let mut idle = connect(pair.first.callers).await;
    pair.first.signal(Signal::SIGTERM);
    tokio::time::sleep(Duration::from_millis(4_000)).await;
    let written = idle.write_all(CELL_CALL.as_bytes()).await;
    assert!(written.is_ok(), "{written:?}");
    let answer = read_answer(&mut idle).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: 1"), "{answer}");
    assert_eq!(pair.first.wait(), Some(0));
}

/// A caller that reads its answer slowly gets the complete answer, however long it takes: the box has written the answer
/// to the socket long before, and no call is in progress on the connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_long_answer_that_is_read_slowly_outlasts_a_planned_stop() {
    const SIZE: usize = 8_000_000;
    let mut cluster = start_published(&small_plan()).await;
    let mut stream = connect(cluster.boxes[1].addresses.traffic).await;
    let call = OWN_CALL.replace("size=64", &format!("size={SIZE}"));
    stream.write_all(call.as_bytes()).await.unwrap();
    tokio::time::sleep(WARM_UP).await;
    cluster.boxes[1].signal(Signal::SIGTERM);
    // Longer than the idle limit of a connection.
    tokio::time::sleep(Duration::from_millis(6_000)).await;
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer).await;
    let body_start =
        answer.windows(4).position(|window| window == b"\r\n\r\n").expect("a head") + 4;
    let head = String::from_utf8_lossy(&answer[..body_start]).into_owned();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let length: usize = length.expect("a length").parse().unwrap();
    assert!(read.is_ok() && length >= SIZE, "{read:?}, {head}");
    let (body, rest) = answer[body_start..].split_at(length.min(answer.len() - body_start));
    assert_eq!(body.len(), length);
    // The answer preceded the signal, so it did not announce the end of the connection.
    assert!(rest.starts_with(b"HTTP/1.1 408"), "{}", String::from_utf8_lossy(rest));
    assert_eq!(cluster.boxes[1].wait(), Some(0));
}

/// A box that is asked to stop while it starts must answer the calls on the connections that it takes. It listened before
/// it handled the signal, which then ended the process and reset connections of callers: "box-1 ended with None", "before
/// the answer: Connection reset by peer".
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_box_that_is_asked_to_stop_while_it_starts_cuts_off_no_call() {
    const BOXES: usize = 4;
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(2).await.unwrap();
    platform.configure(1);
    let mut stopping = Vec::new();
    for number in 0..BOXES {
        let process = start_box(directory.path(), &format!("box-{number}"), &platform);
        let mut stream = loop {
            if let Ok(stream) = TcpStream::connect(process.callers).await {
                break stream;
            }
            tokio::task::yield_now().await;
        };
        process.signal(Signal::SIGTERM);
        stream.write_all(CELL_CALL.as_bytes()).await.unwrap();
        stopping.push((process, stream));
    }
    for (mut process, mut stream) in stopping {
        let answer = read_answer(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 "), "{answer:?}, {}", process.log_tail());
        assert_eq!(process.wait(), Some(0));
    }
}
