//! Follows the topics of the store: configuration, jobs, and who leads.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use sedgehill_adapter::error::CallError;
use sedgehill_adapter::http_client::CallLimits;
use sedgehill_adapter::store::{KeyedRecord, ReadOutcome, StoreTopic};
use sedgehill_cell::ids::JobId;
use sedgehill_cell::replica::CellRecord;
use sedgehill_core::units::TimeSpan;
use slog::{info, warn};

use super::apply::apply;
use super::lead::LeadSession;
use super::state::{CellBox, TopicView};
use crate::clock;

/// How long a read waits for a record. An empty answer proves that nothing is missing.
const READ_WAIT: Duration = Duration::from_millis(500);
/// How long an answer may take on top of that. A slow store takes some 300 ms.
const READ_LIMIT: Duration = Duration::from_millis(1_200);
/// The same while the store does not answer at all: short tries find out soon when it is back.
const PROBE_LIMIT: Duration = Duration::from_millis(500);
/// How long reading the newest records may take, a page.
const NEWEST_LIMIT: Duration = Duration::from_millis(2_500);
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(120);
/// Pause between two reads of who leads by a box that does not lead: renewals are of no use to it
/// more often. A lead itself hears of a later claim at once.
const LEADS_PAUSE: Duration = Duration::from_millis(400);
/// Pause between two reads of progress: each read is paid for, and a job may be shown as completed
/// this much later.
const PROGRESS_PAUSE: Duration = Duration::from_millis(100);
/// Pause between two reads of jobs by a box that does not lead. It needs them to answer for a state,
/// for which callers allow seconds.
const JOBS_PAUSE: Duration = Duration::from_millis(200);
/// The same for the lead, which waits for jobs to place.
const JOBS_PAUSE_LEAD: Duration = Duration::from_millis(14);

/// Pause after a read by way of another box, which does not wait for records.
const RELAYED_PAUSE: Duration = Duration::from_millis(100);
/// Time between two looks whether a box that has just started has to read the jobs.
const FIRST_PAUSE: Duration = Duration::from_millis(5);
/// Time between two looks whether a topic is still proved to be known.
const FED_PAUSE: Duration = Duration::from_millis(50);

/// Follows the configuration.
pub async fn follow_config(host: Rc<CellBox>) {
    follow(&host, StoreTopic::Operators, &host.config_view, |_| Duration::ZERO).await;
}

/// Follows who leads.
pub async fn follow_leads(host: Rc<CellBox>) {
    let pause = |host: &CellBox| match host.session.borrow().is_some() {
        true => Duration::ZERO,
        false => LEADS_PAUSE,
    };
    follow(&host, StoreTopic::Leads, &host.lead_view, pause).await;
}

/// Follows jobs and cancellations.
pub async fn follow_jobs(host: Rc<CellBox>) {
    let pause = |host: &CellBox| match host.session.borrow().is_some() {
        true => JOBS_PAUSE_LEAD,
        false => JOBS_PAUSE,
    };
    follow(&host, StoreTopic::Jobs, &host.jobs_view, pause).await;
}

/// Follows the progress of jobs.
pub async fn follow_progress(host: Rc<CellBox>) {
    let pause = |_: &CellBox| PROGRESS_PAUSE;
    follow(&host, StoreTopic::Progress, &host.progress_view, pause).await;
}

