//! Claims the lead, and leads the cell for as long as the claim lasts.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sedgehill_adapter::store::{AppendCondition, AppendOutcome, KeyedRecord, StoreTopic};
use sedgehill_cell::authority::{BoxStrength, LeadRecord};
use sedgehill_cell::ids::{BoxName, FencingToken, JobId, OrganisationName};
use sedgehill_cell::scheduler::{HelperId, OWN_BOX, Scheduler};
use sedgehill_cell::standby::StandbySet;
use sedgehill_cell::summary::SummaryFilter;
use sedgehill_cell::timeout::{AdaptiveTimeout, ORDER_TIMEOUT, ResendBudget};
use sedgehill_cell::unsettled::UnsettledJobs;
use sedgehill_core::units::{Moment, TimeSpan};
use slog::{info, warn};
use tokio::sync::Notify;

use super::frames::TopicRecords;
use super::hedge::{self, AppendCall};
use super::lead_log::{AuthorityMonitor, ClaimContext, LeadEndReason};
use super::link_server::{EncodedSummaries, FrameQueue};
use super::recorder::LeadSubmission;
use super::relay::StoreRelay;
use super::renewal::{release_lead, renew};
use super::state::CellBox;
use super::{
    events, lead_log, lead_metrics, link_server, orders, recorder, unsettled, worker_watch,
};
use crate::{clock, telemetry};

/// Interval at which a box checks whether it should claim the lead.
pub const CLAIM_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// The minimum pause between two rounds of the scheduler, so that changes within a few milliseconds
/// are handled together.
const MIN_SCHEDULE_PAUSE: Duration = Duration::from_millis(4);
/// After a round of the scheduler, other tasks may run for at least this many times the duration of
/// the round. Otherwise answers of workers and renewals would be late when many jobs wait.
const SCHEDULE_REST_FACTOR: u32 = 2;
/// The maximum wait before the next round of the scheduler.
const MAX_SCHEDULE_WAIT: Duration = Duration::from_millis(40);
/// The key of lead records in the leads topic.
const LEAD_RECORD_KEY: &str = "lead";
/// The store counts as silent this long after its last answer to an append, in addition to its
/// usual delay. This is several times the answer time of a healthy store, and well below the term
/// of a lead.
const STORE_SILENT_AFTER: TimeSpan = TimeSpan(900);

/// How long a much stronger box must be linked before this lead yields to it, longer than all boxes
/// need to find the lead after a start.
const YIELD_DELAY: TimeSpan = TimeSpan(1_500);

/// How much longer a box without the records that a lead needs waits before it acts on a lost lead,
/// longer than all boxes that stand by need to claim.
const NON_STANDBY_DELAY: TimeSpan = TimeSpan(1_200);

/// The state of a box while it leads.
pub struct LeadSession {
    /// The fencing token of this lead.
    pub token: FencingToken,
    /// The scheduler, which holds the state of the cell.
    pub scheduler: RefCell<Scheduler>,
    /// Wakes the scheduler for another round.
    pub wake: Notify,
    /// Whether the lead has ended.
    pub ended: Cell<bool>,
    /// The boxes that are linked to this lead, with the queue of frames for each.
    pub helpers: RefCell<HashMap<HelperId, FrameQueue>>,
    /// The helper id of each linked box.
    pub helper_ids: RefCell<HashMap<BoxName, HelperId>>,
    /// Relays calls to the store through linked boxes.
    pub relay: StoreRelay,
    /// The timeout of calls to workers, learned from their answers.
    pub order_timeout: RefCell<AdaptiveTimeout>,
    /// Limits how many unanswered starts are sent again.
    pub start_resends: RefCell<ResendBudget>,
    /// Records that are to be forwarded to linked boxes.
    pub outgoing_records: RefCell<Vec<TopicRecords>>,
    /// The states of all jobs as they were last encoded for a box.
    pub encoded_summaries: RefCell<Option<EncodedSummaries>>,
    /// The job states that were sent to linked boxes.
    pub sent_summaries: RefCell<SummaryFilter>,
    /// Submissions that wait to be appended.
    pub submissions: RefCell<Vec<LeadSubmission>>,
    /// The jobs of the submissions in the append under way, with their owners.
    pub in_flight_owners: RefCell<HashMap<JobId, Option<OrganisationName>>>,
    /// The jobs that other boxes may have put into the store without this lead.
    pub unsettled: RefCell<UnsettledJobs>,
    /// Whether the append under way takes so long that the store counts as not answering.
    pub append_stuck: Cell<bool>,
    /// The strengths of the linked boxes.
    pub helper_strengths: RefCell<HashMap<HelperId, BoxStrength>>,
    /// The linked boxes that stand by to lead.
    pub standbys: RefCell<StandbySet>,
    /// Since when a much stronger box has been linked.
    pub stronger_helper_since: Cell<Option<Moment>>,
    /// The version of the configuration whose limits the scheduler uses.
    pub config_version: Cell<u64>,
    /// When the store last answered an append.
    pub last_append_answer: Cell<Moment>,
    /// Notified when the store answers appends again, so that boxes that refuse callers learn of it
    /// at once.
    pub store_recovered: Notify,
}

