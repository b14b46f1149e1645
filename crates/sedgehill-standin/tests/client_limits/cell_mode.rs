//! Crowds at a box in cell mode.

use std::net::SocketAddr;
use std::time::Duration;

use sedgehill_standin::cell_platform::{CellPlatform, StandinOrganisation};
use sedgehill_standin::cell_process::{CellBoxConfig, CellProcess, call};
use tempfile::TempDir;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::crowd::{
    BodyForm, call_once, exchange, read_response, send_from_crowd, unfinished_request,
};
use crate::run_alone;
use crate::usage::{MIB, open_descriptors, peak_memory, settle, unread_bytes};

/// The memory of the smallest box, which a box has by default.
const MEMORY_BOUND: usize = 120 * MIB;
/// Maximum size of a body.
const BODY_BYTES: usize = 256 << 10;
/// Members of a crowd that sends large bodies.
const BODY_CROWD: usize = 600;
/// Members of a crowd that sends bodies in very small chunks, each of which may keep a whole buffer in memory.
const SMALL_CHUNK_CROWD: usize = 150;
/// Members of a crowd that sends requests and reads no answers.
const UNREAD_CROWD: usize = 1_500;
/// The `descriptors` setting of the tests in which connections are the scarce resource.
const DESCRIPTORS: usize = 512;
/// Members of a crowd that only keeps connections open.
const SILENT_CROWD: usize = 600;
/// Time limit of each wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

const KEY: &str = "office-key-3f9d";
const STATE_CALL: &str =
    "GET /checks/00000000000000ff HTTP/1.1\r\nHost: cell.example\r\nDeadline-Ms: 3000\r\n\r\n";
const READY_CALL: &str = "GET /sedgehill/readyz HTTP/1.1\r\nHost: cell.example\r\n\r\n";
const METRICS_CALL: &str = "GET /metrics HTTP/1.1\r\nHost: cell.example\r\n\r\n";

/// Whether the cell asks its callers for keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KeyUse {
    /// Callers need no keys.
    Public,
    /// Callers need keys, and the crowd has one.
    WithKey,
    /// Callers need keys, and the crowd has none.
    WithoutKey,
}

/// A single box in cell mode.
struct SingleBox {
    process: CellProcess,
    platform: CellPlatform,
    keys: KeyUse,
    directory: TempDir,
}

impl SingleBox {
    async fn start(keys: KeyUse, descriptors: Option<usize>) -> SingleBox {
        let directory = tempfile::tempdir().unwrap();
        let platform = CellPlatform::start(2).await.unwrap();
        match keys {
            KeyUse::Public => platform.configure(1),
            KeyUse::WithKey | KeyUse::WithoutKey => {
                let office =
                    StandinOrganisation { name: "office", keys: vec![KEY.to_owned()], cores: 0 };
                platform.configure_organisations(1, &[office]);
            }
        }
        let mut config = CellBoxConfig::new("box-1", &platform, platform.store_address, "0.25");
        if let Some(descriptors) = descriptors {
            config = config.with_descriptors(descriptors);
        }
        let process = config.start(directory.path()).unwrap();
        let single = SingleBox { process, platform, keys, directory };
        single.wait_until_leading().await;
        single
    }