async fn follow(
    host: &CellBox,
    topic: StoreTopic,
    view: &TopicView,
    pause: impl Fn(&CellBox) -> Duration,
) {
    let mut failing = false;
    loop {
        // Who led last tells whether this box has to read the jobs.
        let unready = host.lead_view.offset.get().is_none();
        let waits = is_cell(topic) && (unready || host.defers_reading() || host.asks_lead());
        if waits {
            tokio::time::sleep(FIRST_PAUSE).await;
            continue;
        }
        if !reads_for_itself(host, topic, view) {
            tokio::time::sleep(FED_PAUSE).await;
            continue;
        }
        let result = match view.offset.get() {
            None => read_newest(host, topic, view).await,
            Some(offset) => {
                read_on(host, topic, view, offset, READ_WAIT).await.map(|read| read.records)
            }
        };
        match result {
            Ok(0) => {}
            Ok(_) => pause_reading(host, topic, pause(host)).await,
            Err(error) => {
                if !failing {
                    warn!(host.log, "store lost"; "topic" => ?topic, "error" => %error);
                }
                if host.store_contact.is_silent() {
                    tokio::time::sleep(RETRY_PAUSE).await;
                } else {
                    tokio::time::sleep(RETRY_PAUSE / 4).await;
                }
                failing = true;
                continue;
            }
        }
        if failing {
            info!(host.log, "store regained"; "topic" => ?topic);
            failing = false;
        }
    }
}

/// Waits before the next read. Who leads is read at once when that is in doubt.
async fn pause_reading(host: &CellBox, topic: StoreTopic, pause: Duration) {
    tokio::select! {
        () = tokio::time::sleep(pause) => {}
        () = host.lead_doubted.notified(), if topic == StoreTopic::Leads => {}
    }
}

/// Reads a topic up to an offset at once, whatever else follows it.
pub async fn catch_up(host: &CellBox, topic: StoreTopic, end: u64) -> Result<(), CallError> {
    let Some(view) = host.view(topic) else { return Ok(()) };
    // The store may forget its history at any moment, also between two reads. A catch-up that took this for its
    // end left a new lead without the last records, and it began tasks that ran already.
    loop {
        match view.offset.get() {
            // The newest records hold all that was appended before.
            None => drop(read_newest(host, topic, view).await?),
            Some(offset) if offset < end => {
                read_on(host, topic, view, offset, Duration::ZERO).await?;
            }
            Some(_) => return Ok(()),
        }
    }
}

/// Reads a topic at once up to where it ends now. What is appended meanwhile is not waited for.
pub async fn catch_up_now(host: &CellBox, topic: StoreTopic) -> Result<(), CallError> {
    let Some(view) = host.view(topic) else { return Ok(()) };
    let end = match view.offset.get() {
        Some(offset) => read_on(host, topic, view, offset, Duration::ZERO).await?.end,
        None => return read_newest(host, topic, view).await.map(|_| ()),
    };
    catch_up(host, topic, end).await
}

/// Whether a box has to read a topic itself. What the lead proves to be known needs no reading.
fn reads_for_itself(host: &CellBox, topic: StoreTopic, view: &TopicView) -> bool {
    let fed = match topic {
        StoreTopic::Jobs => host.session.borrow().is_none(),
        StoreTopic::Progress => true,
        StoreTopic::Operators | StoreTopic::Leads | StoreTopic::Workers => false,
    };
    !(fed && view.is_fed() && view.offset.get().is_some())
}

/// Whether a topic holds what only the boxes write.
fn is_cell(topic: StoreTopic) -> bool {
    matches!(topic, StoreTopic::Jobs | StoreTopic::Progress)
}

/// The lead passes on what it reads of the jobs. Each box reads the configuration by itself: passed on to
/// 96 boxes, one of 256 KB would take a second of a link of 200 Mbit/s.
fn pass_on(host: &CellBox, topic: StoreTopic, from: u64, records: &[KeyedRecord]) {
    if let Some(session) = &*host.session.borrow()
        && is_cell(topic)
    {
        session.feed(topic, from, records);
    }
}

async fn read_newest(
    host: &CellBox,
    topic: StoreTopic,
    view: &TopicView,
) -> Result<usize, CallError> {
    let asked = clock::now();
    let known = match topic {
        StoreTopic::Progress => host.replica.borrow().lead_accepted_ids(),
        _ => Vec::new(),
    };
    let newest = match relaying_session(host, topic) {
        Some(session) => session.newest_relayed(topic).await?,
        None => {
            let newest = host.clients.store.read_newest(topic, NEWEST_LIMIT).await?;
            host.store_contact.note_answer();
            newest
        }
    };
    if view.whole.get() && view.offset.get().is_some_and(|read| read >= newest.end) {
        // Another reading was faster. What it brought, and what came since, must not be undone by older records.
        return Ok(0);
    }
    for record in &newest.records {
        apply(host, topic, record);
    }
    host.replica.borrow_mut().forget_missing(&known, &kept_jobs(&newest.records));
    view.offset.set(Some(newest.end));
    view.whole.set(true);
    view.note_complete(asked);
    info!(host.log, "topic read";
        "topic" => ?topic, "records" => newest.records.len(), "end" => newest.end);
    Ok(newest.records.len())
}

