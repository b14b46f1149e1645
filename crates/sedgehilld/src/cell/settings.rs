//! The settings of a box in cell mode, from JSON to checked types.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use sedgehill_cell::authority::{AuthorityTiming, BoxStrength};
use sedgehill_cell::ids::BoxName;
use sedgehill_cell::scheduler::{CellPolicy, CellTiming};
use sedgehill_cell::standby::LinkRate;
use sedgehill_core::fields::{FieldReader, ManifestError, ManifestErrors};
use sedgehill_core::units::TimeSpan;
use serde_json::{Map, Value};

use crate::settings::{SettingsError, optional_group, read_object, required_group};

/// Where a box listens in cell mode.
#[derive(Debug, Clone, PartialEq)]
pub struct CellListen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the platform's question whether the box takes callers.
    pub ready: SocketAddr,
    /// For other boxes.
    pub peers: SocketAddr,
    /// For whoever reads metrics.
    pub metrics: SocketAddr,
}

/// How a box stops in cell mode.
#[derive(Debug, Clone, PartialEq)]
pub struct StopTiming {
    /// How long callers may still come after the box said that it is not ready.
    pub linger: Duration,
    /// When the box ends at the latest, from the signal on.
    pub limit: Duration,
}

/// The settings of a box in cell mode.
#[derive(Debug, Clone)]
pub struct CellSettings {
    /// Its name.
    pub name: BoxName,
    /// Where it listens.
    pub listen: CellListen,
    /// The platform's store.
    pub store: SocketAddr,
    /// The service that tells which workers may run a step, if there is one.
    pub advice: Option<SocketAddr>,
    /// What the box can bear: stronger boxes lead.
    pub strength: BoxStrength,
    /// What the box's link carries.
    pub link: LinkRate,
    /// Descriptors that the process may use.
    pub descriptors: usize,
    /// Times of the scheduler.
    pub cell: CellTiming,
    /// Times of claims and renewals.
    pub authority: AuthorityTiming,
    /// How long the state of a job that is over is kept.
    pub keep_ended: TimeSpan,
    /// How the box stops.
    pub stop: StopTiming,
}

/// Time kept between the last answer and the moment at which the platform ends the process.
const STOP_RESERVE: TimeSpan = TimeSpan(600);
/// How long the platform's entry may still send callers: two questions a second apart, and a third
/// of a second for the connections under way.
const ENTRY_LAG: TimeSpan = TimeSpan(2_300);

/// How long after a worker was listed with less it may still be filled by what it had: the platform's usual time.
const SIZE_KNOWN: TimeSpan = TimeSpan(3_000);
/// What an order takes on its way at the most, where nothing is held up.
const ORDER_WAY: TimeSpan = TimeSpan(200);
/// Added to the time for which ended jobs are kept: boxes hear of an end at different times.
const KEEP_RESERVE: TimeSpan = TimeSpan(30_000);
/// The strength of a box whose settings tell none: that of the platform's usual boxes.
const DEFAULT_STRENGTH: BoxStrength = BoxStrength(250);
/// What the link of a box carries whose settings tell nothing: 1,000 Mbit/s, as those of the platform's
/// usual boxes.
const DEFAULT_LINK: LinkRate = LinkRate::from_bytes_per_second(125_000_000);
/// Descriptors of a process whose settings tell none: those of the platform's usual boxes.
const DEFAULT_DESCRIPTORS: usize = 4_096;

impl CellSettings {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<CellSettings, SettingsError> {
        let fields = read_object(path)?;
        CellSettings::parse(&fields).map_err(|errors| SettingsError::Check(path.to_owned(), errors))
    }

    /// Checks settings.
    pub fn parse(fields: &Map<String, Value>) -> Result<CellSettings, ManifestErrors> {
        let mut errors = Vec::new();
        let mut reader = FieldReader::new("", fields, &mut errors);
        let settings = read_settings(&mut reader);
        reader.finish();
        match settings {
            Some(settings) if errors.is_empty() && check_times(&settings, &mut errors) => {
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
            CellListen { callers: callers?, ready: ready?, peers: peers?, metrics: metrics? };
        Some(listen)
    });
    let store = reader.text("store");
    let advice = reader.optional_text("advice");
    let strength = reader.text_or("cores", DEFAULT_STRENGTH);
    let link = reader.text_or("link_mbps", DEFAULT_LINK);
    let descriptors = reader.text_or("descriptors", DEFAULT_DESCRIPTORS);
    let cell = optional_group(reader, "cell", read_cell);
    let policy = optional_group(reader, "policy", read_policy);
    let grace = reader.text_or("stop_grace", TimeSpan(6_000));
    let keep_ended = reader.text_or("keep_ended", TimeSpan(120_000));
    let name = name?;
    let limit = TimeSpan(grace?.0.saturating_sub(STOP_RESERVE.0));
    let linger = ENTRY_LAG.min(limit);
    Some(CellSettings {
        name: BoxName::from(name.as_str()),
        listen: listen?,
        store: store?,
        advice,
        strength: strength?.bounded_by(link?),
        link: link?,
        descriptors: descriptors?,
        cell: CellTiming { policy: policy?, ..cell? },
        authority: AuthorityTiming::default(),
        keep_ended: TimeSpan(keep_ended?.0 + KEEP_RESERVE.0),
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
    let size_known = group.text_or("size_known", SIZE_KNOWN);
    let authority_term = AuthorityTiming::default().term;
    let max_lease = lease_most?;
    let lease = lease?.min(max_lease);
    let max_list_age = TimeSpan(size_known?.0.saturating_sub(ORDER_WAY.0));
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
    })
}

/// Times that only make sense together.
fn check_times(settings: &CellSettings, errors: &mut Vec<ManifestError>) -> bool {
    let cell = &settings.cell;
    let least = TimeSpan(cell.hold_wait.0 * 2);
    if cell.lease < least {
        errors.push(ManifestError {
            path: "cell.lease".to_owned(),
            message: format!("expected at least {least}, found {}", cell.lease),
        });
        return false;
    }
    true
}