impl LeadSession {
    /// Returns whether orders may be given now: this box has authority under the session's token,
    /// and no worker has reported a later one.
    pub fn may_order(&self, host: &CellBox) -> bool {
        let token = host.watch.borrow().authority(clock::now());
        let fenced_out = self.scheduler.borrow().is_fenced_out();
        !self.ended.get() && !fenced_out && token == Some(self.token)
    }

    /// Returns whether the store has recently answered an append.
    pub fn store_answers(&self, host: &CellBox) -> bool {
        let silence = clock::now().since(self.last_append_answer.get());
        silence.0 < STORE_SILENT_AFTER.0 + host.store_lag().0
    }

    /// Records the strength of a linked box.
    pub fn note_helper_strength(&self, host: &CellBox, helper: HelperId, strength: BoxStrength) {
        self.helper_strengths.borrow_mut().insert(helper, strength);
        if host.settings.strength.yields_to(strength) && self.stronger_helper_since.get().is_none()
        {
            self.stronger_helper_since.set(Some(clock::now()));
        }
    }

    /// Returns whether a much stronger box has been linked for [`YIELD_DELAY`].
    pub fn should_yield(&self, host: &CellBox) -> bool {
        let own_strength = host.settings.strength;
        let has_stronger_helper =
            self.helper_strengths.borrow().values().any(|other| own_strength.yields_to(*other));
        if !has_stronger_helper {
            self.stronger_helper_since.set(None);
        }
        self.stronger_helper_since
            .get()
            .is_some_and(|since| clock::now().since(since) >= YIELD_DELAY)
    }

    /// Passes the pools and the limits of organisations to the scheduler if the configuration has
    /// changed.
    fn apply_config(&self, host: &CellBox) {
        let config = host.config();
        if self.config_version.replace(config.version) != config.version {
            let pools = config.routes.iter().map(|route| route.policy.pool.clone());
            self.scheduler.borrow_mut().add_named_pools(pools);
            let organisations = &config.organisations;
            self.scheduler.borrow_mut().set_organisations(organisations, clock::now());
            info!(host.log, "limits in force"; "token" => %self.token, "config" => config.version,
                "organisations" => organisations.len(),
                "config_age_ms" => host.config_view.age().map(|age| age.0));
        }
    }

    /// Passes the emptied halls to the scheduler, with how current they are.
    pub fn apply_halls(&self, host: &CellBox) {
        if let Some(known_at) = host.config_view.read_complete_at() {
            let halls = host.emptied_halls.borrow();
            self.scheduler.borrow_mut().set_emptied_halls(&halls, known_at);
        }
    }

    /// Passes an accepted job to the scheduler.
    pub fn add_job(&self, host: &CellBox, id: JobId) {
        let replica = host.replica.borrow();
        let Some(job) = replica.job(id) else { return };
        let Some(record) = job.record.clone() else { return };
        let age = TimeSpan(clock::unix_ms().saturating_sub(record.accepted_unix_ms));
        let now = clock::now();
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.add_job(id, record, &job.progress_for_lead(), age, now);
        if job.cancelled {
            scheduler.cancel_job(id, now);
        }
        self.wake.notify_one();
    }

    /// Passes a cancellation to the scheduler.
    pub fn cancel_job(&self, id: JobId) {
        self.scheduler.borrow_mut().cancel_job(id, clock::now());
        self.wake.notify_one();
    }
}

