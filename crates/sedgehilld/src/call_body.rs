//! Reads the bodies of calls within the budget of the box.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use sedgehill_core::client_budget::{ClientPhase, Eviction};
use sedgehill_core::units::MemorySize;
use tokio::time::Instant;

use crate::client::{BudgetExhausted, CallMemory};

/// The first capacity of the buffer of a body of unknown length, in bytes.
const MIN_CAPACITY: usize = 16 << 10;
/// The factor by which the buffer of a body of unknown length grows. Each growth leaves a gap in the heap.
const GROWTH_FACTOR: usize = 4;

/// The reason why a body was not read in full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body is longer than allowed.
    TooLarge,
    /// The client did not send the whole body, or not in time.
    Incomplete,
    /// The box has no memory for the body, or needs that of this client for others.
    NoMemory,
}

/// Reads a body of at most `max_bytes`, for at most `timeout`. If there is no memory for it, reads the rest all the same
/// and discards it, so that the client gets its answer.
///
/// Each part is copied, because a part shares the read buffer of its connection: very small chunks would each keep a
/// whole buffer in memory.
pub async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    timeout: Duration,
    memory: &mut CallMemory,
) -> Result<Bytes, BodyError> {
    let client = memory.client().clone();
    let deadline = Instant::now() + timeout;
    let result = tokio::select! {
        biased;
        result = collect(&mut body, max_bytes, memory) => result,
        () = client.evicted(Eviction::Call) => Err(BodyError::NoMemory),
        () = tokio::time::sleep_until(deadline) => Err(BodyError::Incomplete),
    };
    match result {
        Ok(_) => client.set_phase(ClientPhase::Answering),
        Err(BodyError::NoMemory) => {
            memory.clear();
            discard_body(body, max_bytes, deadline, memory).await;
        }
        Err(BodyError::TooLarge | BodyError::Incomplete) => {}
    }
    result
}

async fn collect(
    body: &mut Incoming,
    max_bytes: usize,
    memory: &mut CallMemory,
) -> Result<Bytes, BodyError> {
    let length = body.size_hint().exact().map(|length| max_bytes.min(length as usize));
    let mut buffer = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Incomplete)?;
        let Ok(part) = frame.into_data() else { continue };
        let needed = buffer.len() + part.len();
        if needed > max_bytes {
            return Err(BodyError::TooLarge);
        }
        if needed > buffer.capacity() {
            let grown = (buffer.capacity() * GROWTH_FACTOR).max(MIN_CAPACITY).min(max_bytes);
            let capacity = length.unwrap_or(grown).max(needed);
            let size = MemorySize(capacity as u64);
            memory.resize(size).await.map_err(|BudgetExhausted| BodyError::NoMemory)?;
            buffer.reserve_exact(capacity - buffer.len());
        }
        buffer.extend_from_slice(&part);
    }
    Ok(buffer.into())
}

/// Reads and discards a body that is not used, up to `max_bytes` and until `deadline`. Closing the connection with
/// unread bytes could destroy the answer.
pub async fn discard_body(
    mut body: Incoming,
    max_bytes: usize,
    deadline: Instant,
    memory: &CallMemory,
) {
    let discarding = async {
        let mut read_bytes = 0;
        // It does not matter whether the body was complete.
        while let Some(Ok(frame)) = body.frame().await {
            read_bytes += frame.data_ref().map_or(0, Bytes::len);
            if read_bytes > max_bytes {
                return;
            }
        }
    };
    tokio::select! {
        () = discarding => {}
        () = memory.client().evicted(Eviction::Connection) => {}
        () = tokio::time::sleep_until(deadline) => {}
    }
}
