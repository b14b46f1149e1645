//! Claims the lead, renews it, and does the lead's work while the claim lasts.

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
use sedgehill_core::units::{Moment, TimeSpan};
use slog::{info, warn};
use tokio::sync::Notify;

use super::frames::FedRecords;
use super::hedge::{self, AppendCall};
use super::peers::FrameQueue;
use super::recorder::LedSubmission;
use super::relay::RelayDesk;
use super::renewal::{give_up, renew};
use super::sight::{AuthoritySight, FollowedLead, LeadEnd};
use super::state::CellBox;
use super::{events, figures, orders, peers, recorder, roster, sight};
use crate::{clock, telemetry};

/// Time between two looks at who leads.
pub const WATCH_TURN: Duration = Duration::from_millis(40);
/// The least time between two turns of the scheduler: changes of a few milliseconds are taken
/// together.
const TURN_PAUSE: Duration = Duration::from_millis(4);
/// After a turn the box does other things for at least this many times as long as the turn took, so
/// that answers of workers and renewals are not late when many jobs wait.
const TURN_REST: u32 = 2;
/// The most time between two turns of the scheduler.
const TURN_MOST: Duration = Duration::from_millis(40);
/// The key under which claims stand.
const LEAD_KEY: &str = "lead";
/// A store that has not answered for so long is taken as not answering. Several times the answer of
/// a sound store, several times less than the term of a lead.
const STORE_SILENT: TimeSpan = TimeSpan(900);

/// A much stronger box must have kept its link for so long before the lead is handed over: longer
/// than all boxes take to find the lead at a start.
const YIELD_AFTER: TimeSpan = TimeSpan(1_500);