/// Claims the lead whenever no box holds it, and leads until the lead ends.
pub async fn run(host: Rc<CellBox>) {
    let rank = host.claim_rank();
    loop {
        tokio::time::sleep(CLAIM_CHECK_INTERVAL).await;
        if host.stopping.get() || !host.lead_view.is_fresh() || !host.has_fresh_jobs() {
            continue;
        }
        let now = clock::now();
        host.watch.borrow_mut().note_store_lag(host.store_lag());
        if !host.can_lead() {
            // Boxes that stand by claim first. If none does, this box begins to read all records.
            let shifted_now = Moment(now.0.saturating_sub(NON_STANDBY_DELAY.0));
            if host.watch.borrow().should_claim(shifted_now, rank, &host.settings.authority) {
                info!(host.log, "no box that stands by leads"; "lag_ms" => host.store_lag().0);
                host.reload_full_records();
            }
            continue;
        }
        let is_holder = host.watch.borrow().is_holder();
        if is_holder || host.watch.borrow().should_claim(now, rank, &host.settings.authority) {
            let has_predecessor = host.watch.borrow().has_predecessor();
            let claim_context = ClaimContext::of(&host);
            if claim(&host).await {
                lead_cell(&host, has_predecessor, &claim_context).await;
            }
        }
    }
}

async fn claim(host: &CellBox) -> bool {
    let Some(end) = lead_topic_end(host) else { return false };
    let peers = host.settings.listen.peers.to_string();
    let record = host.watch.borrow().next_claim(&peers);
    append_lead_record(host, None, record, end).await
}

/// Returns the end of the leads topic as far as this box knows. Its reads may be seconds behind its
/// own last renewal.
pub fn lead_topic_end(host: &CellBox) -> Option<u64> {
    let read = host.lead_view.offset.get()?;
    Some(read.max(host.watch.borrow().own_record_end()))
}

/// Appends a lead record if the topic still ends at `end`. Returns whether the record is in the
/// store and still the newest.
pub async fn append_lead_record(
    host: &CellBox,
    session: Option<&LeadSession>,
    record: LeadRecord,
    end: u64,
) -> bool {
    let sent = clock::now();
    let records = [KeyedRecord { key: LEAD_RECORD_KEY.to_owned(), value: record.encode().into() }];
    let condition = AppendCondition::At(end);
    let call = AppendCall { topic: StoreTopic::Leads, records: &records, condition: &condition };
    let result = match session {
        Some(session) => session.append(host, call).await,
        None => hedge::append_hedged(host, call).await,
    };
    match result {
        Ok(AppendOutcome::Kept { end }) => {
            let timing = &host.settings.authority;
            let token = record.token;
            let is_newest = host.watch.borrow_mut().note_own_record(record, sent, end, timing);
            if !is_newest {
                info!(host.log, "lead record overtaken"; "token" => %token,
                    "age_ms" => clock::now().since(sent).0);
            }
            is_newest
        }
        Ok(outcome) => {
            info!(host.log, "lead record not kept";
                "token" => %record.token, "outcome" => ?outcome);
            host.lead_record_stale.notify_waiters();
            false
        }
        Err(error) => {
            warn!(host.log, "lead record unsettled"; "token" => %record.token,
                "age_ms" => clock::now().since(sent).0, "error" => %error);
            false
        }
    }
}

