//! The callers of a soak. They submit random jobs and record how these were answered.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::kept::KeptConnections;
use super::{RUN_MS, SoakProfile, SoakSize, full, limits, wide};
use crate::cell_platform::{CRASH_SPEC, CellPlatform, GANG_SPEC, run_duration_ms};

/// Number of accepted jobs that wait for their first start, for each worker, above which callers submit no further ones.
const MAX_WAITING_PER_WORKER: usize = 10;
/// Attempts to submit one job before a caller gives up.
const MAX_SUBMIT_ATTEMPTS: usize = 10;
/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Pause between two jobs of one caller. A shorter one would only lengthen the queue that remains at the end of the load.
const JOB_PAUSE: Duration = Duration::from_millis(300);
/// Maximum time that a caller waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(4_000);
/// After one in this many jobs, a caller submits one of its recently accepted jobs once more.
const RESUBMIT_ONE_IN: u32 = 4;
/// Number of recently accepted jobs that a caller may submit once more. They cover some seconds.
const RESUBMIT_WINDOW_JOBS: usize = 12;
/// Separates the generator of repeated submissions from that of jobs.
const RESUBMIT_SALT: u64 = 0x6167_6169;
/// One in this many jobs has a task that crashes its workers.
const CRASH_ONE_IN: u32 = 20;
/// Time from the start of such a task to the crash.
const CRASH_AFTER_MS: std::ops::Range<u64> = 0..140;
/// Separates the generator of crashes from that of jobs.
const CRASH_SALT: u64 = 0x6372_6173;
/// Time after which a client no longer uses a connection that the kill of a box has closed.
const KILL_NOTICE: Duration = Duration::from_secs(1);
/// One in this many accepted jobs is cancelled at once.
const CANCEL_ONE_IN: u32 = 12;

/// The jobs of all callers, by the answers that the callers received.
#[derive(Debug, Default)]
pub struct SubmittedJobs {
    /// Accepted jobs that their callers have not cancelled, except long-running ones.
    pub accepted: BTreeSet<u64>,
    /// Jobs, accepted or not, whose first task crashes its workers.
    pub crashing: BTreeSet<u64>,
    /// Accepted jobs that their callers then cancelled.
    pub cancelled: BTreeSet<u64>,
    /// Accepted jobs whose tasks run until the job is cancelled.
    pub long_running: BTreeSet<u64>,
    /// Jobs of which every attempt was answered with status 429 or 503: they were not accepted and must not
    /// run.
    pub refused: BTreeSet<u64>,
    /// The request bodies of jobs in `accepted` and `cancelled`.
    pub bodies: BTreeMap<u64, String>,
    /// Number of answers by status. Calls without an answer count as status 0.
    pub answers: BTreeMap<u16, u64>,
}

/// The state that all callers of a soak share.
pub struct CallerPool {
    boxes: Vec<SocketAddr>,
    size: SoakSize,
    kept: KeptConnections,
    jobs: Arc<Mutex<SubmittedJobs>>,
    /// Whether callers submit no job because too many wait.
    is_full: AtomicBool,
}

impl CallerPool {
    /// Creates callers of the given addresses, one for each box. Calls that are cut off are recorded in `kept`.
    pub fn new(boxes: Vec<SocketAddr>, size: SoakSize, kept: KeptConnections) -> CallerPool {
        CallerPool { boxes, size, kept, jobs: Arc::default(), is_full: AtomicBool::new(false) }
    }

    /// Returns the jobs that were submitted so far.
    pub fn jobs(&self) -> &Mutex<SubmittedJobs> {
        &self.jobs
    }

    /// Creates an HTTP client. Each caller has its own. Only the caller repeats failed calls.
    pub fn build_client() -> Client<HttpConnector, Full<Bytes>> {
        Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build_http()
    }

    /// Holds back callers while too many jobs wait, in soaks with series, until the future is dropped. A long load would
    /// otherwise leave a queue that takes longer than the time in which all jobs have to end.
    pub async fn watch_backlog(&self, platform: &CellPlatform) {
        if !self.size.series {
            return std::future::pending().await;
        }
        loop {
            let waiting = full::count_waiting_jobs(self, platform);
            self.is_full.store(waiting > MAX_WAITING_PER_WORKER * self.size.workers, Relaxed);
            tokio::time::sleep(JOB_PAUSE).await;
        }
    }

