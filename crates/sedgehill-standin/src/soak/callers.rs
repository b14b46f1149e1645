//! Callers of a soak, who remember what they were told.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::keys::SOAK_KEY;
use super::{RUN_MS, SoakSize, SoakWorld, wide};
use crate::cell_platform::{CRASH_SPEC, GANG_SPEC, run_duration_ms};

/// How often a caller tries one job before it gives up.
const TRIES: usize = 10;
/// Pause before the next try.
const TRY_PAUSE: Duration = Duration::from_millis(150);
/// Pause between two jobs of one caller: shorter ones only make the queue longer that is worked off at the end.
const JOB_PAUSE: Duration = Duration::from_millis(300);
/// How long a caller waits for an answer.
const CALL_LIMIT: Duration = Duration::from_millis(4_000);
/// A caller hands in again, one time in so many, one of the jobs that were accepted last.
const AGAIN_ONE_IN: u32 = 4;
/// How many such jobs it remembers: those of some seconds.
const AGAIN_AMONG: usize = 12;
/// Tells the generator of these from that of jobs.
const AGAIN_SALT: u64 = 0x6167_6169;
/// One job in so many has a task that crashes its workers, so long after its start in milliseconds.
const CRASH_ONE_IN: u32 = 20;
const CRASH_AFTER_MS: std::ops::Range<u64> = 0..140;
/// Tells the generator of these from that of jobs.
const CRASH_SALT: u64 = 0x6372_6173;
/// One job in so many is cancelled soon after it was accepted.
const CANCEL_ONE_IN: u32 = 12;

/// What callers were told of their jobs.
#[derive(Debug, Default)]
pub struct ToldJobs {
    /// Accepted, and not cancelled by their caller.
    pub accepted: BTreeSet<u64>,
    /// Those of them whose first task crashes its workers.
    pub crashing: BTreeSet<u64>,
    /// Accepted, and then cancelled.
    pub cancelled: BTreeSet<u64>,
    /// Accepted, with tasks that run until the job is cancelled.
    pub long_running: BTreeSet<u64>,
    /// Each answer said that the job was not taken.
    pub refused: BTreeSet<u64>,
    /// What was handed in for those that were accepted.
    pub bodies: BTreeMap<u64, String>,
    /// Answers by status; 0 for none.
    pub answers: BTreeMap<u16, u64>,
}

/// What callers share.
pub struct CallerPool {
    boxes: Vec<SocketAddr>,
    size: SoakSize,
    told: Arc<Mutex<ToldJobs>>,
}

impl CallerPool {
    /// Callers of these boxes.
    pub fn new(boxes: Vec<SocketAddr>, size: SoakSize) -> CallerPool {
        CallerPool { boxes, size, told: Arc::default() }
    }

    /// What they were told.
    pub fn told(&self) -> &Mutex<ToldJobs> {
        &self.told
    }

    /// A client of its own for each caller.
    pub fn client() -> Client<HttpConnector, Full<Bytes>> {
        Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build_http()
    }

    /// One caller that hands in jobs until it is dropped. Its connections are kept for as long as boxes
    /// keep them.
    pub async fn run(&self, seed: u64, caller: u64) {
        let client = CallerPool::client();
        let mut rng = StdRng::seed_from_u64(seed ^ (caller << 32));
        let mut again = StdRng::seed_from_u64(seed ^ (caller << 32) ^ AGAIN_SALT);
        let mut accepted: VecDeque<(u64, String)> = VecDeque::new();
        for number in 0.. {
            let id = match self.size.world {
                SoakWorld::Narrow => (caller << 48) | number,
                SoakWorld::Wide | SoakWorld::Full => wide::id_of(caller, number),
            };
            if let Some(body) = self.hand_in_drawn(&client, &mut rng, id).await {
                accepted.push_back((id, body));
            }
            if accepted.len() > AGAIN_AMONG {
                accepted.pop_front();
            }
            if again.random_ratio(1, AGAIN_ONE_IN) && !accepted.is_empty() {
                let (id, body) = &accepted[again.random_range(0..accepted.len())];
                let address = self.boxes[again.random_range(0..self.boxes.len())];
                // It remains one job, whatever is answered.
                self.call(&client, address, Method::POST, *id, body).await;
            }
            tokio::time::sleep(JOB_PAUSE).await;
        }
    }