/// Leads the cell until the lead ends.
async fn lead_cell(host: &Rc<CellBox>, has_predecessor: bool, claim_context: &ClaimContext) {
    let Some(claim) = host.watch.borrow().newest().cloned() else { return };
    let token = claim.token;
    telemetry::count_cell_event("lead", "claimed");
    claim_context.count();
    info!(host.log, "leading"; "token" => %token, "predecessor" => has_predecessor);
    host.lead_doubted.notify_waiters();
    host.set_query_mode(false);
    let started = clock::now();
    let mut scheduler =
        Scheduler::take_over(host.settings.cell.clone(), token, has_predecessor, started);
    if let Some(earlier) = claim_context.predecessor_token() {
        scheduler.set_previous_token(earlier);
    }
    if let Some(first) = claim.locations_since {
        scheduler.set_locations_since(first);
    }
    let session = Rc::new(LeadSession {
        token,
        scheduler: RefCell::new(scheduler),
        wake: Notify::new(),
        ended: Cell::new(false),
        helpers: RefCell::default(),
        helper_ids: RefCell::default(),
        relay: StoreRelay::default(),
        order_timeout: RefCell::new(AdaptiveTimeout::new(ORDER_TIMEOUT)),
        start_resends: RefCell::default(),
        outgoing_records: RefCell::default(),
        encoded_summaries: RefCell::default(),
        sent_summaries: RefCell::default(),
        submissions: RefCell::default(),
        in_flight_owners: RefCell::default(),
        unsettled: RefCell::new(UnsettledJobs::new(unsettled::LEAD_CAPACITY)),
        append_stuck: Cell::default(),
        helper_strengths: RefCell::default(),
        standbys: RefCell::new(StandbySet::new(
            host.settings.link,
            host.lead_sends_summaries.get(),
            started,
        )),
        stronger_helper_since: Cell::default(),
        config_version: Cell::default(),
        last_append_answer: Cell::new(clock::now()),
        store_recovered: Notify::new(),
    });
    // The claim is renewed while the store is slow to fence, or another box would claim meanwhile.
    let mut renewing = std::pin::pin!(renew(host, &session));
    let fenced = tokio::select! {
        fenced = recorder::fence(host, token) => fenced.ok_or(LeadEndReason::NotFenced),
        end = renewing.as_mut() => Err(end),
    };
    let mut recorder = match fenced {
        Ok(recorder) => recorder,
        Err(end) => {
            lead_log::log_end(host, &session, end);
            release_lead(host, &session).await;
            return;
        }
    };
    session.scheduler.borrow_mut().note_fenced(clock::now());
    session.scheduler.borrow_mut().add_helper(OWN_BOX);
    let speeds = host.replica.borrow().speeds().clone();
    session.scheduler.borrow_mut().inherit_speeds(&speeds, clock::unix_ms(), clock::now());
    session.apply_config(host);
    session.apply_halls(host);
    let job_ids: Vec<JobId> = host.replica.borrow().jobs().map(|(id, _)| id).collect();
    for id in job_ids {
        session.add_job(host, id);
    }
    session.scheduler.borrow_mut().note_caught_up();
    lead_log::log_take_over(host, &session, claim_context, recorder.fence_offset);
    *host.session.borrow_mut() = Some(session.clone());
    let end = tokio::select! {
        end = renewing.as_mut() => end,
        end = recorder.run(host, &session) => end,
        () = worker_watch::run(host, &session) => LeadEndReason::Halted,
        () = link_server::run_forwarding(host, &session) => LeadEndReason::Halted,
        () = run_scheduler(host, &session) => LeadEndReason::Halted,
        () = lead_metrics::run(&session) => LeadEndReason::Halted,
    };
    session.ended.set(true);
    lead_log::log_end(host, &session, end);
    lead_metrics::reset(&session);
    // Whoever waits for one of these submissions appends it from its own box.
    session.submissions.borrow_mut().clear();
    *host.session.borrow_mut() = None;
    release_lead(host, &session).await;
    telemetry::count_cell_event("lead", "ended");
}

/// Runs the rounds of the scheduler, and carries out its orders.
async fn run_scheduler(host: &Rc<CellBox>, session: &Rc<LeadSession>) {
    let mut monitor = AuthorityMonitor::new();
    loop {
        // Woken or timed out, the next round is due.
        let _ = tokio::time::timeout(MAX_SCHEDULE_WAIT, session.wake.notified()).await;
        let started = Instant::now();
        let may_order = session.may_order(host);
        monitor.update(host, session, may_order);
        if may_order {
            let now = clock::now();
            session.apply_config(host);
            session.apply_halls(host);
            session.scheduler.borrow_mut().set_wall_clock(clock::unix_ms(), now);
            session.scheduler.borrow_mut().schedule(now);
            let orders = session.scheduler.borrow_mut().take_orders();
            for order in orders {
                orders::execute(host, session, order);
            }
        }
        let events = session.scheduler.borrow_mut().take_events();
        for event in &events {
            events::record_event(&host.log, session.token, event);
        }
        tokio::time::sleep(MIN_SCHEDULE_PAUSE.max(started.elapsed() * SCHEDULE_REST_FACTOR)).await;
    }
}