    async fn wait_until_leading(&self) {
        let is_leading = async {
            let log = self.directory.path().join("box-1.log");
            loop {
                let answer = call(self.process.ready, "GET", "/sedgehill/readyz", "").await;
                let is_ready = answer.is_some_and(|(status, _)| status == 200);
                let text = std::fs::read_to_string(&log).unwrap_or_default();
                if is_ready && text.contains("\"leading\"") {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, is_leading).await.expect("the box leads");
    }

    fn callers(&self) -> SocketAddr {
        self.process.callers
    }

    /// Returns the head of a submission, up to the headers that describe its body.
    fn submission_head(&self, id: u64, with_key: bool) -> String {
        let key = match with_key {
            true => format!("Authorization: Token {KEY}\r\n"),
            false => String::new(),
        };
        format!(
            "POST /checks/{id:016x} HTTP/1.1\r\nHost: cell.example\r\nDeadline-Ms: 3000\r\n{key}"
        )
    }

    /// Returns a submission of a job, in a body that spaces extend to `body_bytes`.
    fn submission(&self, id: u64, body_bytes: usize) -> String {
        let job = r#"{"spec":"work","steps":[{"count":1,"cpu":100,"estimate_ms":50}]}"#;
        self.submission_of(id, &format!("{job}{}", " ".repeat(body_bytes - job.len())))
    }

    /// Returns a submission of a job with nearly `body_bytes` of dependencies.
    fn large_submission(&self, id: u64, body_bytes: usize) -> String {
        const RESERVE: usize = 200;
        let after = "0,".repeat((body_bytes - RESERVE) / 2);
        let first = r#"{"count":1,"cpu":100,"estimate_ms":50}"#;
        let second = format!(r#"{{"count":1,"cpu":100,"estimate_ms":50,"after":[{after}0]}}"#);
        self.submission_of(id, &format!(r#"{{"spec":"work","steps":[{first},{second}]}}"#))
    }

    fn submission_of(&self, id: u64, body: &str) -> String {
        let head = self.submission_head(id, self.keys != KeyUse::Public);
        format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
    }

    /// Asserts that the box lives within its bounds and answers ordinary callers: one that comes now, and one that has
    /// kept its connection.
    async fn assert_serves(&mut self, kept: &mut TcpStream) {
        const SMALL_BODY: usize = 80;
        settle(self.process.pid(), &self.ports()).await;
        self.assert_within_bounds();
        let accepted = call_once(self.callers(), &self.submission(0xa1, SMALL_BODY)).await;
        assert_eq!(accepted, Some(200), "a new connection: {}", self.process.log_tail());
        let accepted = exchange(kept, &self.submission(0xa2, SMALL_BODY)).await;
        assert_eq!(accepted, Some(200), "a kept connection: {}", self.process.log_tail());
        self.assert_within_bounds();
    }

    fn assert_within_bounds(&mut self) {
        assert!(!self.process.has_ended(), "the process has ended: {}", self.process.log_tail());
        let held = peak_memory(self.process.pid());
        let unread: usize = self.ports().into_iter().map(unread_bytes).sum();
        println!("{} MiB held, {} MiB unread", held / MIB, unread / MIB);
        assert!(
            held + unread <= MEMORY_BOUND,
            "{} MiB held and {} MiB unread, of {} MiB",
            held / MIB,
            unread / MIB,
            MEMORY_BOUND / MIB
        );
    }

    fn ports(&self) -> [SocketAddr; 3] {
        [self.callers(), self.process.ready, self.process.metrics]
    }

    fn assert_within_descriptors(&self) {
        let open = open_descriptors(self.process.pid());
        println!("{open} descriptors open");
        assert!(open <= DESCRIPTORS, "{open} descriptors open, of {DESCRIPTORS}");
    }

    /// Opens a connection that is kept after a call.
    async fn keep_connection(&self) -> TcpStream {
        let mut kept = TcpStream::connect(self.callers()).await.unwrap();
        assert!(exchange(&mut kept, STATE_CALL).await.is_some());
        kept
    }
}

/// Lets a crowd send bodies that stop short of their end.
async fn stall_in_bodies(form: BodyForm, keys: KeyUse) {
    let _alone = run_alone().await;
    let size = match form {
        BodyForm::SmallChunks => SMALL_CHUNK_CROWD,
        BodyForm::Whole | BodyForm::Pieces | BodyForm::LargeChunks => BODY_CROWD,
    };
    let mut single = SingleBox::start(keys, None).await;
    let mut kept = single.keep_connection().await;
    let head = single.submission_head(0xb0, keys == KeyUse::WithKey);
    let request = unfinished_request(&head, BODY_BYTES, form);
    let crowd = send_from_crowd(single.callers(), size, request).await;
    single.assert_serves(&mut kept).await;
    drop(crowd);
    let largest = call_once(single.callers(), &single.submission(0xa3, BODY_BYTES)).await;
    assert_eq!(largest, Some(200), "a body of the largest size is served in calm");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn whole_bodies_that_stop_short() {
    stall_in_bodies(BodyForm::Whole, KeyUse::Public).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn whole_bodies_that_stop_short_with_a_key() {
    stall_in_bodies(BodyForm::Whole, KeyUse::WithKey).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn whole_bodies_that_stop_short_without_a_key() {
    stall_in_bodies(BodyForm::Whole, KeyUse::WithoutKey).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_in_pieces_that_stop_short_with_a_key() {
    stall_in_bodies(BodyForm::Pieces, KeyUse::WithKey).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_in_pieces_that_stop_short_without_a_key() {
    stall_in_bodies(BodyForm::Pieces, KeyUse::WithoutKey).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_chunks_that_stop_short_with_a_key() {
    stall_in_bodies(BodyForm::LargeChunks, KeyUse::WithKey).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_chunks_that_stop_short_without_a_key() {
    stall_in_bodies(BodyForm::LargeChunks, KeyUse::WithoutKey).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn very_small_chunks_that_stop_short_with_a_key() {
    stall_in_bodies(BodyForm::SmallChunks, KeyUse::WithKey).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn very_small_chunks_that_stop_short_without_a_key() {
    stall_in_bodies(BodyForm::SmallChunks, KeyUse::WithoutKey).await;
}

/// The crowd makes a whole call on each connection before it stalls in the next one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn kept_connections_that_stop_short() {
    let _alone = run_alone().await;
    let mut single = SingleBox::start(KeyUse::Public, None).await;
    let mut kept = single.keep_connection().await;
    let head = single.submission_head(0xb0, false);
    let mut request = unfinished_request(&head, BODY_BYTES, BodyForm::Pieces);
    request.insert(0, STATE_CALL.as_bytes().to_vec());
    let crowd = send_from_crowd(single.callers(), BODY_CROWD, request).await;
    single.assert_serves(&mut kept).await;
    drop(crowd);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_that_nobody_reads() {
    const CALLS: usize = 4_000;
    let _alone = run_alone().await;
    let mut single = SingleBox::start(KeyUse::Public, None).await;
    let mut kept = single.keep_connection().await;
    let calls = STATE_CALL.repeat(CALLS).into_bytes();
    let crowd = send_from_crowd(single.callers(), UNREAD_CROWD, vec![calls]).await;
    single.assert_serves(&mut kept).await;
    drop(crowd);
}

/// Jobs of the largest size wait while the store takes no appends. Each was read in full and gets an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_jobs_that_wait_for_the_store() {
    let _alone = run_alone().await;
    let mut single = SingleBox::start(KeyUse::Public, None).await;
    let mut kept = single.keep_connection().await;
    single.platform.store.set_silent(true);
    let mut calls = JoinSet::new();
    for id in 0..BODY_CROWD as u64 {
        let (address, request) =
            (single.callers(), single.large_submission(0xb000 + id, BODY_BYTES));
        calls.spawn(async move {
            let mut stream = TcpStream::connect(address).await.ok()?;
            exchange(&mut stream, &request).await
        });
    }
    let answers = calls.join_all().await;
    let unanswered = answers.iter().filter(|answer| answer.is_none()).count();
    assert_eq!(unanswered, 0, "calls without an answer: {}", single.process.log_tail());
    single.platform.store.set_silent(false);
    single.wait_until_leading().await;
    let accepted = async {
        while call_once(single.callers(), &single.submission(0xa0, 80)).await != Some(200) {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, accepted).await.expect("the box accepts jobs again");
    single.assert_serves(&mut kept).await;
}

/// Lets a crowd open connections to a port and send the same bytes on each.
async fn exhaust_descriptors(port: impl Fn(&SingleBox) -> SocketAddr, sent: &[u8]) {
    let _alone = run_alone().await;
    let mut single = SingleBox::start(KeyUse::Public, Some(DESCRIPTORS)).await;
    let mut kept = single.keep_connection().await;
    let crowd = send_from_crowd(port(&single), SILENT_CROWD, vec![sent.to_vec()]).await;
    single.assert_within_descriptors();
    single.assert_serves(&mut kept).await;
    single.assert_within_descriptors();
    let ready = call_once(single.process.ready, READY_CALL).await;
    assert_eq!(ready, Some(200), "the readiness check: {}", single.process.log_tail());
    let metrics = call_once(single.process.metrics, METRICS_CALL).await;
    assert_eq!(metrics, Some(200), "the metrics: {}", single.process.log_tail());
    single.assert_within_descriptors();
    drop(crowd);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn silent_connections() {
    exhaust_descriptors(SingleBox::callers, b"").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn silent_connections_to_the_readiness_port() {
    exhaust_descriptors(|single| single.process.ready, b"").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn silent_connections_to_the_metrics_port() {
    exhaust_descriptors(|single| single.process.metrics, b"").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn heads_that_stop_short() {
    let head = format!("{}X-Fill: {}", &STATE_CALL[..STATE_CALL.len() - 2], "f".repeat(12 << 10));
    exhaust_descriptors(SingleBox::callers, head.as_bytes()).await;
}

/// New callers are served although many connections are idle after a call. None of these is closed unless its answer
/// announced that.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn idle_connections_after_a_call() {
    let _alone = run_alone().await;
    let mut single = SingleBox::start(KeyUse::Public, Some(DESCRIPTORS)).await;
    let mut kept = single.keep_connection().await;
    let mut idle = Vec::new();
    let calls = vec![STATE_CALL.as_bytes().to_vec()];
    for mut stream in send_from_crowd(single.callers(), SILENT_CROWD, calls).await {
        let response = read_response(&mut stream).await.expect("each whole call is answered");
        if response.keeps_open {
            idle.push(stream);
        }
    }
    single.assert_serves(&mut kept).await;
    single.assert_within_descriptors();
    let mut cut = 0;
    for stream in &mut idle {
        cut += usize::from(exchange(stream, STATE_CALL).await.is_none());
    }
    assert_eq!(cut, 0, "of {} idle connections", idle.len());
}

/// Whole calls that come while other connections are stalled are answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn each_complete_call_beside_stalled_ones_is_answered() {
    let _alone = run_alone().await;
    let mut single = SingleBox::start(KeyUse::Public, Some(DESCRIPTORS)).await;
    let mut kept = single.keep_connection().await;
    let head = single.submission_head(0xb0, false);
    let request = unfinished_request(&head, BODY_BYTES, BodyForm::Whole);
    let stalled = send_from_crowd(single.callers(), SILENT_CROWD, request).await;
    let whole = vec![STATE_CALL.as_bytes().to_vec()];
    let mut unanswered = 0;
    for mut stream in send_from_crowd(single.callers(), SILENT_CROWD, whole).await {
        unanswered += usize::from(read_response(&mut stream).await.is_none());
    }
    assert_eq!(unanswered, 0, "calls without an answer: {}", single.process.log_tail());
    single.assert_serves(&mut kept).await;
    single.assert_within_descriptors();
    drop(stalled);
}
