//! What the tasks of a box in cell mode share. They run on one thread.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use sedgehill_adapter::advice::AdviceClient;
use sedgehill_adapter::config::CellConfig;
use sedgehill_adapter::error::CallError;
use sedgehill_adapter::http_client::HttpClient;
use sedgehill_adapter::store::{StoreClient, StoreTopic};
use sedgehill_adapter::worker::{MalformedReport, WorkerClient};
use sedgehill_cell::authority::LeadWatch;
use sedgehill_cell::ids::{JobId, OrganisationName, QueueName};
use sedgehill_cell::patience::{CallPatience, STORE_PATIENCE};
use sedgehill_cell::replica::CellReplica;
use sedgehill_core::units::{Moment, TimeSpan};
use slog::{Logger, warn};
use tokio::sync::Notify;

use super::callers;
use super::frames::StateAnswer;
use super::lead::LeadSession;
use super::lead_link::LeadLink;
use super::settings::CellSettings;
use crate::clock;
use crate::connection::ConnectionDesk;

/// A view of the store that was last proved complete longer ago is not taken as fresh. Reads wait
/// half a second at the most, so a box in touch proves it more often.
const MAX_FRESH_AGE: TimeSpan = TimeSpan(1_800);

/// A following of one topic: how far it was read, and when that was last complete.
#[derive(Debug, Default)]
pub struct TopicView {
    /// The offset to read next; none before the first reading.
    pub offset: Cell<Option<u64>>,
    /// Whether every record up to there was taken in, and not only what it says of states.
    pub full_records: Cell<bool>,
    /// How often the store had dropped what was to be read next.
    pub gaps: Cell<u64>,
    complete_at: Cell<Option<Moment>>,
    confirmed_at: Cell<Option<Moment>>,
}

/// A view that the lead proved complete less long ago is not read from the store: each read is paid
/// for. Proofs come every 300 ms.
const MAX_CONFIRMATION_AGE: TimeSpan = TimeSpan(800);

impl TopicView {
    /// What was read is out of date from now on.
    fn forget(&self) {
        self.offset.set(None);
        self.full_records.set(false);
        self.complete_at.set(None);
        self.confirmed_at.set(None);
    }

    /// Notes that all records up to a moment not before `asked` were read.
    pub fn note_complete(&self, complete_at: Moment) {
        self.complete_at.set(self.complete_at.get().max(Some(complete_at)));
    }

    /// Notes that the view was complete at a moment not before `asked`, without a read of its own.
    pub fn note_confirmed(&self, complete_at: Moment) {
        self.confirmed_at.set(self.confirmed_at.get().max(Some(complete_at)));
        self.complete_at.set(self.complete_at.get().max(Some(complete_at)));
    }

    /// Whether the view was proved complete lately without a read.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed_at
            .get()
            .is_some_and(|confirmed_at| clock::now().since(confirmed_at) <= MAX_CONFIRMATION_AGE)
    }

    /// How long ago the view was complete; none if it never was.
    pub fn age(&self) -> Option<TimeSpan> {
        self.complete_at.get().map(|complete_at| clock::now().since(complete_at))
    }

    /// Whether the view is complete but for the last moments.
    pub fn is_fresh(&self) -> bool {
        self.complete_at
            .get()
            .is_some_and(|complete_at| clock::now().since(complete_at) <= MAX_FRESH_AGE)
    }
}

/// A box that has heard nothing from the store for longer is cut from it. Reads wait half a second at
/// the most, and a slow store takes some 300 ms more: a store that is merely idle or slow must never
/// count as silent, since the first answer after a silence repeats all other calls.
const SILENT_AFTER: TimeSpan = TimeSpan(1_100);

/// A box that has heard nothing for longer is not asked to call for others. Reads wait half a second.
const DOUBTFUL_AFTER: TimeSpan = TimeSpan(750);

/// When the store last answered this box.
#[derive(Debug)]
pub struct StoreContact {
    last_answer: Cell<Moment>,
    recovered: Notify,
}

impl StoreContact {
    /// The contact of a box that has just started.
    pub fn new() -> StoreContact {
        StoreContact { last_answer: Cell::new(clock::now()), recovered: Notify::new() }
    }

    /// Notes an answer.
    pub fn note_answer(&self) {
        let was_silent = self.is_silent();
        self.last_answer.set(clock::now());
        if was_silent {
            self.recovered.notify_waiters();
        }
    }

    /// Waits for a call, but no longer than until the store answers others again after a silence: a
    /// call that was sent before will hardly be answered, and is worth repeating.
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

    /// Whether the store has answered after a moment.
    pub fn answered_after(&self, moment: Moment) -> bool {
        self.last_answer.get() > moment
    }

    /// Whether the store has not answered for longer than reads usually wait.
    pub fn is_doubtful(&self) -> bool {
        clock::now().since(self.last_answer.get()) > DOUBTFUL_AFTER
    }

