//! Crowds at a box in the daemon's own mode.

use std::net::SocketAddr;

use sedgehill_standin::cluster::{ClusterPlan, EndpointGroup, TestCluster, quick_settings};
use std::time::Duration;
use tokio::net::TcpStream;

use crate::crowd::{BodyForm, call_once, exchange, send_from_crowd, unfinished_request};
use crate::run_alone;
use crate::usage::{MIB, open_descriptors, peak_memory, settle, unread_bytes};

/// The memory that a box has by default.
const MEMORY_BOUND: usize = 256 * MIB;
/// The descriptors that a box has by default.
const DESCRIPTORS: usize = 4_096;
/// Maximum size of a body by default.
const BODY_BYTES: usize = 1 << 20;
/// Members of a crowd that sends large bodies.
const BODY_CROWD: usize = 400;
/// Members of a crowd that sends bodies in very small chunks, each of which may keep a whole buffer in memory.
const SMALL_CHUNK_CROWD: usize = 300;
/// Members of a crowd that reads no answers.
const UNREAD_CROWD: usize = 200;
/// Size of an answer that is not read.
const ANSWER_BYTES: usize = 4 << 20;
/// Members of a crowd that only keeps connections open.
const SILENT_CROWD: usize = 4_300;

const REQUEST_HEAD: &str = "POST /inkaso/windyk/check?work_ms=1&size=64 HTTP/1.1\r\nHost: cell.example\r\n\
                            X-Caller-Token: limits\r\n";
const HEALTH_CALL: &str = "GET /health HTTP/1.1\r\nHost: cell.example\r\n\r\n";

/// A cluster with one box.
struct SingleBox {
    cluster: TestCluster,
}

impl SingleBox {
    async fn start() -> SingleBox {
        let plan = ClusterPlan {
            boxes: vec!["gdansk-hala-a"],
            endpoints: vec![EndpointGroup {
                service: "windyk",
                halls: vec!["gdansk-hala-a"],
                count: 4,
                slots: 8,
            }],
            workers: Vec::new(),
            list_lag: Duration::from_millis(300),
            settings: quick_settings(),
        };
        let cluster = TestCluster::start(&plan).await;
        cluster.client_ok(&["publish", "examples/inkaso.json"]).await;
        cluster.wait_same_configs().await;
        SingleBox { cluster }
    }

    fn traffic(&self) -> SocketAddr {
        self.cluster.boxes[0].addresses.traffic
    }

    fn admin(&self) -> SocketAddr {
        self.cluster.boxes[0].addresses.admin
    }

    fn pid(&self) -> u32 {
        self.cluster.boxes[0].pid().expect("the box was started")
    }

    async fn keep_connection(&self) -> TcpStream {
        let mut kept = TcpStream::connect(self.traffic()).await.unwrap();
        assert_eq!(exchange(&mut kept, &request_of(3)).await, Some(200));
        kept
    }

    /// Asserts that the box lives within its bounds and answers ordinary callers: one that comes now, and one that has
    /// kept its connection.
    async fn assert_serves(&mut self, kept: &mut TcpStream) {
        self.assert_within_bounds();
        settle(self.pid(), &[self.traffic(), self.admin()]).await;
        self.assert_within_bounds();
        assert_eq!(call_once(self.traffic(), &request_of(3)).await, Some(200), "a new connection");
        assert_eq!(exchange(kept, &request_of(3)).await, Some(200), "a kept connection");
        assert_eq!(call_once(self.admin(), HEALTH_CALL).await, Some(200), "the health check");
        self.assert_within_bounds();
    }

    fn assert_within_bounds(&mut self) {
        let ended = self.cluster.boxes[0].try_wait();
        assert_eq!(ended, None, "the process has ended");
        let held = peak_memory(self.pid());
        let unread = unread_bytes(self.traffic()) + unread_bytes(self.admin());
        println!("{} MiB held, {} MiB unread", held / MIB, unread / MIB);
        assert!(
            held + unread <= MEMORY_BOUND,
            "{} MiB held and {} MiB unread, of {} MiB",
            held / MIB,
            unread / MIB,
            MEMORY_BOUND / MIB
        );
        let open = open_descriptors(self.pid());
        println!("{open} descriptors open");
        assert!(open <= DESCRIPTORS, "{open} descriptors open, of {DESCRIPTORS}");
    }
}

/// Returns a whole request with a body of `body_bytes`.
fn request_of(body_bytes: usize) -> String {
    format!("{REQUEST_HEAD}Content-Length: {body_bytes}\r\n\r\n{}", "b".repeat(body_bytes))
}

/// Lets a crowd send bodies that stop short of their end.
async fn stall_in_bodies(form: BodyForm) {
    let _alone = run_alone().await;
    let mut single = SingleBox::start().await;
    let mut kept = single.keep_connection().await;
    let size = match form {
        BodyForm::SmallChunks => SMALL_CHUNK_CROWD,
        BodyForm::Whole | BodyForm::Pieces | BodyForm::LargeChunks => BODY_CROWD,
    };
    let request = unfinished_request(REQUEST_HEAD, BODY_BYTES, form);
    let crowd = send_from_crowd(single.traffic(), size, request).await;
    single.assert_serves(&mut kept).await;
    drop(crowd);
    let largest = call_once(single.traffic(), &request_of(BODY_BYTES)).await;
    assert_eq!(largest, Some(200), "a body of the largest size is served in calm");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn whole_bodies_that_stop_short() {
    stall_in_bodies(BodyForm::Whole).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_in_pieces_that_stop_short() {
    stall_in_bodies(BodyForm::Pieces).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_chunks_that_stop_short() {
    stall_in_bodies(BodyForm::LargeChunks).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn very_small_chunks_that_stop_short() {
    stall_in_bodies(BodyForm::SmallChunks).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_that_nobody_reads() {
    let _alone = run_alone().await;
    let mut single = SingleBox::start().await;
    let mut kept = single.keep_connection().await;
    let request = request_of(3).replace("size=64", &format!("size={ANSWER_BYTES}"));
    let crowd = send_from_crowd(single.traffic(), UNREAD_CROWD, vec![request.into_bytes()]).await;
    single.assert_serves(&mut kept).await;
    drop(crowd);
}

/// Lets a crowd open connections to a port and send nothing.
async fn exhaust_descriptors(port: impl Fn(&SingleBox) -> SocketAddr) {
    let _alone = run_alone().await;
    let mut single = SingleBox::start().await;
    let mut kept = single.keep_connection().await;
    let crowd = send_from_crowd(port(&single), SILENT_CROWD, Vec::new()).await;
    single.assert_serves(&mut kept).await;
    drop(crowd);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn silent_connections() {
    exhaust_descriptors(SingleBox::traffic).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn silent_connections_to_the_operators_port() {
    exhaust_descriptors(SingleBox::admin).await;
}
