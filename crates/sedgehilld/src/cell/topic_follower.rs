//! Follows the topics of the store: the configuration, the leads, the jobs and their progress.

use std::rc::Rc;
use std::time::Duration;

use sedgehill_adapter::config::is_config;
use sedgehill_adapter::error::CallError;
use sedgehill_adapter::http_client::CallLimits;
use sedgehill_adapter::store::{KeyedRecord, ReadOutcome, StoreTopic};
use sedgehill_cell::reading::is_unconfirmed;
use sedgehill_cell::replica::recorded_jobs;
use sedgehill_core::units::TimeSpan;
use slog::{info, warn};

use super::apply::{apply, replace_hall_requests};
use super::lead::LeadSession;
use super::state::{CellBox, TopicView};
use crate::clock;

/// How long the store waits for a new record before it answers a read of the cell's own topics and
/// of the leads topic. An empty answer proves that no record is missing.
const READ_WAIT: Duration = Duration::from_millis(500);
/// Interval at which a box checks during a long wait whether its view is still confirmed.
const CONFIRMATION_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long an answer may take in addition to that wait. A slow store takes about 300 ms.
const READ_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The timeout of a read while the store does not answer: short tries notice its return sooner.
const SILENT_READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for each page of the newest records.
const NEWEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause after a failed call while the store is silent; otherwise a quarter of it.
const RETRY_PAUSE: Duration = Duration::from_millis(120);
/// Pause between two reads of progress. Each read has a cost, and a job may be shown as completed
/// this much later.
const PROGRESS_PAUSE: Duration = Duration::from_millis(100);
/// Pause between two reads of jobs by a box that does not lead. It needs them to answer questions
/// for job states, for which callers allow seconds.
const JOBS_PAUSE: Duration = Duration::from_millis(200);
/// Pause between two reads of jobs by the lead, which waits for jobs to place.
const LEAD_JOBS_PAUSE: Duration = Duration::from_millis(14);

/// Pause after a relayed read, which does not wait for records at the store.
const RELAYED_PAUSE: Duration = Duration::from_millis(100);
/// Interval at which a box that does not read the jobs checks whether it has to.
const DEFERRED_READ_PAUSE: Duration = Duration::from_millis(5);
/// Interval at which a box checks whether the lead still confirms a topic.
const CONFIRMED_PAUSE: Duration = Duration::from_millis(50);

/// Follows the configuration.
pub async fn follow_config(host: Rc<CellBox>) {
    follow(&host, StoreTopic::Operators, &host.config_view, |_| Duration::ZERO).await;
}

/// Follows the claims and renewals of leads.
pub async fn follow_leads(host: Rc<CellBox>) {
    let pause = |host: &CellBox| duration(host.read_plan().leads_pause());
    follow(&host, StoreTopic::Leads, &host.lead_view, pause).await;
}

/// Follows jobs and cancellations.
pub async fn follow_jobs(host: Rc<CellBox>) {
    let pause = |host: &CellBox| match host.session.borrow().is_some() {
        true => LEAD_JOBS_PAUSE,
        false => JOBS_PAUSE,
    };
    follow(&host, StoreTopic::Jobs, &host.jobs_view, pause).await;
}

/// Follows the progress of jobs.
pub async fn follow_progress(host: Rc<CellBox>) {
    let pause = |_: &CellBox| PROGRESS_PAUSE;
    follow(&host, StoreTopic::Progress, &host.progress_view, pause).await;
}

