//! The state that the tasks of a box in cell mode share. All of them run on one thread.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sedgehill_adapter::advice::AdviceClient;
use sedgehill_adapter::config::CellConfig;
use sedgehill_adapter::error::CallError;
use sedgehill_adapter::http_client::HttpClient;
use sedgehill_adapter::store::{StoreClient, StoreTopic};
use sedgehill_adapter::worker::{FailedCall, FailureHandler, WorkerClient};
use sedgehill_cell::authority::LeadWatch;
use sedgehill_cell::halls::EmptiedHalls;
use sedgehill_cell::ids::{JobId, OrganisationName, QueueName};
use sedgehill_cell::reading::{ReadPlan, ReaderRole, ViewAges};
use sedgehill_cell::replica::CellReplica;
use sedgehill_cell::scheduler::WorkerCall;
use sedgehill_cell::timeout::{AdaptiveTimeout, STORE_TIMEOUT};
use sedgehill_cell::unsettled::UnsettledJobs;
use sedgehill_core::client_budget::BudgetLimits;
use sedgehill_core::units::{MemorySize, Moment, TimeSpan};
use slog::{Logger, info, warn};
use tokio::sync::Notify;

use super::callers;
use super::frames::StateAnswer;
use super::lead::LeadSession;
use super::lead_link::LeadLink;
use super::settings::CellSettings;
use super::unsettled;
use crate::client::ClientRegistry;
use crate::connection::ConnectionManager;
use crate::{clock, telemetry};

/// A view of the store counts as fresh for this long after it was last known to be complete. Reads
/// wait up to half a second at the store, so a box that is connected to it confirms its views more
/// often.
const MAX_FRESH_AGE: TimeSpan = TimeSpan(1_800);

/// Interval at which a call that waits for a view that is not older than itself looks at the view.
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Tracks how far a topic was read, and when it was last known to be complete.
#[derive(Debug, Default)]
pub struct TopicView {
    /// The offset to read next; none before the first read.
    pub offset: Cell<Option<u64>>,
    /// Whether all records up to the offset were applied, rather than only the job states that
    /// follow from them.
    pub full_records: Cell<bool>,
    /// How often the store had already dropped the record to be read next.
    pub gaps: Cell<u64>,
    complete_at: Cell<Option<Moment>>,
    read_complete_at: Cell<Option<Moment>>,
    confirmed_at: Cell<Option<Moment>>,
}

/// A view that the lead confirmed as complete within this time is not read from the store, since
/// each read has a cost. Confirmations come every 300 ms.
const MAX_CONFIRMATION_AGE: TimeSpan = TimeSpan(800);

impl TopicView {
    /// Marks the view as unread.
    fn forget(&self) {
        self.offset.set(None);
        self.full_records.set(false);
        self.complete_at.set(None);
        self.read_complete_at.set(None);
        self.confirmed_at.set(None);
    }

    /// Records that the view was complete at a moment not before `complete_at`, by a read of this
    /// box.
    pub fn note_complete(&self, complete_at: Moment) {
        self.read_complete_at.set(self.read_complete_at.get().max(Some(complete_at)));
        self.complete_at.set(self.complete_at.get().max(Some(complete_at)));
    }

    /// Records that the view was complete at a moment not before `complete_at`, without a read of
    /// this box.
    pub fn note_confirmed(&self, complete_at: Moment) {
        self.confirmed_at.set(self.confirmed_at.get().max(Some(complete_at)));
        self.complete_at.set(self.complete_at.get().max(Some(complete_at)));
    }

    /// Returns whether the view was recently confirmed as complete without a read.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed_at
            .get()
            .is_some_and(|confirmed_at| clock::now().since(confirmed_at) <= MAX_CONFIRMATION_AGE)
    }

    /// Returns how long ago the view was complete; none if it never was.
    pub fn age(&self) -> Option<TimeSpan> {
        self.complete_at.get().map(|complete_at| clock::now().since(complete_at))
    }

    /// Returns how current the view is.
    pub fn ages(&self) -> ViewAges {
        let read = self.read_complete_at.get().map(|complete_at| clock::now().since(complete_at));
        ViewAges { known: self.age(), read }
    }

    /// Returns when the view was last complete by a read of this box; none if it never was.
    pub fn read_complete_at(&self) -> Option<Moment> {
        self.read_complete_at.get()
    }

    /// Returns whether the view was complete at `since` or later.
    pub fn is_complete_since(&self, since: Moment) -> bool {
        self.complete_at.get().is_some_and(|complete_at| complete_at >= since)
    }

    /// Returns whether the view is complete except for the last two seconds.
    pub fn is_fresh(&self) -> bool {
        self.complete_at
            .get()
            .is_some_and(|complete_at| clock::now().since(complete_at) <= MAX_FRESH_AGE)
    }
}

