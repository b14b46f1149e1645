//! The profile [`SoakProfile::Limits`](super::SoakProfile::Limits): organisations with limits, of which one at a time sends
//! several times its share. Boxes may refuse its jobs, and a job that was refused at each of its calls must not run.

use std::time::Duration;

use crate::cell_platform::{CORES, CellPlatform, StandinOrganisation};

/// The organisations, each with the key of its callers.
const ORGANISATIONS: [(&str, &str); 3] =
    [("north", "north-key-21c4"), ("south", "south-key-7d0b"), ("west", "west-key-93fe")];
/// Position of the number of the organisation in a job id. It is the first hexadecimal digit, by which the workers' check
/// of limits tells organisations apart.
const ORGANISATION_SHIFT: u32 = 60;
/// How long one organisation sends more than its share.
const BURST: Duration = Duration::from_secs(3);
/// How many times as often a caller of this organisation submits.
const BURST_FACTOR: u32 = 6;
/// The share of its limit that an organisation has in every second version, in percent.
const LOWERED_PERCENT: u64 = 60;

/// Writes a version of the configuration in which the limits together are as large as the cell, or lower.
pub fn configure(platform: &CellPlatform, version: u64) {
    let cores = (platform.worker_addresses.len() * CORES / ORGANISATIONS.len()) as u64;
    if version == 1 {
        for number in 0..ORGANISATIONS.len() {
            platform.workers.limit_running_tasks(&number.to_string(), cores as usize);
        }
    }
    let cores = if version.is_multiple_of(2) { cores * LOWERED_PERCENT / 100 } else { cores };
    let organisation = |(name, key): &(&'static str, &str)| StandinOrganisation {
        name,
        keys: vec![(*key).to_owned()],
        cores,
    };
    let organisations: Vec<_> = ORGANISATIONS.iter().map(organisation).collect();
    platform.configure_organisations(version, &organisations);
}

/// Returns the id of a job by its number. Callers belong to the organisations in turn.
pub fn job_id(caller: u64, number: u64) -> u64 {
    let organisation = caller % ORGANISATIONS.len() as u64;
    (organisation << ORGANISATION_SHIFT) | (caller << 48) | number
}

/// Returns the key with which a job is submitted.
pub fn key_of(id: u64) -> &'static str {
    let number = (id >> ORGANISATION_SHIFT) as usize;
    ORGANISATIONS.get(number).map_or("", |(_, key)| key)
}

/// Returns the pause between two jobs of a caller, `elapsed` after the start of the load. The organisations send more than
/// their share in turn, with a turn in which none does.
pub fn job_pause(caller: u64, elapsed: Duration, usual: Duration) -> Duration {
    let turn = (elapsed.as_millis() / BURST.as_millis()) as u64 % (ORGANISATIONS.len() as u64 + 1);
    match turn == caller % ORGANISATIONS.len() as u64 {
        true => usual / BURST_FACTOR,
        false => usual,
    }
}