    /// Whether the store has not answered for too long.
    pub fn is_silent(&self) -> bool {
        clock::now().since(self.last_answer.get()) > SILENT_AFTER
    }
}

/// Calls to the platform.
pub struct PlatformClients {
    /// To the store.
    pub store: StoreClient,
    /// To workers.
    pub workers: WorkerClient,
    /// To the advice service, if there is one.
    pub advice: Option<AdviceClient>,
    /// The connections of all of them.
    pub http: HttpClient,
}

/// What the tasks of a box share.
pub struct CellBox {
    /// The settings.
    pub settings: CellSettings,
    /// Where to log.
    pub log: Logger,
    /// Calls to the platform.
    pub clients: PlatformClients,
    /// The configuration in force.
    pub config: RefCell<Rc<CellConfig>>,
    /// The record that holds it, for boxes that cannot read it.
    pub config_record: RefCell<Bytes>,
    /// How current the configuration is.
    pub config_view: TopicView,
    /// The jobs.
    pub replica: RefCell<CellReplica>,
    /// How current the knowledge of jobs is.
    pub jobs_view: TopicView,
    /// How current the knowledge of their progress is.
    pub progress_view: TopicView,
    /// Whether the store answers.
    pub store_contact: StoreContact,
    /// How long answers of the store usually take.
    pub store_timeout: RefCell<CallPatience>,
    /// Who leads.
    pub watch: RefCell<LeadWatch>,
    /// How current the knowledge of who leads is.
    pub lead_view: TopicView,
    /// Rung when the newest record of who leads may be out of date.
    pub lead_record_stale: Notify,
    /// Rung when another box leads, or none does any more.
    pub lead_changed: Notify,
    /// What this box does as the lead.
    pub session: RefCell<Option<Rc<LeadSession>>>,
    /// Whether the lead tells states to the boxes that do not stand by.
    pub lead_sends_summaries: Cell<bool>,
    /// When this box, which is not told states, last heard from a lead that it can ask.
    lead_heard_at: Cell<Option<Moment>>,
    /// The link to the lead, while there is one.
    pub link: RefCell<Option<Rc<LeadLink>>>,
    /// Whether the box is stopping.
    pub stopping: Cell<bool>,
    /// Rung when the box begins to stop.
    pub stop_requested: Notify,
    /// The connections of callers.
    pub connections: Arc<ConnectionDesk>,
    /// Distinguishes this process from earlier ones of the box.
    pub life: u64,
    /// When it started.
    started_at: Moment,
}

/// One descriptor in this many may be an idle connection: each worker has one with an account under way
/// besides, and callers and other boxes need theirs. With six idle ones for each of 3,000 workers a lead ran out of
/// 8,192 descriptors, and 0.43 of the jobs were served instead of 0.81.
const DESCRIPTORS_PER_IDLE_CONNECTION: usize = 4;

/// How long a weak box waits after its start for a lead that tells it the states: a restart of all boxes takes
/// the strong ones about a second.
const READ_DEFERRAL: TimeSpan = TimeSpan(2_500);

/// Tells of answers of workers that cannot be read.
fn malformed_report_logger(log: Logger) -> MalformedReport {
    Rc::new(move |target, error| {
        warn!(log, "worker's answer not readable"; "worker" => %target.life, "address" => %target.address,
            "error" => %error);
    })
}

impl CellBox {
    /// Shares the state of a box that knows nothing yet.
    pub fn new(settings: CellSettings, log: Logger) -> CellBox {
        let life = rand::random();
        let http = HttpClient::with_idle(settings.descriptors / DESCRIPTORS_PER_IDLE_CONNECTION);
        let clients = PlatformClients {
            store: StoreClient::new(http.clone(), settings.store),
            workers: WorkerClient::new(http.clone(), malformed_report_logger(log.clone())),
            advice: settings.advice.map(|address| AdviceClient::new(http.clone(), address)),
            http,
        };
        let connections = ConnectionDesk::new(
            log.clone(),
            callers::CONNECTION_LIMITS,
            callers::idle_close_answer,
        );
        let watch = LeadWatch::new(settings.name.clone(), life, settings.strength, clock::now());
        CellBox {
            settings,
            log,
            clients,
            config: RefCell::default(),
            config_record: RefCell::default(),
            config_view: TopicView::default(),
            replica: RefCell::default(),
            jobs_view: TopicView::default(),
            progress_view: TopicView::default(),
            store_contact: StoreContact::new(),
            store_timeout: RefCell::new(CallPatience::new(STORE_PATIENCE)),
            watch: RefCell::new(watch),
            lead_view: TopicView::default(),
            lead_record_stale: Notify::new(),
            lead_changed: Notify::new(),
            session: RefCell::default(),
            lead_sends_summaries: Cell::new(true),
            lead_heard_at: Cell::default(),
            link: RefCell::default(),
            stopping: Cell::new(false),
            stop_requested: Notify::new(),
            connections,
            life,
            started_at: clock::now(),
        }
    }