/// A box counts as cut off from the store after this time without an answer. Reads wait up to half
/// a second at the store, and a slow store takes about 300 ms more. A store that is only idle or slow
/// must not count as silent, since the first answer after a silence makes all pending calls repeat.
const SILENT_AFTER: TimeSpan = TimeSpan(1_100);

/// After this time without an answer from the store, the lead does not relay calls through this
/// box. Reads wait up to half a second at the store.
const DOUBTFUL_AFTER: TimeSpan = TimeSpan(750);

/// Tracks when the store last answered this box.
#[derive(Debug)]
pub struct StoreContact {
    last_answer: Cell<Moment>,
    /// Until when the store need not have answered, because this box has only asked it to wait.
    quiet_until: Cell<Moment>,
    recovered: Notify,
}

impl StoreContact {
    /// Creates the contact of a box that has just started. The silence is counted from now.
    pub fn new() -> StoreContact {
        let now = clock::now();
        StoreContact {
            last_answer: Cell::new(now),
            quiet_until: Cell::new(now),
            recovered: Notify::new(),
        }
    }

    /// Notes until when a read waits at the store. If the wait is broken off, that is now.
    pub fn set_quiet_until(&self, until: Moment) {
        self.quiet_until.set(until);
    }

    /// Records an answer of the store.
    pub fn note_answer(&self) {
        let was_silent = self.is_silent();
        self.last_answer.set(clock::now());
        if was_silent {
            self.recovered.notify_waiters();
        }
    }

    /// Awaits a call to the store, but aborts it once the store answers another call after a
    /// silence: a call sent before the silence will probably not be answered, and should be
    /// repeated.
    pub async fn abort_on_recovery<T>(
        &self,
        call: impl Future<Output = Result<T, CallError>>,
    ) -> Result<T, CallError> {
        tokio::select! {
            result = call => result,
            () = self.recovered.notified() => {
                Err(CallError::Unknown("aborted to be repeated, since the store answers again".to_owned()))
            }
        }
    }

    /// Returns whether the store has answered after a moment.
    pub fn answered_after(&self, moment: Moment) -> bool {
        self.last_answer.get() > moment
    }

    /// Returns whether the store has not answered for longer than reads usually wait.
    pub fn is_doubtful(&self) -> bool {
        clock::now().since(self.last_answer.get()) > DOUBTFUL_AFTER
    }

    /// Returns whether the box counts as cut off from the store.
    pub fn is_silent(&self) -> bool {
        let expected = self.last_answer.get().max(self.quiet_until.get());
        clock::now().since(expected) > SILENT_AFTER
    }
}

/// The clients for the services of the platform.
pub struct PlatformClients {
    /// Calls the store.
    pub store: StoreClient,
    /// Calls workers.
    pub workers: WorkerClient,
    /// Calls the advice service; none if there is no such service.
    pub advice: Option<AdviceClient>,
    /// The connections that all clients share.
    pub http: HttpClient,
}

