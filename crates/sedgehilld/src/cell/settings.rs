//! The settings of a box in cell mode, read from a JSON file and checked.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use sedgehill_adapter::store::StoreLimits;
use sedgehill_cell::authority::{AuthorityTiming, BoxStrength};
use sedgehill_cell::ids::BoxName;
use sedgehill_cell::scheduler::{CellPolicy, CellTiming};
use sedgehill_cell::standby::LinkRate;
use sedgehill_core::client_budget::BudgetLimits;
use sedgehill_core::fields::{FieldReader, ManifestError, ManifestErrors};
use sedgehill_core::units::{MemorySize, TimeSpan};
use serde_json::{Map, Value};

use super::frames::MAX_RELAYED_APPEND_BYTES;
use crate::settings::{SettingsError, optional_group, read_object, required_group};

/// The addresses on which a box listens in cell mode.
#[derive(Debug, Clone, PartialEq)]
pub struct ListenAddresses {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for the platform's readiness checks.
    pub ready: SocketAddr,
    /// The address for the links of other boxes.
    pub peers: SocketAddr,
    /// The address for metrics, in the text format of Prometheus.
    pub metrics: SocketAddr,
}

/// The time limits of a planned stop.
#[derive(Debug, Clone, PartialEq)]
pub struct StopTiming {
    /// How long callers may still arrive after the box has reported that it is not ready.
    pub linger: Duration,
    /// Longest time from the signal to the end of the process.
    pub limit: Duration,
}

/// The settings of a box in cell mode.
#[derive(Debug, Clone)]
pub struct CellSettings {
    /// The name of the box.
    pub name: BoxName,
    /// The addresses on which it listens.
    pub listen: ListenAddresses,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The address of the advice service, which names the workers that may run a step; none if
    /// there is no such service.
    pub advice: Option<SocketAddr>,
    /// The share of a core that the box can use, bounded by the rate of its link. Stronger boxes
    /// lead.
    pub strength: BoxStrength,
    /// The data rate of the box's network link.
    pub link: LinkRate,
    /// The file descriptors that the process may use.
    pub descriptors: usize,
    /// The memory of the box.
    pub memory: MemorySize,
    /// The limits of the store on appends.
    pub store_limits: StoreLimits,
    /// The timing and the policy of the scheduler.
    pub cell: CellTiming,
    /// The timing of claims and renewals of the lead.
    pub authority: AuthorityTiming,
    /// How long the state of an ended job is kept.
    pub keep_ended: TimeSpan,
    /// The time limits of a planned stop.
    pub stop: StopTiming,
}

/// Time left between the end of a planned stop and the moment at which the platform kills the
/// process.
const PLATFORM_STOP_RESERVE: TimeSpan = TimeSpan(600);
/// How long the platform's load balancer may still send callers after a box has reported that it is
/// not ready: two readiness checks a second apart, and 0.3 s for connections that are being made.
const BALANCER_LAG: TimeSpan = TimeSpan(2_300);

/// The default of the setting `size_known`: how long after a worker is listed with a smaller size
/// tasks may still be started by its earlier size. The platform's usual value.
const DEFAULT_SIZE_KNOWN: TimeSpan = TimeSpan(3_000);
/// The longest usual time that an order takes to reach a worker.
const MAX_ORDER_DELAY: TimeSpan = TimeSpan(200);
/// Added to the time for which ended jobs are kept, since boxes learn of an end at different times.
const KEEP_ENDED_RESERVE: TimeSpan = TimeSpan(30_000);
/// The strength of a box without the setting `cores`: a quarter of a core, as the platform's usual
/// boxes have.
const DEFAULT_STRENGTH: BoxStrength = BoxStrength(250);
/// The link rate of a box without the setting `link_mbps`: 1,000 Mbit/s, as the platform's usual
/// boxes have.
const DEFAULT_LINK_RATE: LinkRate = LinkRate::from_bytes_per_second(125_000_000);
/// The limits of the store without the settings `store_record_bytes` and `store_call_bytes`: the
/// platform's usual values.
const DEFAULT_STORE_LIMITS: StoreLimits =
    StoreLimits { record_bytes: 256 << 10, call_bytes: 2 << 20 };
/// The roster is stored in one record up to this part of the largest record, and at most up to the
/// default size.
const ROSTER_RECORD_DIVISOR: usize = 4;
/// The file descriptors of a process without the setting `descriptors`, as on the platform's usual
/// boxes.
const DEFAULT_DESCRIPTORS: usize = 4_096;
/// The memory of a box without the setting `memory`, as the platform's smallest boxes have.
const DEFAULT_MEMORY: MemorySize = MemorySize(120 << 20);
/// Part of the memory of a box that its callers may use, as a divisor. The scheduler, the store's records and the links
/// of other boxes need the rest.
const CALLER_MEMORY_DIVISOR: u64 = 4;

impl CellSettings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<CellSettings, SettingsError> {
        let fields = read_object(path)?;
        CellSettings::parse(&fields).map_err(|errors| SettingsError::Check(path.to_owned(), errors))
    }

    /// Returns what callers may hold together.
    pub fn caller_limits(&self) -> BudgetLimits {
        BudgetLimits::new(MemorySize(self.memory.0 / CALLER_MEMORY_DIVISOR), self.descriptors)
    }

    /// Checks settings, and collects all errors.
    pub fn parse(fields: &Map<String, Value>) -> Result<CellSettings, ManifestErrors> {
        let mut errors = Vec::new();
        let mut reader = FieldReader::new("", fields, &mut errors);
        let settings = read_settings(&mut reader);
        reader.finish();
        match settings {
            Some(settings) if errors.is_empty() && check_timing(&settings, &mut errors) => {
                Ok(settings)
            }
            _ => Err(ManifestErrors(errors)),
        }
    }
}