/// Follows a topic: reads the newest records first, then the records from the known offset on. Pauses
/// after each read that returned records.
async fn follow(
    host: &CellBox,
    topic: StoreTopic,
    view: &TopicView,
    pause: impl Fn(&CellBox) -> Duration,
) {
    let mut failing = false;
    loop {
        // Whether this box has to read the jobs depends on who led last.
        let lead_unknown = host.lead_view.offset.get().is_none();
        let defers_reading =
            is_cell_topic(topic) && (lead_unknown || host.defers_reads() || host.queries_lead());
        if defers_reading {
            tokio::time::sleep(DEFERRED_READ_PAUSE).await;
            continue;
        }
        if !must_read(host, topic, view) {
            tokio::time::sleep(CONFIRMED_PAUSE).await;
            continue;
        }
        let result = match view.offset.get() {
            None => read_newest(host, topic, view).await,
            Some(offset) => {
                let wait = match topic {
                    StoreTopic::Operators => duration(host.read_plan().operators_wait(view.ages())),
                    _ => READ_WAIT,
                };
                read_from(host, topic, view, offset, wait).await.map(|read| read.records)
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

/// Waits before the next read. If the newest lead record may be out of date, the leads topic is
/// read at once.
async fn pause_reading(host: &CellBox, topic: StoreTopic, pause: Duration) {
    tokio::select! {
        () = tokio::time::sleep(pause) => {}
        () = host.lead_record_stale.notified(), if topic == StoreTopic::Leads => {}
        () = host.lead_doubted.notified(), if topic == StoreTopic::Leads => {}
    }
}

fn duration(span: TimeSpan) -> Duration {
    Duration::from_millis(span.0)
}

/// Returns once a long wait at the store must be broken off: this box may no longer rely on its lead,
/// or the lead does not confirm the view.
async fn wait_until_doubted(host: &CellBox, view: &TopicView) {
    let unconfirmed = async {
        while !is_unconfirmed(view.age()) {
            tokio::time::sleep(CONFIRMATION_CHECK_INTERVAL).await;
        }
    };
    tokio::select! {
        () = host.lead_doubted.notified() => {}
        () = unconfirmed => {}
    }
}

/// Reads a topic up to offset `end` without waiting for further records.
pub async fn catch_up(host: &CellBox, topic: StoreTopic, end: u64) -> Result<(), CallError> {
    let Some(view) = host.view(topic) else { return Ok(()) };
    // The store may drop old records at any moment, also between two reads. When a catch-up took
    // this for the end of the topic, a new lead missed the last records and started tasks that were
    // already running.
    loop {
        match view.offset.get() {
            // The newest records include everything that was appended before.
            None => drop(read_newest(host, topic, view).await?),
            Some(offset) if offset < end => {
                read_from(host, topic, view, offset, Duration::ZERO).await?;
            }
            Some(_) => return Ok(()),
        }
    }
}

/// Reads a topic up to its present end. Does not wait for records that are appended meanwhile.
pub async fn catch_up_now(host: &CellBox, topic: StoreTopic) -> Result<(), CallError> {
    let Some(view) = host.view(topic) else { return Ok(()) };
    let end = match view.offset.get() {
        Some(offset) => read_from(host, topic, view, offset, Duration::ZERO).await?.end,
        None => return read_newest(host, topic, view).await.map(|_| ()),
    };
    catch_up(host, topic, end).await
}

/// Returns whether this box has to read a topic itself. A view that the lead confirms as complete
/// need not be read.
fn must_read(host: &CellBox, topic: StoreTopic, view: &TopicView) -> bool {
    let is_confirmable = match topic {
        StoreTopic::Jobs => host.session.borrow().is_none(),
        StoreTopic::Progress => true,
        StoreTopic::Operators | StoreTopic::Leads | StoreTopic::Workers => false,
    };
    !(is_confirmable && view.is_confirmed() && view.offset.get().is_some())
}

/// Returns whether only boxes write to a topic.
fn is_cell_topic(topic: StoreTopic) -> bool {
    matches!(topic, StoreTopic::Jobs | StoreTopic::Progress)
}

/// Queues records of jobs and progress that the lead has read, to forward them to other boxes. Each
/// box reads the configuration by itself: to forward a record of 256 KB to 96 boxes would fill a
/// link of 200 Mbit/s for a second.
fn forward_to_helpers(host: &CellBox, topic: StoreTopic, from: u64, records: &[KeyedRecord]) {
    if let Some(session) = &*host.session.borrow()
        && is_cell_topic(topic)
    {
        session.queue_records(topic, from, records);
    }
}

/// Reads and applies the newest record of each key of a topic. Returns the number of records.
async fn read_newest(
    host: &CellBox,
    topic: StoreTopic,
    view: &TopicView,
) -> Result<usize, CallError> {
    let sent = clock::now();
    let known_ids = match topic {
        StoreTopic::Progress => host.replica.borrow().lead_accepted_ids(),
        _ => Vec::new(),
    };
    let newest = match relaying_session(host, topic) {
        Some(session) => session.newest_relayed(topic).await?,
        None => {
            let newest = host.clients.store.read_newest(topic, NEWEST_TIMEOUT).await?;
            host.store_contact.note_answer();
            newest
        }
    };
    if view.full_records.get() && view.offset.get().is_some_and(|read| read >= newest.end) {
        // Another reader was faster. Older records must not overwrite what it read, or what came
        // later.
        return Ok(0);
    }
    for record in &newest.records {
        // Requests to empty halls count as a whole, since one that is gone has no record.
        if topic != StoreTopic::Operators || is_config(record) {
            apply(host, topic, record);
        }
    }
    match topic {
        StoreTopic::Operators => replace_hall_requests(host, &newest.records, newest.end),
        StoreTopic::Progress => {
            let keys = newest.records.iter().map(|record| record.key.as_str());
            host.replica.borrow_mut().retain_roster(keys.clone());
            host.replica.borrow_mut().retain_parts(keys.clone());
            host.replica.borrow_mut().retain_speeds(keys);
        }
        StoreTopic::Leads | StoreTopic::Jobs | StoreTopic::Workers => {}
    }
    let recorded = recorded_jobs(newest.records.iter().map(|record| record.key.as_str()));
    host.replica.borrow_mut().forget_missing(&known_ids, &recorded);
    view.offset.set(Some(newest.end));
    view.full_records.set(true);
    view.note_complete(sent);
    info!(host.log, "topic read";
        "topic" => ?topic, "records" => newest.records.len(), "end" => newest.end);
    Ok(newest.records.len())
}

/// Returns the session of a lead that reads a topic through another box. This includes the
/// configuration, since the lead's decisions depend on it.
fn relaying_session(host: &CellBox, topic: StoreTopic) -> Option<Rc<LeadSession>> {
    let session = host.session.borrow().clone()?;
    let is_relayed = is_cell_topic(topic) || topic == StoreTopic::Operators;
    (is_relayed && session.is_relaying()).then_some(session)
}

/// The result of one read.
struct ReadProgress {
    /// The number of records read.
    records: usize,
    /// The offset at which the topic ended.
    end: u64,
}

/// Reads a topic from `offset` on, and applies the records that are not known yet.
async fn read_from(
    host: &CellBox,
    topic: StoreTopic,
    view: &TopicView,
    offset: u64,
    wait: Duration,
) -> Result<ReadProgress, CallError> {
    let sent = clock::now();
    let (wait, limit) = match host.store_contact.is_silent() {
        true => (Duration::ZERO, SILENT_READ_TIMEOUT),
        false => (wait, READ_TIMEOUT),
    };
    let relayed = relaying_session(host, topic);
    let outcome = match &relayed {
        Some(session) => session.read_relayed(topic, offset).await?,
        None => {
            let limits = CallLimits::new(limit.min(connection_suspect_delay(host)), limit);
            let reading = host.clients.store.read(topic, offset, wait, limits);
            let is_long = wait > READ_WAIT;
            if is_long {
                host.store_contact.set_quiet_until(sent.after(TimeSpan(wait.as_millis() as u64)));
            }
            let result = tokio::select! {
                outcome = host.store_contact.abort_on_recovery(reading) => outcome.map(Some),
                () = wait_until_doubted(host, view), if is_long => Ok(None),
                () = host.clients.store.wait_for_replacement() => {
                    Err(CallError::Unknown("the connection fell silent".to_owned()))
                }
            };
            if is_long {
                host.store_contact.set_quiet_until(clock::now());
            }
            let Some(outcome) = result? else {
                return Ok(ReadProgress { records: 0, end: offset });
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
            // Another reader may have read further meanwhile.
            if view.offset.get() == Some(offset) {
                view.offset.set(None);
            }
            view.gaps.set(view.gaps.get() + 1);
            Ok(ReadProgress { records: 0, end: offset })
        }
        ReadOutcome::Records { records, end } => {
            let next_offset = offset + records.len() as u64;
            // The records may meanwhile have arrived over the link, or have been written by this
            // box.
            let known_end = view.offset.get().unwrap_or(offset).max(offset);
            let new_records = records.get((known_end - offset) as usize..).unwrap_or_default();
            for record in new_records {
                apply(host, topic, record);
            }
            if topic == StoreTopic::Operators {
                host.emptied_halls.borrow_mut().note_read(next_offset);
            }
            if next_offset > known_end {
                forward_to_helpers(host, topic, known_end, new_records);
                view.offset.set(Some(next_offset));
            }
            // The store sent an empty answer at the end of the wait; it may have been received much
            // later.
            let is_long_poll = records.is_empty() && relayed.is_none();
            let complete_after = if is_long_poll { wait } else { Duration::ZERO };
            if is_long_poll {
                let took = Duration::from_millis(clock::now().since(sent).0);
                host.store_timeout.borrow_mut().note_answer(took.saturating_sub(wait));
            }
            if next_offset.max(known_end) >= end {
                let complete_at = sent.after(TimeSpan(complete_after.as_millis() as u64));
                view.note_complete(complete_at.min(clock::now()));
            }
            Ok(ReadProgress { records: records.len(), end })
        }
    }
}

/// Returns the time after which the connection of an unanswered read is suspected to be silent.
fn connection_suspect_delay(host: &CellBox) -> Duration {
    host.store_timeout.borrow().timeout()
}