/// The state that the tasks of a box share.
pub struct CellBox {
    /// The settings of the box.
    pub settings: CellSettings,
    /// The logger of the box.
    pub log: Logger,
    /// The clients for the services of the platform.
    pub clients: PlatformClients,
    /// The configuration in force.
    pub config: RefCell<Rc<CellConfig>>,
    /// The record of the configuration in force, to send to boxes that cannot read it.
    pub config_record: RefCell<Bytes>,
    /// The data halls that operators have emptied.
    pub emptied_halls: RefCell<EmptiedHalls>,
    /// How current the configuration and the requests to empty halls are.
    pub config_view: TopicView,
    /// The jobs that this box knows.
    pub replica: RefCell<CellReplica>,
    /// How current the jobs are.
    pub jobs_view: TopicView,
    /// How current the progress of jobs is.
    pub progress_view: TopicView,
    /// Tracks when the store last answered.
    pub store_contact: StoreContact,
    /// The timeout of calls to the store, learned from its answers.
    pub store_timeout: RefCell<AdaptiveTimeout>,
    /// Tracks which box leads.
    pub watch: RefCell<LeadWatch>,
    /// How current the knowledge of the lead is.
    pub lead_view: TopicView,
    /// Notified when the newest lead record may be out of date.
    pub lead_record_stale: Notify,
    /// Notified when another box leads, or the lead has resigned.
    pub lead_changed: Notify,
    /// Notified when this box may no longer rely on what the lead of its link confirms.
    pub lead_doubted: Notify,
    /// Whether the lead of the link has this box stand by.
    pub stands_by: Cell<bool>,
    /// The session of this box as the lead; none while it does not lead.
    pub session: RefCell<Option<Rc<LeadSession>>>,
    /// Whether the lead sends job states to the boxes that do not stand by.
    pub lead_sends_summaries: Cell<bool>,
    /// In query mode, when this box last heard from the lead; none outside query mode. In query
    /// mode the box keeps no jobs, and asks the lead for each job state.
    lead_heard_at: Cell<Option<Moment>>,
    /// The jobs that this box may have put into the store without the lead.
    pub unsettled: RefCell<UnsettledJobs>,
    /// The link to the lead; none while there is none.
    pub link: RefCell<Option<Rc<LeadLink>>>,
    /// Whether the box is stopping.
    pub stopping: Cell<bool>,
    /// Notified when the box begins to stop.
    pub stop_requested: Notify,
    /// The connections of callers.
    pub connections: Arc<ConnectionManager>,
    /// The connections of readiness checks and of readers of metrics.
    pub monitoring_connections: Arc<ConnectionManager>,
    /// A random number that distinguishes this process from earlier ones of the box.
    pub life: u64,
    /// When the process started.
    started_at: Moment,
}

/// The process may keep one idle connection for this many file descriptors. Each worker also has a
/// connection with a hold call, and callers and other boxes need theirs. With six idle connections
/// for each of 3,000 workers, a lead ran out of 8,192 descriptors and served 0.43 of the jobs
/// instead of 0.81.
const DESCRIPTORS_PER_IDLE_CONNECTION: usize = 4;

/// What the platform's readiness checks and readers of metrics may hold, apart from callers.
const MONITORING_LIMITS: BudgetLimits =
    BudgetLimits { memory: MemorySize(4 << 20), connections: 64, idle_connections: 48 };

/// How long a box in query mode waits for a sign of the lead. If all boxes restart, the strong ones
/// need about a second to lead.
const QUERY_PATIENCE: TimeSpan = TimeSpan(2_500);

/// Returns a handler that counts the failed calls to workers, and logs those that need an explanation.
fn failed_call_logger(log: Logger) -> FailureHandler {
    Rc::new(move |failed| log_failed_call(&log, failed))
}

fn log_failed_call(log: &Logger, failed: &FailedCall<'_>) {
    let FailedCall { target, call, error, took, connections } = *failed;
    telemetry::count_failed_worker_call(call.name(), error.name());
    if let CallError::Malformed(..) = error {
        warn!(log, "worker's answer not readable"; "worker" => %target.life, "address" => %target.address,
            "error" => %error);
        return;
    }
    // A silent worker has a line of its own, and is asked for reports again and again.
    if call == WorkerCall::Account {
        return;
    }
    info!(log, "worker call failed"; "worker" => %target.life, "address" => %target.address,
        "call" => call.name(), "error" => %error, "took_ms" => took.as_millis() as u64, "connections" => connections);
}

impl CellBox {
    /// Creates the state of a box that has read nothing yet.
    pub fn new(settings: CellSettings, log: Logger) -> CellBox {
        let life = rand::random();
        let http =
            HttpClient::with_max_idle(settings.descriptors / DESCRIPTORS_PER_IDLE_CONNECTION);
        let clients = PlatformClients {
            store: StoreClient::new(http.clone(), settings.store),
            workers: WorkerClient::new(http.clone(), failed_call_logger(log.clone())),
            advice: settings.advice.map(|address| AdviceClient::new(http.clone(), address)),
            http,
        };
        let connect = |clients| {
            let limits = callers::CONNECTION_LIMITS;
            ConnectionManager::new(log.clone(), limits, clients, callers::build_idle_response)
        };
        let connections =
            connect(ClientRegistry::new(log.clone(), "callers", settings.caller_limits()));
        let monitoring_connections =
            connect(ClientRegistry::new(log.clone(), "monitoring", MONITORING_LIMITS));
        let watch = LeadWatch::new(settings.name.clone(), life, settings.strength, clock::now());
        CellBox {
            settings,
            log,
            clients,
            config: RefCell::default(),
            config_record: RefCell::default(),
            emptied_halls: RefCell::default(),
            config_view: TopicView::default(),
            replica: RefCell::default(),
            jobs_view: TopicView::default(),
            progress_view: TopicView::default(),
            store_contact: StoreContact::new(),
            store_timeout: RefCell::new(AdaptiveTimeout::new(STORE_TIMEOUT)),
            watch: RefCell::new(watch),
            lead_view: TopicView::default(),
            lead_record_stale: Notify::new(),
            lead_changed: Notify::new(),
            lead_doubted: Notify::new(),
            stands_by: Cell::new(false),
            session: RefCell::default(),
            lead_sends_summaries: Cell::new(true),
            lead_heard_at: Cell::default(),
            unsettled: RefCell::new(UnsettledJobs::new(unsettled::BOX_CAPACITY)),
            link: RefCell::default(),
            stopping: Cell::new(false),
            stop_requested: Notify::new(),
            connections,
            monitoring_connections,
            life,
            started_at: clock::now(),
        }
    }