/// How much longer a box waits that does not know what a lead needs: longer than all boxes take that stand
/// by.
const STANDBY_LEAD: TimeSpan = TimeSpan(1_200);

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
    pub names: RefCell<HashMap<BoxName, HelperId>>,
    /// Calls to the store by way of them.
    pub relay: RelayDesk,
    /// How long a start or a stop may take.
    pub order_patience: RefCell<AdaptiveTimeout>,
    /// How many starts may be sent again.
    pub repeats: RefCell<ResendBudget>,
    /// Records that are to be passed on to them.
    pub fed: RefCell<Vec<FedRecords>>,
    /// What they were told of jobs.
    pub told: RefCell<SummaryFilter>,
    /// What callers said, on its way into the store.
    pub submissions: RefCell<Vec<LedSubmission>>,
    /// The jobs in the append under way, with their owners.
    pub in_flight: RefCell<HashMap<JobId, Option<OrganisationName>>>,
    /// The append under way takes so long that the store is taken as not answering.
    pub stuck: Cell<bool>,
    /// The strengths of those boxes.
    pub strengths: RefCell<HashMap<HelperId, BoxStrength>>,
    /// Which of them stand by to lead.
    pub standbys: RefCell<StandbySet>,
    /// Since when a much stronger box has helped.
    pub outdone: Cell<Option<Moment>>,
    /// The version of the configuration whose limits the scheduler goes by.
    pub config: Cell<u64>,
    /// When the store last answered an append.
    pub answered: Cell<Moment>,
    /// Rung when the store answers appends again: boxes that refuse callers are told at once.
    pub store_back: Notify,
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
        let silence = clock::now().since(self.answered.get());
        silence.0 < STORE_SILENT.0 + host.store_lag().0
    }

    /// Notes the strength of a box that helps.
    pub fn note_helper(&self, host: &CellBox, helper: HelperId, strength: BoxStrength) {
        self.strengths.borrow_mut().insert(helper, strength);
        if host.settings.strength.yields_to(strength) && self.outdone.get().is_none() {
            self.outdone.set(Some(clock::now()));
        }
    }

    /// Whether a much stronger box helps, and has for long enough to be relied on.
    pub fn should_yield(&self, host: &CellBox) -> bool {
        let own = host.settings.strength;
        let outdone = self.strengths.borrow().values().any(|other| own.yields_to(*other));
        if !outdone {
            self.outdone.set(None);
        }
        self.outdone.get().is_some_and(|since| clock::now().since(since) >= YIELD_AFTER)
    }

    /// Takes in the limits of organisations, if the configuration changed.
    fn take_config(&self, host: &CellBox) {
        let config = host.config();
        if self.config.replace(config.version) != config.version {
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
        scheduler.add_job(id, record, &job.progress_for_lead(), age, now);
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
        tokio::time::sleep(WATCH_TURN).await;
        if host.stopping.get() || !host.lead_view.is_fresh() || !host.knows_jobs() {
            continue;
        }
        let now = clock::now();
        host.watch.borrow_mut().note_store_lag(host.store_lag());
        if !host.could_lead() {
            // Boxes that stand by go first. If none is left, this one begins to follow everything.
            let begins = Moment(now.0.saturating_sub(STANDBY_LEAD.0));
            if host.watch.borrow().should_claim(begins, rank, &host.settings.authority) {
                info!(host.log, "no box that stands by leads"; "lag_ms" => host.store_lag().0);
                host.read_anew();
            }
            continue;
        }
        let holder = host.watch.borrow().is_holder();
        if holder || host.watch.borrow().should_claim(now, rank, &host.settings.authority) {
            let predecessor = host.watch.borrow().has_predecessor();
            let followed = FollowedLead::of(&host);
            if claim(&host).await {
                lead(&host, predecessor, &followed).await;
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
    let Some(end) = lead_end(host) else { return false };
    let peers = host.settings.listen.peers.to_string();
    let record = host.watch.borrow().next_claim(&peers);
    append_lead(host, None, record, end).await
}

/// Where the topic of leads ends, as far as this box knows. Reads may be seconds behind its own last
/// renewal.
pub fn lead_end(host: &CellBox) -> Option<u64> {
    let read = host.lead_view.offset.get()?;
    Some(read.max(host.watch.borrow().own_record_end()))
}

/// Appends a lead record if the topic still ends at `end`. Returns whether it stands as the newest.
pub async fn append_lead(
    host: &CellBox,
    session: Option<&LeadSession>,
    record: LeadRecord,
    end: u64,
) -> bool {
    let sent = clock::now();
    let records = [KeyedRecord { key: LEAD_KEY.to_owned(), value: record.encode().into() }];
    let condition = AppendCondition::At(end);
    let call = AppendCall { topic: StoreTopic::Leads, records: &records, condition: &condition };
    let result = match session {
        Some(session) => session.append(host, call).await,
        None => hedge::append_twice(host, call).await,
    };
    match result {
        Ok(AppendOutcome::Kept { end }) => {
            let timing = &host.settings.authority;
            let token = record.token;
            let stands = host.watch.borrow_mut().note_own_record(record, sent, end, timing);
            if !stands {
                info!(host.log, "lead record overtaken"; "token" => %token,
                    "age_ms" => clock::now().since(sent).0);
            }
            stands
        }
        Ok(outcome) => {
            info!(host.log, "lead record not kept";
                "token" => %record.token, "outcome" => ?outcome);
            host.lead_doubted.notify_waiters();
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
async fn lead(host: &Rc<CellBox>, predecessor: bool, followed: &FollowedLead) {
    let Some(token) = host.watch.borrow().newest().map(|record| record.token) else { return };
    telemetry::count_cell_event("lead", "claimed");
    followed.count();
    info!(host.log, "leading"; "token" => %token, "predecessor" => predecessor);
    host.set_asking(false);
    let began = clock::now();
    let mut scheduler = Scheduler::take_over(host.settings.cell.clone(), token, predecessor, began);
    if let Some(earlier) = followed.token() {
        scheduler.set_previous_token(earlier);
    }
    let session = Rc::new(LeadSession {
        token,
        scheduler: RefCell::new(scheduler),
        wake: Notify::new(),
        ended: Cell::new(false),
        helpers: RefCell::default(),
        names: RefCell::default(),
        relay: RelayDesk::default(),
        order_patience: RefCell::new(AdaptiveTimeout::new(ORDER_TIMEOUT)),
        repeats: RefCell::default(),
        fed: RefCell::default(),
        told: RefCell::default(),
        submissions: RefCell::default(),
        in_flight: RefCell::default(),
        stuck: Cell::default(),
        strengths: RefCell::default(),
        standbys: RefCell::new(StandbySet::new(host.settings.link, host.lead_tells.get(), began)),
        outdone: Cell::default(),
        config: Cell::default(),
        answered: Cell::new(clock::now()),
        store_back: Notify::new(),
    });
    // Renewals go on while the store is slow to fence, or another box would claim meanwhile.
    let mut renewing = std::pin::pin!(renew(host, &session));
    let fenced = tokio::select! {
        fenced = recorder::fence(host, token) => fenced.ok_or(LeadEnd::NotFenced),
        end = renewing.as_mut() => Err(end),
    };
    let mut recorder = match fenced {
        Ok(recorder) => recorder,
        Err(end) => {
            sight::note_end(host, &session, end);
            give_up(host, &session).await;
            return;
        }
    };
    session.scheduler.borrow_mut().note_fenced(clock::now());
    session.scheduler.borrow_mut().add_helper(OWN_BOX);
    session.take_config(host);
    let known: Vec<JobId> = host.replica.borrow().jobs().map(|(id, _)| id).collect();
    for id in known {
        session.add_job(host, id);
    }
    session.scheduler.borrow_mut().note_caught_up();
    sight::note_taking_over(host, &session, followed, recorder.fence);
    *host.session.borrow_mut() = Some(session.clone());
    let end = tokio::select! {
        end = renewing.as_mut() => end,
        () = recorder.run(host, &session) => LeadEnd::FencedByStore,
        () = roster::follow(host, &session) => LeadEnd::Halted,
        () = peers::feed(host, &session) => LeadEnd::Halted,
        () = take_turns(host, &session) => LeadEnd::Halted,
        () = figures::show(&session) => LeadEnd::Halted,
    };
    session.ended.set(true);
    sight::note_end(host, &session, end);
    figures::clear(&session);
    // Whoever waits for one of them puts it into the store by itself.
    session.submissions.borrow_mut().clear();
    *host.session.borrow_mut() = None;
    give_up(host, &session).await;
    telemetry::count_cell_event("lead", "ended");
}

/// Lets the scheduler decide, and carries out its orders.
async fn take_turns(host: &Rc<CellBox>, session: &Rc<LeadSession>) {
    let mut authority = AuthoritySight::new();
    loop {
        let _ = tokio::time::timeout(TURN_MOST, session.wake.notified()).await;
        let begun = Instant::now();
        let may_order = session.may_order(host);
        authority.note(host, session, may_order);
        if may_order {
            let now = clock::now();
            session.take_config(host);
            session.scheduler.borrow_mut().set_wall_clock(clock::unix_ms(), now);
            session.scheduler.borrow_mut().schedule(now);
            let orders = session.scheduler.borrow_mut().take_orders();
            for order in orders {
                orders::carry_out(host, session, order);
            }
        }
        let events = session.scheduler.borrow_mut().take_events();
        for event in &events {
            events::note(&host.log, session.token, event);
        }
        tokio::time::sleep(TURN_PAUSE.max(begun.elapsed() * TURN_REST)).await;
    }
}