    /// Runs one caller, which submits jobs until the future is dropped. The caller keeps its connections until boxes close
    /// them.
    pub async fn run(&self, seed: u64, caller: u64) {
        let client = CallerPool::build_client();
        let mut rng = StdRng::seed_from_u64(seed ^ (caller << 32));
        let mut resubmit_rng = StdRng::seed_from_u64(seed ^ (caller << 32) ^ RESUBMIT_SALT);
        let mut accepted: VecDeque<(u64, String)> = VecDeque::new();
        let started = Instant::now();
        for number in 0.. {
            while self.is_full.load(Relaxed) {
                tokio::time::sleep(JOB_PAUSE).await;
            }
            let id = match self.size.profile {
                SoakProfile::Narrow => (caller << 48) | number,
                SoakProfile::Wide | SoakProfile::Full => wide::job_id(caller, number),
                SoakProfile::Limits => limits::job_id(caller, number),
            };
            if let Some(body) = self.submit_drawn(&client, &mut rng, id).await {
                accepted.push_back((id, body));
            }
            if accepted.len() > RESUBMIT_WINDOW_JOBS {
                accepted.pop_front();
            }
            if resubmit_rng.random_ratio(1, RESUBMIT_ONE_IN) && !accepted.is_empty() {
                let (id, body) = &accepted[resubmit_rng.random_range(0..accepted.len())];
                let address = self.boxes[resubmit_rng.random_range(0..self.boxes.len())];
                // A repeated submission must not create a second job. The answer does not matter.
                self.call(&client, address, Method::POST, *id, body).await;
            }
            let pause = match self.size.profile {
                SoakProfile::Limits => limits::job_pause(caller, started.elapsed(), JOB_PAUSE),
                SoakProfile::Narrow | SoakProfile::Wide | SoakProfile::Full => JOB_PAUSE,
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// Draws a job and submits it. Returns its body if the job was accepted and not cancelled.
    async fn submit_drawn(
        &self,
        client: &Client<HttpConnector, Full<Bytes>>,
        rng: &mut StdRng,
        id: u64,
    ) -> Option<String> {
        let body = draw_body(rng, id);
        // Crashes occur only in the narrow profile: about one a second would take room from a wide cell all the time, and
        // no period would be calm enough to detect stalled jobs.
        let crash_after_ms =
            draw_crash_delay_ms(id).filter(|_| self.size.profile == SoakProfile::Narrow);
        let body = match crash_after_ms {
            Some(after) => crashing_body(after),
            None if wide::is_wide(id) => wide::wide_job_body(id, self.size.workers).to_string(),
            None => body,
        };
        if crash_after_ms.is_some() {
            self.jobs.lock().crashing.insert(id);
        }
        self.submit_job(client, rng, id, &body).await.then_some(body)
    }

    /// Submits a job until it is accepted, and cancels some of the accepted jobs. Returns whether the job was accepted
    /// and not cancelled.
    pub async fn submit_job(
        &self,
        client: &Client<HttpConnector, Full<Bytes>>,
        rng: &mut StdRng,
        id: u64,
        body: &str,
    ) -> bool {
        let Some(address) = self.submit_until_accepted(client, rng, id, body).await else {
            return false;
        };
        self.jobs.lock().accepted.insert(id);
        self.jobs.lock().bodies.insert(id, body.to_owned());
        let cancels = rng.random_ratio(1, CANCEL_ONE_IN);
        if cancels {
            self.cancel(client, address, id).await;
        }
        !cancels
    }

    /// Submits a long-running job until it is accepted.
    pub async fn submit_long_running(
        &self,
        client: &Client<HttpConnector, Full<Bytes>>,
        rng: &mut StdRng,
        id: u64,
        body: &str,
    ) {
        if self.submit_until_accepted(client, rng, id, body).await.is_some() {
            self.jobs.lock().long_running.insert(id);
        }
    }

    /// Submits a job to random boxes until one accepts it, and returns the address of that box. Returns `None` after
    /// [`MAX_SUBMIT_ATTEMPTS`] attempts.
    async fn submit_until_accepted(
        &self,
        client: &Client<HttpConnector, Full<Bytes>>,
        rng: &mut StdRng,
        id: u64,
        body: &str,
    ) -> Option<SocketAddr> {
        let mut may_be_accepted = false;
        for _ in 0..MAX_SUBMIT_ATTEMPTS {
            let address = self.boxes[rng.random_range(0..self.boxes.len())];
            match self.call(client, address, Method::POST, id, body).await {
                Some(StatusCode::OK) => return Some(address),
                Some(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) => {}
                Some(_) | None => may_be_accepted = true,
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        if !may_be_accepted {
            self.jobs.lock().refused.insert(id);
        }
        None
    }

    /// Cancels an accepted job.
    async fn cancel(
        &self,
        client: &Client<HttpConnector, Full<Bytes>>,
        address: SocketAddr,
        id: u64,
    ) {
        // The call may take effect from now on even if it fails.
        {
            let mut jobs = self.jobs.lock();
            jobs.accepted.remove(&id);
            jobs.cancelled.insert(id);
        }
        self.call(client, address, Method::DELETE, id, "").await;
    }

    /// Calls a box and counts the answer. Returns its status, or `None` without an answer in time.
    async fn call(
        &self,
        client: &Client<HttpConnector, Full<Bytes>>,
        address: SocketAddr,
        method: Method,
        id: u64,
        body: &str,
    ) -> Option<StatusCode> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{}", wide::job_path(id)))
            .header("host", "cell.example")
            .header("deadline-ms", "3000")
            .header("authorization", format!("Token {}", self.size.key_of(id)))
            .body(Full::new(Bytes::from(body.to_owned())))
            .expect("the parts are valid");
        let number = self.boxes.iter().position(|other| *other == address);
        let kills = number.map_or(0, |number| self.kept.recent_kills(number, KILL_NOTICE));
        let exchange = async {
            let response = client.request(request).await.map_err(describe_cut)?;
            let status = response.status();
            let body = response.into_body().collect().await;
            body.map_err(|error| Some(format!("within the answer: {error}")))?;
            Ok::<_, Option<String>>(status)
        };
        // Without an answer in time, it is not known whether the call was cut off.
        let result = tokio::time::timeout(CALL_TIMEOUT, exchange).await.unwrap_or(Err(None));
        if let (Some(number), Err(Some(description))) = (number, &result) {
            self.kept.record_cut(number, kills, &format!("job {id:016x}: {description}"));
        }
        let status = result.ok();
        let code = status.map_or(0, |status| status.as_u16());
        *self.jobs.lock().answers.entry(code).or_default() += 1;
        status
    }
}

/// Describes the error of a call that was cut off after a part of it was sent. Returns `None` for other errors.
fn describe_cut(error: hyper_util::client::legacy::Error) -> Option<String> {
    let source = error.source()?.downcast_ref::<hyper::Error>()?;
    // A call is canceled if its connection was closed before the call was sent.
    (!error.is_connect() && !source.is_canceled()).then(|| format!("before the answer: {source:?}"))
}

/// Draws from the id of a job how many milliseconds after its start the first task crashes its worker. Most jobs have no
/// such task.
fn draw_crash_delay_ms(id: u64) -> Option<u64> {
    let mut rng = StdRng::seed_from_u64(id ^ CRASH_SALT);
    let crashes = rng.random_ratio(1, CRASH_ONE_IN);
    crashes.then(|| rng.random_range(CRASH_AFTER_MS))
}

/// Returns the request body of a job whose first task crashes its worker `after` milliseconds after its start.
fn crashing_body(after: u64) -> String {
    let step = serde_json::json!({ "count": 2, "cpu": 1000, "mem_mb": 16, "estimate_ms": 150 });
    serde_json::json!({ "spec": format!("{CRASH_SPEC}{after}"), "steps": [step] }).to_string()
}

/// Draws the request body of a job with one or two steps.
fn draw_body(rng: &mut StdRng, id: u64) -> String {
    let step = |rng: &mut StdRng, after: Option<u16>| {
        let number = after.map_or(0, |previous| previous + 1);
        let estimate = run_duration_ms(&format!("{id:016x}.0.{number}"), &RUN_MS);
        let gang = rng.random_ratio(1, 3);
        let count = rng.random_range(1..4);
        serde_json::json!({
            "count": count, "cpu": 1000, "mem_mb": 16, "estimate_ms": estimate,
            "gang_scheduled": gang, "after": after.into_iter().collect::<Vec<u16>>()
        })
    };
    let mut steps: Vec<serde_json::Value> = vec![step(rng, None)];
    if rng.random_ratio(1, 3) {
        steps.push(step(rng, Some(0)));
    }
    let has_gangs = steps.iter().any(|step| step["gang_scheduled"] == true);
    let spec = if has_gangs { GANG_SPEC } else { "work" };
    serde_json::json!({ "spec": spec, "steps": steps }).to_string()
}