    /// Returns how much later than usual a record arrives by way of the store: the time of an
    /// append, of a read, and of the read that was under way before.
    pub fn store_lag(&self) -> TimeSpan {
        const CALLS_PER_RECORD: u64 = 3;
        TimeSpan(CALLS_PER_RECORD * self.store_timeout.borrow().average().as_millis() as u64)
    }

    /// Returns whether the platform should send callers to this box.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get()
            && self.config_view.is_fresh()
            && (self.has_fresh_jobs() || self.can_query_lead())
            && self.config.borrow().version > 0
    }

    /// Returns whether the lead may make its calls to the store through this box. A box that relies
    /// on the lead hears from the store only every few seconds.
    pub fn may_relay(&self) -> bool {
        match self.read_plan().relies_on_lead() {
            true => !self.store_contact.is_silent(),
            false => !self.store_contact.is_doubtful(),
        }
    }

    /// Returns how this box reads the topics that every box follows.
    pub fn read_plan(&self) -> ReadPlan {
        let role = ReaderRole {
            leads: self.session.borrow().is_some() || self.watch.borrow().is_holder(),
            stands_by: self.stands_by.get(),
            hears_lead: self.can_query_lead(),
        };
        ReadPlan::of(role, self.life)
    }

    /// Returns whether there is a link to a lead that the store answers.
    fn can_query_lead(&self) -> bool {
        self.link.borrow().as_ref().is_some_and(|link| link.takes_submissions())
    }

    /// Returns what this box knows of the state of a job. A caller gets the same answer for a job
    /// of another organisation as for one that does not exist.
    pub fn local_job_state(&self, job: JobId, caller: Option<&OrganisationName>) -> StateAnswer {
        match self.replica.borrow().job(job) {
            Some(known) if !known.is_accessible_to(caller) => StateAnswer::NoJob,
            Some(known) => StateAnswer::Known(known.state()),
            None if self.has_fresh_jobs() => StateAnswer::NoJob,
            None => StateAnswer::Untold,
        }
    }

    /// Returns how many jobs of a queue wait, by this box's own knowledge or else the lead's; none
    /// if neither knows.
    pub async fn count_waiting(&self, queue: &QueueName) -> Option<u64> {
        if self.has_fresh_jobs() {
            return Some(self.replica.borrow().waiting_count(queue) as u64);
        }
        let link = self.link.borrow().clone()?;
        link.ask_waiting(queue.clone()).await
    }

    /// Returns the state of a job, by this box's own knowledge or else the lead's.
    pub async fn find_job_state(
        &self,
        job: JobId,
        caller: Option<&OrganisationName>,
    ) -> StateAnswer {
        let link = self.link.borrow().clone();
        match (self.local_job_state(job, caller), link) {
            (StateAnswer::Untold, Some(link)) => link.ask_state(job, caller.cloned()).await,
            (answer, _) => answer,
        }
    }

    /// Returns the state of a job by knowledge that is not older than `since`. A box hears of a job
    /// that another box accepted some milliseconds later, so it waits until it knows the job, or its
    /// views were complete at `since`: jobs that the lead accepts are in the progress topic, all
    /// others in the jobs topic. A view that does not get there is soon no longer fresh, and the
    /// lead is asked. A job of another organisation needs no wait: it is not the caller's.
    pub async fn find_job_state_since(
        &self,
        job: JobId,
        caller: Option<&OrganisationName>,
        since: Moment,
    ) -> StateAnswer {
        let give_up_at = since.after(MAX_FRESH_AGE);
        loop {
            let is_known = self.replica.borrow().job(job).is_some();
            let views = [&self.jobs_view, &self.progress_view];
            let is_current = is_known || views.iter().all(|view| view.is_complete_since(since));
            let link = self.link.borrow().clone();
            match (self.local_job_state(job, caller), link) {
                (StateAnswer::Untold, Some(link)) => {
                    return link.ask_state(job, caller.cloned()).await;
                }
                (StateAnswer::NoJob, _) if !is_current => {}
                (answer, _) => return answer,
            }
            if clock::now() >= give_up_at {
                return StateAnswer::Untold;
            }
            tokio::time::sleep(VIEW_POLL_INTERVAL).await;
        }
    }

    /// Returns whether jobs can be accepted: through a lead, which knows whether a job was accepted
    /// before, or by this box if it knows that itself and the store answers.
    pub fn can_accept(&self) -> bool {
        let is_relaying =
            self.session.borrow().as_ref().is_some_and(|session| session.is_relaying());
        let reaches_store = is_relaying || !self.store_contact.is_silent();
        self.can_query_lead() || (self.has_fresh_jobs() && reaches_store)
    }

    /// Returns whether this box has applied all records that a lead needs.
    pub fn can_lead(&self) -> bool {
        self.jobs_view.full_records.get() && self.progress_view.full_records.get()
    }

    /// Returns whether this box leaves it to other boxes to read the records that a lead needs,
    /// because it has just started. Until the lead sends it job states, it asks the lead for each.
    /// When all of 97 boxes read everything at once, those that can lead had it after 0.4 s instead
    /// of 0.1 s.
    pub fn defers_reads(&self) -> bool {
        let (rank, hears_lead) = (self.claim_rank(), self.can_query_lead());
        let deferral = self.watch.borrow().read_deferral(rank, hears_lead);
        let just_started = clock::now().since(self.started_at) < deferral;
        let is_unread = self.progress_view.offset.get().is_none();
        just_started && is_unread && !self.stands_by.get()
    }

    /// Returns a rank that spreads the claims and the first reads of several boxes in time.
    pub fn claim_rank(&self) -> u64 {
        const RANK_COUNT: u64 = 8;
        self.life % RANK_COUNT
    }

    /// Returns whether this box is in query mode, in which it asks the lead for job states. A box
    /// that has not heard from the lead for [`QUERY_PATIENCE`] reads everything instead, since there
    /// may be no other box left that could lead.
    pub fn queries_lead(&self) -> bool {
        let lead_heard_at = self.lead_heard_at.get();
        lead_heard_at.is_some_and(|heard_at| clock::now().since(heard_at) < QUERY_PATIENCE)
    }

    /// Records that the lead is alive.
    pub fn note_lead_heard(&self) {
        if self.lead_heard_at.get().is_some() {
            self.lead_heard_at.set(Some(clock::now()));
        }
    }

    /// Turns query mode on or off.
    pub fn set_query_mode(&self, enabled: bool) {
        // A box that has claimed the lead needs the jobs itself.
        let enabled = enabled && !self.watch.borrow().is_holder();
        self.lead_heard_at.set(enabled.then(clock::now));
        if enabled {
            // The known jobs are no longer updated from now on.
            self.replica.replace(CellReplica::default());
            for view in [&self.jobs_view, &self.progress_view] {
                view.forget();
            }
        }
    }

    /// Makes the follower tasks read jobs and progress from the start where only states are known,
    /// so that this box could lead.
    pub fn reload_full_records(&self) {
        for view in [&self.jobs_view, &self.progress_view] {
            if !view.full_records.get() {
                view.offset.set(None);
            }
        }
    }

    /// Returns whether the jobs and their progress are known except for the last two seconds.
    pub fn has_fresh_jobs(&self) -> bool {
        self.jobs_view.is_fresh() && self.progress_view.is_fresh()
    }

    /// Returns the view of a topic; none for the worker list, which has no view.
    pub fn view(&self, topic: StoreTopic) -> Option<&TopicView> {
        match topic {
            StoreTopic::Operators => Some(&self.config_view),
            StoreTopic::Leads => Some(&self.lead_view),
            StoreTopic::Jobs => Some(&self.jobs_view),
            StoreTopic::Progress => Some(&self.progress_view),
            StoreTopic::Workers => None,
        }
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Rc<CellConfig> {
        self.config.borrow().clone()
    }
}
