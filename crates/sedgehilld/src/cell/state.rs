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
use sedgehill_adapter::worker::{MalformedHandler, WorkerClient};
use sedgehill_cell::authority::LeadWatch;
use sedgehill_cell::ids::{JobId, OrganisationName, QueueName};
use sedgehill_cell::replica::CellReplica;
use sedgehill_cell::timeout::{AdaptiveTimeout, STORE_TIMEOUT};
use sedgehill_core::units::{Moment, TimeSpan};
use slog::{Logger, warn};
use tokio::sync::Notify;

use super::callers;
use super::frames::StateAnswer;
use super::lead::LeadSession;
use super::lead_link::LeadLink;
use super::settings::CellSettings;
use crate::clock;
use crate::connection::ConnectionManager;

/// A view of the store that was last proved complete longer ago is not taken as fresh. Reads wait
/// half a second at the most, so a box in touch proves it more often.
const FRESH: TimeSpan = TimeSpan(1_800);

/// A following of one topic: how far it was read, and when that was last complete.
#[derive(Debug, Default)]
pub struct TopicView {
    /// The offset to read next; none before the first reading.
    pub offset: Cell<Option<u64>>,
    /// Whether every record up to there was taken in, and not only what it says of states.
    pub whole: Cell<bool>,
    /// How often the store had dropped what was to be read next.
    pub gaps: Cell<u64>,
    fresh: Cell<Option<Moment>>,
    fed: Cell<Option<Moment>>,
}

/// A view that the lead proved complete less long ago is not read from the store: each read is paid
/// for. Proofs come every 300 ms.
const FED: TimeSpan = TimeSpan(800);

impl TopicView {
    /// What was read is out of date from now on.
    fn forget(&self) {
        self.offset.set(None);
        self.whole.set(false);
        self.fresh.set(None);
        self.fed.set(None);
    }

    /// Notes that all records up to a moment not before `asked` were read.
    pub fn note_complete(&self, asked: Moment) {
        self.fresh.set(self.fresh.get().max(Some(asked)));
    }

    /// Notes that the view was complete at a moment not before `asked`, without a read of its own.
    pub fn note_fed(&self, asked: Moment) {
        self.fed.set(self.fed.get().max(Some(asked)));
        self.fresh.set(self.fresh.get().max(Some(asked)));
    }

    /// Whether the view was proved complete lately without a read.
    pub fn is_fed(&self) -> bool {
        self.fed.get().is_some_and(|fed| clock::now().since(fed) <= FED)
    }

    /// How long ago the view was complete; none if it never was.
    pub fn age(&self) -> Option<TimeSpan> {
        self.fresh.get().map(|fresh| clock::now().since(fresh))
    }

    /// Whether the view is complete but for the last moments.
    pub fn is_fresh(&self) -> bool {
        self.fresh.get().is_some_and(|fresh| clock::now().since(fresh) <= FRESH)
    }
}

/// A box that has heard nothing from the store for longer is cut from it. Reads wait half a second at
/// the most, and a slow store takes some 300 ms more: a store that is merely idle or slow must never
/// count as silent, since the first answer after a silence repeats all other calls.
const CONTACT_LOST: TimeSpan = TimeSpan(1_100);

/// A box that has heard nothing for longer is not asked to call for others. Reads wait half a second.
const CONTACT_DOUBTFUL: TimeSpan = TimeSpan(750);

/// When the store last answered this box.
#[derive(Debug)]
pub struct StoreContact {
    heard: Cell<Moment>,
    back: Notify,
}

impl StoreContact {
    /// The contact of a box that has just started.
    pub fn new() -> StoreContact {
        StoreContact { heard: Cell::new(clock::now()), back: Notify::new() }
    }

    /// Notes an answer.
    pub fn note_answer(&self) {
        let was_silent = self.is_silent();
        self.heard.set(clock::now());
        if was_silent {
            self.back.notify_waiters();
        }
    }

    /// Waits for a call, but no longer than until the store answers others again after a silence: a
    /// call that was sent before will hardly be answered, and is worth repeating.
    pub async fn unless_regained<T>(
        &self,
        call: impl Future<Output = Result<T, CallError>>,
    ) -> Result<T, CallError> {
        tokio::select! {
            result = call => result,
            () = self.back.notified() => {
                Err(CallError::Unknown("to be repeated, since the store is back".to_owned()))
            }
        }
    }