    /// Draws a job and hands it in. Returns what was, unless it was cancelled then.
    async fn hand_in_drawn(
        &self,
        client: &Client<HttpConnector, Full<Bytes>>,
        rng: &mut StdRng,
        id: u64,
    ) -> Option<String> {
        let body = draw_job(rng, id);
        // A crash a second takes a wide cell's room away in no calm that could be judged.
        let crash = draw_crash(id).filter(|_| self.size.world == SoakWorld::Narrow);
        let body = match crash {
            Some(after) => crashing_job(after),
            None if wide::is_wide(id) => wide::draw_wide(id, self.size.workers).to_string(),
            None => body,
        };
        if crash.is_some() {
            self.told.lock().crashing.insert(id);
        }
        self.hand_in(client, rng, id, &body).await.then_some(body)
    }

    /// Hands a job in until it is accepted. Returns whether it was, and was not cancelled then.
    pub async fn hand_in(
        &self,
        client: &Client<HttpConnector, Full<Bytes>>,
        rng: &mut StdRng,
        id: u64,
        body: &str,
    ) -> bool {
        let Some(address) = self.submit(client, rng, id, body).await else { return false };
        self.told.lock().accepted.insert(id);
        self.told.lock().bodies.insert(id, body.to_owned());
        let cancels = rng.random_ratio(1, CANCEL_ONE_IN);
        if cancels {
            self.cancel(client, address, id).await;
        }
        !cancels
    }

    /// Hands a long-running job in until it is accepted.
    pub async fn hand_in_long_running(
        &self,
        client: &Client<HttpConnector, Full<Bytes>>,
        rng: &mut StdRng,
        id: u64,
        body: &str,
    ) {
        if self.submit(client, rng, id, body).await.is_some() {
            self.told.lock().long_running.insert(id);
        }
    }

    /// Tries until a box accepts a job, and returns its address.
    async fn submit(
        &self,
        client: &Client<HttpConnector, Full<Bytes>>,
        rng: &mut StdRng,
        id: u64,
        body: &str,
    ) -> Option<SocketAddr> {
        let mut doubtful = false;
        for _ in 0..TRIES {
            let address = self.boxes[rng.random_range(0..self.boxes.len())];
            match self.call(client, address, Method::POST, id, body).await {
                Some(StatusCode::OK) => return Some(address),
                Some(StatusCode::SERVICE_UNAVAILABLE) => {}
                Some(_) | None => doubtful = true,
            }
            tokio::time::sleep(TRY_PAUSE).await;
        }
        if !doubtful {
            self.told.lock().refused.insert(id);
        }
        None
    }

    async fn cancel(
        &self,
        client: &Client<HttpConnector, Full<Bytes>>,
        address: SocketAddr,
        id: u64,
    ) {
        // It may be cancelled from now on, whatever is answered.
        {
            let mut told = self.told.lock();
            told.accepted.remove(&id);
            told.cancelled.insert(id);
        }
        self.call(client, address, Method::DELETE, id, "").await;
    }

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
            .uri(format!("http://{address}{}", wide::path_of(id)))
            .header("host", "cell.example")
            .header("deadline-ms", "3000")
            .header("authorization", format!("Token {SOAK_KEY}"))
            .body(Full::new(Bytes::from(body.to_owned())))
            .expect("the parts are valid");
        let exchange = async {
            let response = client.request(request).await.ok()?;
            let status = response.status();
            response.into_body().collect().await.ok()?;
            Some(status)
        };
        let status = tokio::time::timeout(CALL_LIMIT, exchange).await.ok().flatten();
        let code = status.map_or(0, |status| status.as_u16());
        *self.told.lock().answers.entry(code).or_default() += 1;
        status
    }
}

/// How long after its start the first task of a job crashes its worker, by the id of the job; mostly none.
fn draw_crash(id: u64) -> Option<u64> {
    let mut rng = StdRng::seed_from_u64(id ^ CRASH_SALT);
    let crashes = rng.random_ratio(1, CRASH_ONE_IN);
    crashes.then(|| rng.random_range(CRASH_AFTER_MS))
}

fn crashing_job(after: u64) -> String {
    let step = serde_json::json!({ "count": 2, "cpu": 1000, "mem_mb": 16, "estimate_ms": 150 });
    serde_json::json!({ "spec": format!("{CRASH_SPEC}{after}"), "steps": [step] }).to_string()
}

fn draw_job(rng: &mut StdRng, id: u64) -> String {
    let step = |rng: &mut StdRng, after: Option<u16>| {
        let number = after.map_or(0, |before| before + 1);
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
    let gangs = steps.iter().any(|step| step["gang_scheduled"] == true);
    let spec = if gangs { GANG_SPEC } else { "work" };
    serde_json::json!({ "spec": spec, "steps": steps }).to_string()
}
