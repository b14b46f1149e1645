//! The settings of one box: reads the JSON file and converts it to checked types.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use quick_error::quick_error;
use sedgehill_core::client_budget::BudgetLimits;
use sedgehill_core::fields::{FieldReader, ManifestError, ManifestErrors};
use sedgehill_core::ids::{BoxId, HallName};
use sedgehill_core::lead::LeadTiming;
use sedgehill_core::member::MemberTiming;
use sedgehill_core::placement::PlacementTiming;
use sedgehill_core::units::{MemorySize, TimeSpan};
use serde_json::{Map, Value};

quick_error! {
    /// An error in a settings file.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file could not be read.
        Read(path: PathBuf, cause: std::io::Error) {
            display("could not read {}", path.display())
            source(cause)
        }
        /// The file does not hold a JSON object.
        Parse(path: PathBuf, cause: serde_json::Error) {
            display("{} is not a JSON object", path.display())
            source(cause)
        }
        /// Settings are missing, unknown or invalid; the cause lists each one.
        Check(path: PathBuf, cause: ManifestErrors) {
            display("{} has wrong settings", path.display())
            source(cause)
        }
    }
}

/// The addresses on which a box listens.
#[derive(Debug, Clone)]
pub struct ListenSettings {
    /// Address for callers' requests.
    pub traffic: SocketAddr,
    /// Address for operators: health, metrics and changes.
    pub admin: SocketAddr,
    /// Address for messages of other boxes.
    pub peer: SocketAddr,
}

/// The addresses of the platform's services.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Address of the replicated log.
    pub log: SocketAddr,
    /// Address of the service that lists boxes, endpoints and workers.
    pub list: SocketAddr,
}

/// The PEM files with which this box authenticates itself to other boxes.
#[derive(Debug, Clone)]
pub struct TlsSettings {
    /// Certificate of this box.
    pub certificate: PathBuf,
    /// Private key of the certificate.
    pub key: PathBuf,
    /// Certificate of the authority that signs the certificates of all boxes.
    pub authority: PathBuf,
}

/// Intervals of writing to the log.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// Minimum time between two appends of this box.
    pub append_every: TimeSpan,
    /// Number of log entries after which a box appends a snapshot.
    pub snapshot_every: u64,
}

/// Limits on requests, answers and the queue of each service.
#[derive(Debug, Clone)]
pub struct LimitSettings {
    /// Maximum size of the body of a request.
    pub max_body: MemorySize,
    /// Maximum size of the body of an endpoint's answer.
    pub max_answer: MemorySize,
    /// How long a caller may take to send the head of a request, and again to send its body.
    pub receive_timeout: TimeSpan,
    /// Maximum number of waiting requests of one service.
    pub max_waiting: usize,
    /// Maximum total size of the bodies of one service's waiting requests.
    pub max_waiting_bytes: MemorySize,
}

/// Timing of a planned stop.
#[derive(Debug, Clone)]
pub struct DrainSettings {
    /// How long the load balancer may keep sending requests after the box reports that it is draining.
    pub balancer_lag: TimeSpan,
    /// How long connections with requests in flight may take to finish after that.
    pub timeout: TimeSpan,
}

/// The settings of one box.
#[derive(Debug, Clone)]
pub struct BoxSettings {
    /// Name of the box.
    pub id: BoxId,
    /// Data hall in which the box stands.
    pub hall: HallName,
    /// Addresses on which the box listens.
    pub listen: ListenSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Certificate files of the box.
    pub tls: TlsSettings,
    /// Number of threads that serve callers.
    pub traffic_threads: usize,
    /// Intervals of writing to the log.
    pub log: LogSettings,
    /// Term and renewal of the leads of halls.
    pub lead: LeadTiming,
    /// Timing of the leases and syncs of workers.
    pub placement: PlacementTiming,
    /// Timeouts after which a silent box counts as suspect or gone.
    pub member: MemberTiming,
    /// Interval of sending heartbeats and of reading the platform's list.
    pub heartbeat_every: TimeSpan,
    /// Limits on requests, answers and queues.
    pub limits: LimitSettings,
    /// Memory of the box.
    pub memory: MemorySize,
    /// File descriptors that the process may use.
    pub descriptors: usize,
    /// Timing of a planned stop.
    pub drain: DrainSettings,
    /// Whether to log each placement decision and each request.
    pub log_decisions: bool,
}