    /// Whether the store has answered after a moment.
    pub fn heard_after(&self, moment: Moment) -> bool {
        self.heard.get() > moment
    }

    /// Whether the store has not answered for longer than reads usually wait.
    pub fn is_doubtful(&self) -> bool {
        clock::now().since(self.heard.get()) > CONTACT_DOUBTFUL
    }

    /// Whether the store has not answered for too long.
    pub fn is_silent(&self) -> bool {
        clock::now().since(self.heard.get()) > CONTACT_LOST
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
    pub store_patience: RefCell<AdaptiveTimeout>,
    /// Who leads.
    pub watch: RefCell<LeadWatch>,
    /// How current the knowledge of who leads is.
    pub lead_view: TopicView,
    /// Rung when the newest record of who leads may be out of date.
    pub lead_doubted: Notify,
    /// Rung when another box leads, or none does any more.
    pub lead_changed: Notify,
    /// What this box does as the lead.
    pub session: RefCell<Option<Rc<LeadSession>>>,
    /// Whether the lead tells states to the boxes that do not stand by.
    pub lead_tells: Cell<bool>,
    /// When this box, which is not told states, last heard from a lead that it can ask.
    asked_lately: Cell<Option<Moment>>,
    /// The link to the lead, while there is one.
    pub link: RefCell<Option<Rc<LeadLink>>>,
    /// Whether the box is stopping.
    pub stopping: Cell<bool>,
    /// Rung when the box begins to stop.
    pub stop: Notify,
    /// The connections of callers.
    pub connections: Arc<ConnectionManager>,
    /// Distinguishes this process from earlier ones of the box.
    pub life: u64,
    /// When it started.
    begun: Moment,
}

/// One descriptor in this many may be an idle connection: each worker has one with an account under way
/// besides, and callers and other boxes need theirs. With six idle ones for each of 3,000 workers a lead ran out of
/// 8,192 descriptors, and 0.43 of the jobs were served instead of 0.81.
const IDLE_PART: usize = 4;

/// How long a weak box waits after its start for a lead that tells it the states: a restart of all boxes takes
/// the strong ones about a second.
const READING_DEFERRED: TimeSpan = TimeSpan(2_500);

/// Tells of answers of workers that cannot be read.
fn report_malformed(log: Logger) -> MalformedHandler {
    Rc::new(move |target, error| {
        warn!(log, "worker's answer not readable"; "worker" => %target.life, "address" => %target.address,
            "error" => %error);
    })
}

impl CellBox {
    /// Shares the state of a box that knows nothing yet.
    pub fn new(settings: CellSettings, log: Logger) -> CellBox {
        let life = rand::random();
        let http = HttpClient::with_max_idle(settings.descriptors / IDLE_PART);
        let clients = PlatformClients {
            store: StoreClient::new(http.clone(), settings.store),
            workers: WorkerClient::new(http.clone(), report_malformed(log.clone())),
            advice: settings.advice.map(|address| AdviceClient::new(http.clone(), address)),
            http,
        };
        let connections = ConnectionManager::new(
            log.clone(),
            callers::CONNECTION_LIMITS,
            callers::build_idle_response,
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
            store_patience: RefCell::new(AdaptiveTimeout::new(STORE_TIMEOUT)),
            watch: RefCell::new(watch),
            lead_view: TopicView::default(),
            lead_doubted: Notify::new(),
            lead_changed: Notify::new(),
            session: RefCell::default(),
            lead_tells: Cell::new(true),
            asked_lately: Cell::default(),
            link: RefCell::default(),
            stopping: Cell::new(false),
            stop: Notify::new(),
            connections,
            life,
            begun: clock::now(),
        }
    }

    /// How much later than usual news arrive by way of the store: an append and a read, and a read
    /// that had just begun.
    pub fn store_lag(&self) -> TimeSpan {
        const CALLS: u64 = 3;
        TimeSpan(CALLS * self.store_patience.borrow().average().as_millis() as u64)
    }