fn read_settings(reader: &mut FieldReader<'_>) -> Option<CellSettings> {
    let name: Option<String> = reader.text("box");
    let listen = required_group(reader, "listen", |group| {
        let callers = group.text("callers");
        let ready = group.text("ready");
        let peers = group.text("peers");
        let metrics = group.text("metrics");
        let listen =
            ListenAddresses { callers: callers?, ready: ready?, peers: peers?, metrics: metrics? };
        Some(listen)
    });
    let store = reader.text("store");
    let advice = reader.optional_text("advice");
    let strength = reader.text_or("cores", DEFAULT_STRENGTH);
    let link = reader.text_or("link_mbps", DEFAULT_LINK_RATE);
    let descriptors = reader.text_or("descriptors", DEFAULT_DESCRIPTORS);
    let memory = reader.text_or("memory", DEFAULT_MEMORY);
    let record_bytes = reader.text_or("store_record_bytes", DEFAULT_STORE_LIMITS.record_bytes);
    let call_bytes = reader.text_or("store_call_bytes", DEFAULT_STORE_LIMITS.call_bytes);
    let cell = optional_group(reader, "cell", read_cell);
    let policy = optional_group(reader, "policy", read_policy);
    let grace = reader.text_or("stop_grace", TimeSpan(6_000));
    let keep_ended = reader.text_or("keep_ended", TimeSpan(120_000));
    let name = name?;
    // Any append may have to be relayed.
    let call_bytes = call_bytes?.min(MAX_RELAYED_APPEND_BYTES);
    let store_limits = StoreLimits { record_bytes: record_bytes?, call_bytes };
    let cell = cell?;
    let max_roster_record =
        cell.max_roster_record.min(store_limits.record_bytes / ROSTER_RECORD_DIVISOR);
    let limit = TimeSpan(grace?.0.saturating_sub(PLATFORM_STOP_RESERVE.0));
    let linger = BALANCER_LAG.min(limit);
    Some(CellSettings {
        name: BoxName::from(name.as_str()),
        listen: listen?,
        store: store?,
        advice,
        strength: strength?.bounded_by(link?),
        link: link?,
        descriptors: descriptors?,
        memory: memory?,
        store_limits,
        cell: CellTiming { policy: policy?, max_roster_record, ..cell },
        authority: AuthorityTiming::default(),
        keep_ended: TimeSpan(keep_ended?.0 + KEEP_ENDED_RESERVE.0),
        stop: StopTiming {
            linger: Duration::from_millis(linger.0),
            limit: Duration::from_millis(limit.0),
        },
    })
}

fn read_cell(group: &mut FieldReader<'_>) -> Option<CellTiming> {
    let default = CellTiming::default();
    let lease_most = group.text_or("lease_most", default.max_lease);
    let lease = group.text_or("lease", default.lease);
    let stop = group.text_or("stop", default.stop);
    let size_known = group.text_or("size_known", DEFAULT_SIZE_KNOWN);
    let authority_term = AuthorityTiming::default().term;
    let max_lease = lease_most?;
    let lease = lease?.min(max_lease);
    let max_list_age = TimeSpan(size_known?.0.saturating_sub(MAX_ORDER_DELAY.0));
    Some(CellTiming { max_lease, lease, stop: stop?, authority_term, max_list_age, ..default })
}

fn read_policy(group: &mut FieldReader<'_>) -> Option<CellPolicy> {
    let default = CellPolicy::default();
    let fill_questions = group.flag_or("fill_questions", default.fill_questions);
    let displacement = group.flag_or("displacement", default.displacement);
    let patience = group.flag_or("patience", default.patience);
    let pace = group.flag_or("pace", default.pace);
    let shunning = group.flag_or("shunning", default.shunning);
    let stragglers = group.flag_or("stragglers", default.stragglers);
    let short_only = group.flag_or("short_only", default.short_only);
    let short_accounts = group.flag_or("short_accounts", default.short_accounts);
    let sharing = group.text_or("sharing", default.sharing);
    let limit_order = group.text_or("limit_order", default.limit_order);
    let admission = group.flag_or("admission", default.admission);
    let limit_room = group.flag_or("limit_room", default.limit_room);
    let worker_speeds = group.flag_or("worker_speeds", default.worker_speeds);
    let question_order = group.text_or("question_order", default.question_order);
    Some(CellPolicy {
        fill_questions: fill_questions?,
        displacement: displacement?,
        patience: patience?,
        pace: pace?,
        shunning: shunning?,
        stragglers: stragglers?,
        short_only: short_only?,
        short_accounts: short_accounts?,
        sharing: sharing?,
        limit_order: limit_order?,
        admission: admission?,
        limit_room: limit_room?,
        worker_speeds: worker_speeds?,
        question_order: question_order?,
    })
}

/// Checks times that depend on each other.
fn check_timing(settings: &CellSettings, errors: &mut Vec<ManifestError>) -> bool {
    let cell = &settings.cell;
    let min_lease = TimeSpan(cell.hold_wait.0 * 2);
    if cell.lease < min_lease {
        errors.push(ManifestError {
            path: "cell.lease".to_owned(),
            message: format!("expected at least {min_lease}, found {}", cell.lease),
        });
        return false;
    }
    true
}