/// The memory of a box without the setting `memory`, as the users' boxes have.
const DEFAULT_MEMORY: MemorySize = MemorySize(256 << 20);
/// The file descriptors of a process without the setting `descriptors`, as on the users' boxes.
const DEFAULT_DESCRIPTORS: usize = 4_096;
/// Part of the memory of a box that its callers may use, as a divisor. The state of the cluster, the links of other
/// boxes and answers that are being read need the rest.
const CALLER_MEMORY_DIVISOR: u64 = 3;

impl BoxSettings {
    /// Returns what callers may hold together.
    pub fn caller_limits(&self) -> BudgetLimits {
        BudgetLimits::new(MemorySize(self.memory.0 / CALLER_MEMORY_DIVISOR), self.descriptors)
    }

    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<BoxSettings, SettingsError> {
        let raw = RawSettings(read_object(path)?);
        raw.try_into().map_err(|errors| SettingsError::Check(path.to_owned(), errors))
    }
}

/// Reads a settings file, which holds one JSON object.
pub(crate) fn read_object(path: &Path) -> Result<Map<String, Value>, SettingsError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| SettingsError::Read(path.to_owned(), error))?;
    serde_json::from_str(&text).map_err(|error| SettingsError::Parse(path.to_owned(), error))
}

/// The unchecked JSON object of a settings file.
#[derive(Debug)]
pub struct RawSettings(Map<String, Value>);

impl TryFrom<RawSettings> for BoxSettings {
    type Error = ManifestErrors;

    fn try_from(raw: RawSettings) -> Result<Self, ManifestErrors> {
        let mut errors = Vec::new();
        let mut reader = FieldReader::new("", &raw.0, &mut errors);
        let settings = read_settings(&mut reader);
        reader.finish();
        let settings = settings.filter(|settings| check_timing(settings, &mut errors));
        match settings {
            Some(settings) if errors.is_empty() => Ok(settings),
            _ => Err(ManifestErrors(errors)),
        }
    }
}

fn read_settings(reader: &mut FieldReader<'_>) -> Option<BoxSettings> {
    const MAX_THREADS: u64 = 256;
    let id = reader.text("box");
    let hall = reader.text("hall");
    let listen = required_group(reader, "listen", |group| {
        let (traffic, admin, peer) =
            (group.text("traffic"), group.text("admin"), group.text("peer"));
        Some(ListenSettings { traffic: traffic?, admin: admin?, peer: peer? })
    });
    let platform = required_group(reader, "platform", |group| {
        let (log, list) = (group.text("log"), group.text("list"));
        Some(PlatformSettings { log: log?, list: list? })
    });
    let tls = required_group(reader, "tls", |group| {
        let (certificate, key, authority) =
            (group.text("certificate"), group.text("key"), group.text("authority"));
        Some(TlsSettings { certificate: certificate?, key: key?, authority: authority? })
    });
    let traffic_threads = reader.number_or("traffic_threads", 1, MAX_THREADS, 2);
    let log = optional_group(reader, "log", read_log);
    let lead = optional_group(reader, "lead", read_lead);
    let placement = optional_group(reader, "placement", read_placement);
    let member = optional_group(reader, "members", read_member);
    let heartbeat_every = reader.text_or("heartbeat_every", TimeSpan(500));
    let limits = optional_group(reader, "limits", read_limits);
    let memory = reader.text_or("memory", DEFAULT_MEMORY);
    let descriptors = reader.text_or("descriptors", DEFAULT_DESCRIPTORS);
    let drain = optional_group(reader, "drain", read_drain);
    let log_decisions = reader.flag_or("log_decisions", true);
    Some(BoxSettings {
        id: id?,
        hall: hall?,
        listen: listen?,
        platform: platform?,
        tls: tls?,
        traffic_threads: traffic_threads? as usize,
        log: log?,
        lead: lead?,
        placement: placement?,
        member: member?,
        heartbeat_every: heartbeat_every?,
        limits: limits?,
        memory: memory?,
        descriptors: descriptors?,
        drain: drain?,
        log_decisions: log_decisions?,
    })
}