    /// Whether callers should come here.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get()
            && self.config_view.is_fresh()
            && (self.knows_jobs() || self.lead_knows_jobs())
            && self.config.borrow().version > 0
    }

    /// Whether a lead that the store answers can be asked.
    fn lead_knows_jobs(&self) -> bool {
        self.link.borrow().as_ref().is_some_and(|link| link.takes_submissions())
    }

    /// What this box knows of a job, as a caller of an organisation, or of none, is told. Another
    /// organisation's job is told like one that does not exist.
    pub fn state_of(&self, job: JobId, caller: Option<&OrganisationName>) -> StateAnswer {
        match self.replica.borrow().job(job) {
            Some(known) if !known.is_accessible_to(caller) => StateAnswer::NoJob,
            Some(known) => StateAnswer::Known(known.state()),
            None if self.knows_jobs() => StateAnswer::NoJob,
            None => StateAnswer::Untold,
        }
    }

    /// How many jobs of a queue wait, as this box or the lead knows; none if neither does.
    pub async fn count_waiting(&self, queue: &QueueName) -> Option<u64> {
        if self.knows_jobs() {
            return Some(self.replica.borrow().waiting_count(queue) as u64);
        }
        let link = self.link.borrow().clone()?;
        link.ask_waiting(queue.clone()).await
    }

    /// What this box or the lead knows of a job.
    pub async fn find_state(&self, job: JobId, caller: Option<&OrganisationName>) -> StateAnswer {
        let link = self.link.borrow().clone();
        match (self.state_of(job, caller), link) {
            (StateAnswer::Untold, Some(link)) => link.ask_state(job, caller.cloned()).await,
            (answer, _) => answer,
        }
    }

    /// Whether a job can be taken: through a lead, which knows whether it was taken before, or by this
    /// box, if it knows that itself and the store answers.
    pub fn can_accept(&self) -> bool {
        let relays = self.session.borrow().as_ref().is_some_and(|session| session.relays());
        let reaches_store = relays || !self.store_contact.is_silent();
        self.lead_knows_jobs() || (self.knows_jobs() && reaches_store)
    }

    /// Whether this box knows of the jobs what a lead needs.
    pub fn could_lead(&self) -> bool {
        self.jobs_view.whole.get() && self.progress_view.whole.get()
    }

    /// Whether this box leaves it to others to read what a lead needs, since it has just started and is much
    /// weaker than the last lead. Until it is told states it asks the lead for each. When all of 97 boxes
    /// read everything at once, those that can lead had it after 0.4 s instead of 0.1 s.
    pub fn defers_reading(&self) -> bool {
        let deferred = clock::now().since(self.begun) < READING_DEFERRED;
        let unread = self.progress_view.offset.get().is_none();
        deferred && unread && self.watch.borrow().is_weaker_than_lead()
    }

    /// Whether this box leaves it to the lead to know the jobs, and asks it. One that hears from no lead for a time
    /// begins to read everything, since nobody else may be left that could lead.
    pub fn asks_lead(&self) -> bool {
        let asked = self.asked_lately.get();
        asked.is_some_and(|asked| clock::now().since(asked) < READING_DEFERRED)
    }

    /// Notes that the lead lives.
    pub fn note_lead_heard(&self) {
        if self.asked_lately.get().is_some() {
            self.asked_lately.set(Some(clock::now()));
        }
    }

    /// From now on the lead is asked for states, or not any more.
    pub fn set_asking(&self, asks: bool) {
        // A box that has claimed the lead has to know the jobs itself.
        let asks = asks && !self.watch.borrow().is_holder();
        self.asked_lately.set(asks.then(clock::now));
        if asks {
            // What was known becomes untrue from now on.
            self.replica.replace(CellReplica::default());
            for view in [&self.jobs_view, &self.progress_view] {
                view.forget();
            }
        }
    }

    /// Has the jobs and their progress read from the start, so that this box could lead.
    pub fn read_anew(&self) {
        for view in [&self.jobs_view, &self.progress_view] {
            if !view.whole.get() {
                view.offset.set(None);
            }
        }
    }

    /// Whether the jobs and their progress are known but for the last moments.
    pub fn knows_jobs(&self) -> bool {
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