    /// How much later than usual news arrive by way of the store: an append and a read, and a read
    /// that had just begun.
    pub fn store_lag(&self) -> TimeSpan {
        const CALLS: u64 = 3;
        TimeSpan(CALLS * self.store_timeout.borrow().usual().as_millis() as u64)
    }

    /// Whether callers should come here.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get()
            && self.config_view.is_fresh()
            && (self.has_fresh_jobs() || self.can_query_lead())
            && self.config.borrow().version > 0
    }

    /// Whether a lead that the store answers can be asked.
    fn can_query_lead(&self) -> bool {
        self.link.borrow().as_ref().is_some_and(|link| link.takes_submissions())
    }

    /// What this box knows of a job, as a caller of an organisation, or of none, is told. Another
    /// organisation's job is told like one that does not exist.
    pub fn local_job_state(&self, job: JobId, caller: Option<&OrganisationName>) -> StateAnswer {
        match self.replica.borrow().job(job) {
            Some(known) if !known.is_open_to(caller) => StateAnswer::NoJob,
            Some(known) => StateAnswer::Known(known.state()),
            None if self.has_fresh_jobs() => StateAnswer::NoJob,
            None => StateAnswer::Untold,
        }
    }

    /// How many jobs of a queue wait, as this box or the lead knows; none if neither does.
    pub async fn count_waiting(&self, queue: &QueueName) -> Option<u64> {
        if self.has_fresh_jobs() {
            return Some(self.replica.borrow().waiting(queue) as u64);
        }
        let link = self.link.borrow().clone()?;
        link.ask_waiting(queue.clone()).await
    }

    /// What this box or the lead knows of a job.
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

    /// Whether a job can be taken: through a lead, which knows whether it was taken before, or by this
    /// box, if it knows that itself and the store answers.
    pub fn can_accept(&self) -> bool {
        let is_relaying =
            self.session.borrow().as_ref().is_some_and(|session| session.is_relaying());
        let reaches_store = is_relaying || !self.store_contact.is_silent();
        self.can_query_lead() || (self.has_fresh_jobs() && reaches_store)
    }

    /// Whether this box knows of the jobs what a lead needs.
    pub fn can_lead(&self) -> bool {
        self.jobs_view.full_records.get() && self.progress_view.full_records.get()
    }

    /// Whether this box leaves it to others to read what a lead needs, since it has just started and is much
    /// weaker than the last lead. Until it is told states it asks the lead for each. When all of 97 boxes
    /// read everything at once, those that can lead had it after 0.4 s instead of 0.1 s.
    pub fn defers_reads(&self) -> bool {
        let just_started = clock::now().since(self.started_at) < READ_DEFERRAL;
        let is_unread = self.progress_view.offset.get().is_none();
        just_started && is_unread && self.watch.borrow().is_outdone()
    }

    /// Whether this box leaves it to the lead to know the jobs, and asks it. One that hears from no lead for a time
    /// begins to read everything, since nobody else may be left that could lead.
    pub fn queries_lead(&self) -> bool {
        let lead_heard_at = self.lead_heard_at.get();
        lead_heard_at.is_some_and(|heard_at| clock::now().since(heard_at) < READ_DEFERRAL)
    }

    /// Notes that the lead lives.
    pub fn note_lead_heard(&self) {
        if self.lead_heard_at.get().is_some() {
            self.lead_heard_at.set(Some(clock::now()));
        }
    }

    /// From now on the lead is asked for states, or not any more.
    pub fn set_query_mode(&self, enabled: bool) {
        // A box that has claimed the lead has to know the jobs itself.
        let enabled = enabled && !self.watch.borrow().is_holder();
        self.lead_heard_at.set(enabled.then(clock::now));
        if enabled {
            // What was known becomes untrue from now on.
            self.replica.replace(CellReplica::default());
            for view in [&self.jobs_view, &self.progress_view] {
                view.forget();
            }
        }
    }

    /// Has the jobs and their progress read from the start, so that this box could lead.
    pub fn reload_full_records(&self) {
        for view in [&self.jobs_view, &self.progress_view] {
            if !view.full_records.get() {
                view.offset.set(None);
            }
        }
    }

    /// Whether the jobs and their progress are known but for the last moments.
    pub fn has_fresh_jobs(&self) -> bool {
        self.jobs_view.is_fresh() && self.progress_view.is_fresh()
    }

    /// The view of a topic that boxes follow.
    pub fn view(&self, topic: StoreTopic) -> Option<&TopicView> {
        match topic {
            StoreTopic::Operators => Some(&self.config_view),
            StoreTopic::Leads => Some(&self.lead_view),
            StoreTopic::Jobs => Some(&self.jobs_view),
            StoreTopic::Progress => Some(&self.progress_view),
            StoreTopic::Workers => None,
        }
    }

    /// The configuration in force.
    pub fn config(&self) -> Rc<CellConfig> {
        self.config.borrow().clone()
    }
}