/// Reads a nested object that must be present.
pub(crate) fn required_group<T>(
    reader: &mut FieldReader<'_>,
    key: &'static str,
    read: impl FnOnce(&mut FieldReader<'_>) -> Option<T>,
) -> Option<T> {
    let fields = reader.object(key)?;
    read_group(reader, key, fields, read)
}

/// Reads a nested object that may be absent, in which case each of its keys takes its default.
pub(crate) fn optional_group<T>(
    reader: &mut FieldReader<'_>,
    key: &'static str,
    read: impl FnOnce(&mut FieldReader<'_>) -> Option<T>,
) -> Option<T> {
    let empty = Map::new();
    if !reader.contains(key) {
        reader.optional_object(key);
        return read_group(reader, key, &empty, read);
    }
    let fields = reader.object(key)?;
    read_group(reader, key, fields, read)
}

fn read_group<T>(
    reader: &mut FieldReader<'_>,
    key: &str,
    fields: &Map<String, Value>,
    read: impl FnOnce(&mut FieldReader<'_>) -> Option<T>,
) -> Option<T> {
    let mut group = reader.nested(key, fields);
    let value = read(&mut group);
    group.finish();
    value
}

fn read_log(group: &mut FieldReader<'_>) -> Option<LogSettings> {
    let append_every = group.text_or("append_every", TimeSpan(50));
    let snapshot_every = group.number_or("snapshot_every", 10, 10_000_000, 5_000);
    Some(LogSettings { append_every: append_every?, snapshot_every: snapshot_every? })
}

fn read_lead(group: &mut FieldReader<'_>) -> Option<LeadTiming> {
    let term = group.text_or("term", TimeSpan(6_000));
    let margin = group.text_or("margin", TimeSpan(1_000));
    let renew_every = group.text_or("renew_every", TimeSpan(1_500));
    let stagger = group.text_or("stagger", TimeSpan(300));
    Some(LeadTiming { term: term?, margin: margin?, renew_every: renew_every?, stagger: stagger? })
}

fn read_placement(group: &mut FieldReader<'_>) -> Option<PlacementTiming> {
    let lease = group.text_or("lease", TimeSpan(20_000));
    let max_delivery_delay = group.text_or("settle", TimeSpan(2_000));
    let sync_every = group.text_or("sync_every", TimeSpan(2_000));
    Some(PlacementTiming {
        lease: lease?,
        max_delivery_delay: max_delivery_delay?,
        sync_every: sync_every?,
    })
}

fn read_member(group: &mut FieldReader<'_>) -> Option<MemberTiming> {
    let suspect_after = group.text_or("suspect_after", TimeSpan(1_500));
    let gone_after = group.text_or("gone_after", TimeSpan(3_000));
    Some(MemberTiming { suspect_after: suspect_after?, gone_after: gone_after? })
}

fn read_limits(group: &mut FieldReader<'_>) -> Option<LimitSettings> {
    let max_body = group.text_or("body", MemorySize(1 << 20));
    let max_answer = group.text_or("answer", MemorySize(8 << 20));
    let receive_timeout = group.text_or("receive", TimeSpan(10_000));
    let max_waiting = group.number_or("waiting", 1, 1_000_000, 4_000);
    let max_waiting_bytes = group.text_or("waiting_bytes", MemorySize(64 << 20));
    Some(LimitSettings {
        max_body: max_body?,
        max_answer: max_answer?,
        receive_timeout: receive_timeout?,
        max_waiting: max_waiting? as usize,
        max_waiting_bytes: max_waiting_bytes?,
    })
}

fn read_drain(group: &mut FieldReader<'_>) -> Option<DrainSettings> {
    let balancer_lag = group.text_or("balancer_lag", TimeSpan(3_000));
    let timeout = group.text_or("limit", TimeSpan(60_000));
    Some(DrainSettings { balancer_lag: balancer_lag?, timeout: timeout? })
}

/// Checks times that depend on each other, and adds an error for each violation. Returns whether all are valid.
fn check_timing(settings: &BoxSettings, errors: &mut Vec<ManifestError>) -> bool {
    let lead = &settings.lead;
    let previous_count = errors.len();
    let mut require = |is_valid: bool, path: &str, message: String| {
        if !is_valid {
            errors.push(ManifestError { path: path.to_owned(), message });
        }
    };
    require(
        lead.renew_every.0 * 2 <= lead.term.0,
        "lead.renew_every",
        format!("expected at most half of `lead.term` ({}), found {}", lead.term, lead.renew_every),
    );
    require(
        lead.margin.0 > 0,
        "lead.margin",
        "expected more than zero: it covers messages under way".to_owned(),
    );
    let placement = &settings.placement;
    require(
        placement.sync_every.0 * 3 <= placement.lease.0,
        "placement.sync_every",
        format!(
            "expected at most a third of `placement.lease` ({}), found {}",
            placement.lease, placement.sync_every
        ),
    );
    errors.len() == previous_count
}
