//! The settings of one box, from JSON to checked types.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use quick_error::quick_error;
use sedgehill_core::fields::{FieldReader, ManifestError, ManifestErrors};
use sedgehill_core::ids::{BoxId, HallName};
use sedgehill_core::lead::LeadTiming;
use sedgehill_core::member::MemberTiming;
use sedgehill_core::placement::PlacementTiming;
use sedgehill_core::units::{MemorySize, TimeSpan};
use serde_json::{Map, Value};

quick_error! {
    /// Why settings cannot be used.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file cannot be read.
        Read(path: PathBuf, cause: std::io::Error) {
            display("could not read {}", path.display())
            source(cause)
        }
        /// The file is not JSON.
        Parse(path: PathBuf, cause: serde_json::Error) {
            display("{} is not a JSON object", path.display())
            source(cause)
        }
        /// The file has wrong settings.
        Check(path: PathBuf, cause: ManifestErrors) {
            display("{} has wrong settings", path.display())
            source(cause)
        }
    }
}

/// Where a box listens.
#[derive(Debug, Clone)]
pub struct ListenSettings {
    /// For callers.
    pub traffic: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// For other boxes.
    pub peer: SocketAddr,
}

/// Where the platform's services are.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// The log.
    pub log: SocketAddr,
    /// The list of boxes, endpoints and workers.
    pub list: SocketAddr,
}

/// The files of this box's identity, in PEM.
#[derive(Debug, Clone)]
pub struct TlsSettings {
    /// Its certificate.
    pub certificate: PathBuf,
    /// The key of the certificate.
    pub key: PathBuf,
    /// The authority that signs the certificates of all boxes.
    pub authority: PathBuf,
}

/// How the log is used.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// The least time between two appends of this box.
    pub append_every: TimeSpan,
    /// Entries after which a box appends a snapshot.
    pub snapshot_every: u64,
}

/// What callers may send, and how much may wait.
#[derive(Debug, Clone)]
pub struct LimitSettings {
    /// The largest body of a request.
    pub body: MemorySize,
    /// The largest answer of an endpoint.
    pub answer: MemorySize,
    /// How long a caller may take to send a request.
    pub receive: TimeSpan,
    /// Requests that may wait for one service.
    pub waiting: usize,
    /// Bytes of bodies that may wait for one service.
    pub waiting_bytes: MemorySize,
}

/// How a box stops.
#[derive(Debug, Clone)]
pub struct DrainSettings {
    /// How long the balancer may still send work after the box says that it is draining.
    pub balancer_lag: TimeSpan,
    /// How long requests in flight may take to finish.
    pub limit: TimeSpan,
}

/// The settings of one box.
#[derive(Debug, Clone)]
pub struct BoxSettings {
    /// Its name.
    pub id: BoxId,
    /// Its data hall.
    pub hall: HallName,
    /// Where it listens.
    pub listen: ListenSettings,
    /// Where the platform is.
    pub platform: PlatformSettings,
    /// Its identity.
    pub tls: TlsSettings,
    /// Threads for traffic.
    pub traffic_threads: usize,
    /// How the log is used.
    pub log: LogSettings,
    /// The terms of leads.
    pub lead: LeadTiming,
    /// Leases and syncs.
    pub place: PlacementTiming,
    /// Heartbeats.
    pub member: MemberTiming,
    /// How often heartbeats are sent and the platform's list is read.
    pub heartbeat_every: TimeSpan,
    /// What callers may send.
    pub limits: LimitSettings,
    /// How the box stops.
    pub drain: DrainSettings,
    /// Whether each decision is logged.
    pub log_decisions: bool,
}

impl BoxSettings {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<BoxSettings, SettingsError> {
        let raw = RawSettings(read_object(path)?);
        raw.try_into().map_err(|errors| SettingsError::Check(path.to_owned(), errors))
    }
}

/// Reads a file that holds one JSON object.
pub(crate) fn read_object(path: &Path) -> Result<Map<String, Value>, SettingsError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| SettingsError::Read(path.to_owned(), error))?;
    serde_json::from_str(&text).map_err(|error| SettingsError::Parse(path.to_owned(), error))
}

/// Settings as written, nothing checked.
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
    let place = optional_group(reader, "placement", read_place);
    let member = optional_group(reader, "members", read_member);
    let heartbeat_every = reader.text_or("heartbeat_every", TimeSpan(500));
    let limits = optional_group(reader, "limits", read_limits);
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
        place: place?,
        member: member?,
        heartbeat_every: heartbeat_every?,
        limits: limits?,
        drain: drain?,
        log_decisions: log_decisions?,
    })
}

pub(crate) fn required_group<T>(
    reader: &mut FieldReader<'_>,
    key: &'static str,
    read: impl FnOnce(&mut FieldReader<'_>) -> Option<T>,
) -> Option<T> {
    let fields = reader.object(key)?;
    read_group(reader, key, fields, read)
}

/// A group that may be absent; each key in it has a default.
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

fn read_place(group: &mut FieldReader<'_>) -> Option<PlacementTiming> {
    let lease = group.text_or("lease", TimeSpan(20_000));
    let settle = group.text_or("settle", TimeSpan(2_000));
    let sync_every = group.text_or("sync_every", TimeSpan(2_000));
    Some(PlacementTiming { lease: lease?, max_delivery_delay: settle?, sync_every: sync_every? })
}

fn read_member(group: &mut FieldReader<'_>) -> Option<MemberTiming> {
    let suspect_after = group.text_or("suspect_after", TimeSpan(1_500));
    let gone_after = group.text_or("gone_after", TimeSpan(3_000));
    Some(MemberTiming { suspect_after: suspect_after?, gone_after: gone_after? })
}

fn read_limits(group: &mut FieldReader<'_>) -> Option<LimitSettings> {
    let body = group.text_or("body", MemorySize(1 << 20));
    let answer = group.text_or("answer", MemorySize(8 << 20));
    let receive = group.text_or("receive", TimeSpan(10_000));
    let waiting = group.number_or("waiting", 1, 1_000_000, 4_000);
    let waiting_bytes = group.text_or("waiting_bytes", MemorySize(64 << 20));
    Some(LimitSettings {
        body: body?,
        answer: answer?,
        receive: receive?,
        waiting: waiting? as usize,
        waiting_bytes: waiting_bytes?,
    })
}

fn read_drain(group: &mut FieldReader<'_>) -> Option<DrainSettings> {
    let balancer_lag = group.text_or("balancer_lag", TimeSpan(3_000));
    let limit = group.text_or("limit", TimeSpan(60_000));
    Some(DrainSettings { balancer_lag: balancer_lag?, limit: limit? })
}

/// Times that only make sense together.
fn check_timing(settings: &BoxSettings, errors: &mut Vec<ManifestError>) -> bool {
    let lead = &settings.lead;
    let before = errors.len();
    let mut demand = |holds: bool, path: &str, message: String| {
        if !holds {
            errors.push(ManifestError { path: path.to_owned(), message });
        }
    };
    demand(
        lead.renew_every.0 * 2 <= lead.term.0,
        "lead.renew_every",
        format!("expected at most half of `lead.term` ({}), found {}", lead.term, lead.renew_every),
    );
    demand(
        lead.margin.0 > 0,
        "lead.margin",
        "expected more than zero: it covers messages under way".to_owned(),
    );
    let place = &settings.place;
    demand(
        place.sync_every.0 * 3 <= place.lease.0,
        "placement.sync_every",
        format!(
            "expected at most a third of `placement.lease` ({}), found {}",
            place.lease, place.sync_every
        ),
    );
    errors.len() == before
}