/// The jobs of which there are records.
fn kept_jobs(records: &[KeyedRecord]) -> HashSet<JobId> {
    let decoded = records.iter().map(|record| CellRecord::decode_key(&record.key));
    decoded.filter_map(|key| key.ok().map(|(_, id)| id)).collect()
}

/// The session of a lead that reads a topic by way of another box. A lead decides by the configuration, so
/// that goes the same way as the jobs.
fn relaying_session(host: &CellBox, topic: StoreTopic) -> Option<Rc<LeadSession>> {
    let session = host.session.borrow().clone()?;
    let relayed = is_cell(topic) || topic == StoreTopic::Operators;
    (relayed && session.relays()).then_some(session)
}

/// What one read brought.
struct ReadStretch {
    /// How many records.
    records: usize,
    /// Where the topic ended.
    end: u64,
}

async fn read_on(
    host: &CellBox,
    topic: StoreTopic,
    view: &TopicView,
    offset: u64,
    wait: Duration,
) -> Result<ReadStretch, CallError> {
    let asked = clock::now();
    let (wait, limit) = match host.store_contact.is_silent() {
        true => (Duration::ZERO, PROBE_LIMIT),
        false => (wait, READ_LIMIT),
    };
    let relayed = relaying_session(host, topic);
    let outcome = match &relayed {
        Some(session) => session.read_relayed(topic, offset).await?,
        None => {
            let limits = CallLimits::new(limit.min(read_doubt(host)), limit);
            let reading = host.clients.store.read(topic, offset, wait, limits);
            let outcome = tokio::select! {
                outcome = host.store_contact.unless_regained(reading) => outcome?,
                () = host.clients.store.wait_for_replacement() => {
                    return Err(CallError::Unknown("the connection fell silent".to_owned()));
                }
            };
            host.store_contact.note_answer();
            outcome
        }
    };
    if relayed.is_some() {
        tokio::time::sleep(RELAYED_PAUSE).await;
    }
    match outcome {
        ReadOutcome::Gone => {
            info!(host.log, "topic history gone"; "topic" => ?topic, "offset" => offset);
            // Unless another reading has come further meanwhile.
            if view.offset.get() == Some(offset) {
                view.offset.set(None);
            }
            view.gaps.set(view.gaps.get() + 1);
            Ok(ReadStretch { records: 0, end: offset })
        }
        ReadOutcome::Records { records, end } => {
            let read = offset + records.len() as u64;
            // Meanwhile the records may have come over the link, or have been written by this box.
            let known = view.offset.get().unwrap_or(offset).max(offset);
            let new = records.get((known - offset) as usize..).unwrap_or_default();
            for record in new {
                apply(host, topic, record);
            }
            if read > known {
                pass_on(host, topic, known, new);
                view.offset.set(Some(read));
            }
            // An empty answer was sent when the wait was over; it may have been read much later.
            let waits = records.is_empty() && relayed.is_none();
            let waited = if waits { wait } else { Duration::ZERO };
            if waits {
                let took = Duration::from_millis(clock::now().since(asked).0);
                host.store_patience.borrow_mut().note_answer(took.saturating_sub(wait));
            }
            if read.max(known) >= end {
                let complete = asked.after(TimeSpan(waited.as_millis() as u64));
                view.note_complete(complete.min(clock::now()));
            }
            Ok(ReadStretch { records: records.len(), end })
        }
    }
}

/// When the connection of a read is doubted.
fn read_doubt(host: &CellBox) -> Duration {
    host.store_patience.borrow().timeout()
}
