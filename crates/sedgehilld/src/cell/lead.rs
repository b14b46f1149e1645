//! Claims the lead, renews it, and does the lead's work while the claim lasts.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sedgehill_adapter::store::{AppendCondition, AppendOutcome, KeyedRecord, StoreTopic};
use sedgehill_cell::authority::{BoxStrength, LeadRecord};
use sedgehill_cell::brief::BriefLedger;
use sedgehill_cell::ids::{BoxName, FencingToken, JobId, OrganisationName};
use sedgehill_cell::patience::{CallPatience, ORDER_PATIENCE, RepeatBudget};
use sedgehill_cell::scheduler::{HelperId, OWN_BOX, Scheduler};
use sedgehill_cell::standby::StandbySet;
use sedgehill_core::units::{Moment, TimeSpan};
use slog::{info, warn};
use tokio::sync::Notify;

use super::frames::TopicRecords;
use super::hedge::{self, AppendCall};
use super::lead_log::{AuthorityMonitor, ClaimContext, LeadEndReason};
use super::link_server::FrameQueue;
use super::recorder::LeadSubmission;
use super::relay::StoreRelay;
use super::renewal::{release_lead, renew};
use super::state::CellBox;
use super::{events, lead_log, lead_metrics, link_server, orders, recorder, worker_watch};
use crate::{clock, telemetry};

/// Time between two looks at who leads.
pub const CLAIM_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// The least time between two turns of the scheduler: changes of a few milliseconds are taken
/// together.
const MIN_SCHEDULE_PAUSE: Duration = Duration::from_millis(4);
/// After a turn the box does other things for at least this many times as long as the turn took, so
/// that answers of workers and renewals are not late when many jobs wait.
const SCHEDULE_REST_FACTOR: u32 = 2;
/// The most time between two turns of the scheduler.
const MAX_SCHEDULE_WAIT: Duration = Duration::from_millis(40);
/// The key under which claims stand.
const LEAD_RECORD_KEY: &str = "lead";
/// A store that has not answered for so long is taken as not answering. Several times the answer of
/// a sound store, several times less than the term of a lead.
const STORE_SILENT_AFTER: TimeSpan = TimeSpan(900);

/// A much stronger box must have kept its link for so long before the lead is handed over: longer
/// than all boxes take to find the lead at a start.
const YIELD_DELAY: TimeSpan = TimeSpan(1_500);

/// How much longer a box waits that does not know what a lead needs: longer than all boxes take that stand
/// by.
const NON_STANDBY_DELAY: TimeSpan = TimeSpan(1_200);

/// What a box does while it leads.
pub struct LeadSession {
    /// The token of this lead.
    pub token: FencingToken,
    /// The state of the cell.
    pub scheduler: RefCell<Scheduler>,
    /// Rung when the scheduler should take a turn.
    pub wake: Notify,
    /// Set when the lead is over.
    pub ended: Cell<bool>,
    /// The boxes that keep a link, with the queue of frames for each.
    pub helpers: RefCell<HashMap<HelperId, FrameQueue>>,
    /// Which of them a box is.
    pub helper_ids: RefCell<HashMap<BoxName, HelperId>>,
    /// Calls to the store by way of them.
    pub relay: StoreRelay,
    /// How long a start or a stop may take.
    pub order_timeout: RefCell<CallPatience>,
    /// How many starts may be sent again.
    pub start_resends: RefCell<RepeatBudget>,
    /// Records that are to be passed on to them.
    pub outgoing_records: RefCell<Vec<TopicRecords>>,
    /// What they were told of jobs.
    pub sent_summaries: RefCell<BriefLedger>,
    /// What callers said, on its way into the store.
    pub submissions: RefCell<Vec<LeadSubmission>>,
    /// The jobs in the append under way, with their owners.
    pub in_flight_owners: RefCell<HashMap<JobId, Option<OrganisationName>>>,
    /// The append under way takes so long that the store is taken as not answering.
    pub append_stuck: Cell<bool>,
    /// The strengths of those boxes.
    pub helper_strengths: RefCell<HashMap<HelperId, BoxStrength>>,
    /// Which of them stand by to lead.
    pub standbys: RefCell<StandbySet>,
    /// Since when a much stronger box has helped.
    pub stronger_helper_since: Cell<Option<Moment>>,
    /// The version of the configuration whose limits the scheduler goes by.
    pub config_version: Cell<u64>,
    /// When the store last answered an append.
    pub last_append_answer: Cell<Moment>,
    /// Rung when the store answers appends again: boxes that refuse callers are told at once.
    pub store_recovered: Notify,
}

impl LeadSession {
    /// Whether orders may be given now. A lead that a worker has told of a later one gives none.
    pub fn may_order(&self, host: &CellBox) -> bool {
        let token = host.watch.borrow().authority(clock::now());
        let fenced_out = self.scheduler.borrow().is_fenced_out();
        !self.ended.get() && !fenced_out && token == Some(self.token)
    }

    /// Whether the store has answered an append lately.
    pub fn store_answers(&self, host: &CellBox) -> bool {
        let silence = clock::now().since(self.last_append_answer.get());
        silence.0 < STORE_SILENT_AFTER.0 + host.store_lag().0
    }

    /// Notes the strength of a box that helps.
    pub fn note_helper_strength(&self, host: &CellBox, helper: HelperId, strength: BoxStrength) {
        self.helper_strengths.borrow_mut().insert(helper, strength);
        if host.settings.strength.yields_to(strength) && self.stronger_helper_since.get().is_none()
        {
            self.stronger_helper_since.set(Some(clock::now()));
        }
    }

    /// Whether a much stronger box helps, and has for long enough to be relied on.
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

    /// Takes in the limits of organisations, if the configuration changed.
    fn apply_limits(&self, host: &CellBox) {
        let config = host.config();
        if self.config_version.replace(config.version) != config.version {
            let organisations = &config.organisations;
            self.scheduler.borrow_mut().set_organisations(organisations, clock::now());
            info!(host.log, "limits in force"; "token" => %self.token, "config" => config.version,
                "organisations" => organisations.len(),
                "config_age_ms" => host.config_view.age().map(|age| age.0));
        }
    }

    /// Takes in a job that was accepted.
    pub fn add_job(&self, host: &CellBox, id: JobId) {
        let replica = host.replica.borrow();
        let Some(job) = replica.job(id) else { return };
        let Some(record) = job.record.clone() else { return };
        let age = TimeSpan(clock::unix_ms().saturating_sub(record.accepted_unix_ms));
        let now = clock::now();
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.add_job(id, record, &job.kept(), age, now);
        if job.cancelled {
            scheduler.cancel_job(id, now);
        }
        self.wake.notify_one();
    }

    /// Takes in a cancellation.
    pub fn cancel_job(&self, id: JobId) {
        self.scheduler.borrow_mut().cancel_job(id, clock::now());
        self.wake.notify_one();
    }
}

/// Claims the lead when nobody holds it, and holds it.
pub async fn run(host: Rc<CellBox>) {
    let rank = claim_rank(&host);
    loop {
        tokio::time::sleep(CLAIM_CHECK_INTERVAL).await;
        if host.stopping.get() || !host.lead_view.is_fresh() || !host.has_fresh_jobs() {
            continue;
        }
        let now = clock::now();
        host.watch.borrow_mut().note_store_lag(host.store_lag());
        if !host.can_lead() {
            // Boxes that stand by go first. If none is left, this one begins to follow everything.
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

/// Spreads the claims of several boxes over some moments.
fn claim_rank(host: &CellBox) -> u64 {
    const RANKS: u64 = 8;
    host.life % RANKS
}

async fn claim(host: &CellBox) -> bool {
    let Some(end) = lead_topic_end(host) else { return false };
    let peers = host.settings.listen.peers.to_string();
    let record = host.watch.borrow().next_claim(&peers);
    append_lead_record(host, None, record, end).await
}

/// Where the topic of leads ends, as far as this box knows. Reads may be seconds behind its own last
/// renewal.
pub fn lead_topic_end(host: &CellBox) -> Option<u64> {
    let read = host.lead_view.offset.get()?;
    Some(read.max(host.watch.borrow().own_end()))
}

/// Appends a lead record if the topic still ends at `end`. Returns whether it stands as the newest.
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
            let is_newest = host.watch.borrow_mut().note_own(record, sent, end, timing);
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

/// Does the lead's work until the lead is over.
async fn lead_cell(host: &Rc<CellBox>, has_predecessor: bool, claim_context: &ClaimContext) {
    let Some(token) = host.watch.borrow().newest().map(|record| record.token) else { return };
    telemetry::count_cell_event("lead", "claimed");
    claim_context.count();
    info!(host.log, "leading"; "token" => %token, "predecessor" => has_predecessor);
    host.set_query_mode(false);
    let started = clock::now();
    let mut scheduler =
        Scheduler::take_over(host.settings.cell.clone(), token, has_predecessor, started);
    if let Some(earlier) = claim_context.predecessor_token() {
        scheduler.note_follows(earlier);
    }
    let session = Rc::new(LeadSession {
        token,
        scheduler: RefCell::new(scheduler),
        wake: Notify::new(),
        ended: Cell::new(false),
        helpers: RefCell::default(),
        helper_ids: RefCell::default(),
        relay: StoreRelay::default(),
        order_timeout: RefCell::new(CallPatience::new(ORDER_PATIENCE)),
        start_resends: RefCell::default(),
        outgoing_records: RefCell::default(),
        sent_summaries: RefCell::default(),
        submissions: RefCell::default(),
        in_flight_owners: RefCell::default(),
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
    // Renewals go on while the store is slow to fence, or another box would claim meanwhile.
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
    session.apply_limits(host);
    let job_ids: Vec<JobId> = host.replica.borrow().jobs().map(|(id, _)| id).collect();
    for id in job_ids {
        session.add_job(host, id);
    }
    session.scheduler.borrow_mut().note_caught_up();
    lead_log::log_take_over(host, &session, claim_context, recorder.fence_offset);
    *host.session.borrow_mut() = Some(session.clone());
    let end = tokio::select! {
        end = renewing.as_mut() => end,
        () = recorder.run(host, &session) => LeadEndReason::FencedByStore,
        () = worker_watch::run(host, &session) => LeadEndReason::Halted,
        () = link_server::run_forwarding(host, &session) => LeadEndReason::Halted,
        () = run_scheduler(host, &session) => LeadEndReason::Halted,
        () = lead_metrics::run(&session) => LeadEndReason::Halted,
    };
    session.ended.set(true);
    lead_log::log_end(host, &session, end);
    lead_metrics::reset(&session);
    // Whoever waits for one of them puts it into the store by itself.
    session.submissions.borrow_mut().clear();
    *host.session.borrow_mut() = None;
    release_lead(host, &session).await;
    telemetry::count_cell_event("lead", "ended");
}

/// Lets the scheduler decide, and carries out its orders.
async fn run_scheduler(host: &Rc<CellBox>, session: &Rc<LeadSession>) {
    let mut monitor = AuthorityMonitor::new();
    loop {
        let _ = tokio::time::timeout(MAX_SCHEDULE_WAIT, session.wake.notified()).await;
        let started = Instant::now();
        let may_order = session.may_order(host);
        monitor.update(host, session, may_order);
        if may_order {
            let now = clock::now();
            session.apply_limits(host);
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
