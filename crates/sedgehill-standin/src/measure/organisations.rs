//! Measures the time of an API key check and of a resource limit check at growing numbers of
//! organisations.

use std::fmt::Write;
use std::hint::black_box;
use std::time::Instant;

use sedgehill_adapter::api_key::digest_key;
use sedgehill_cell::ids::OrganisationName;
use sedgehill_cell::organisation::{
    JobOwner, KeyOwner, KeyRing, OrganisationPolicy, ResourceLimit, ShareWeight,
};
use sedgehill_cell::scheduler::OrganisationTable;
use sedgehill_core::units::{CoreCount, MemorySize, Moment, ResourceSet};
use serde::Serialize;

/// Numbers of organisations: those of the users' deployment, those of their target, and more.
const SIZES: [usize; 4] = [20, 91, 1_000, 10_000];
/// Keys of each organisation.
const KEYS_PER_ORGANISATION: usize = 2;
/// Checks in one round, over which the mean time is taken.
const CHECKS_PER_ROUND: usize = 200_000;
/// Rounds of each measurement, of which the fastest is reported.
const ROUNDS: usize = 3;

/// Mean times of the checks at one number of organisations, in nanoseconds.
#[derive(Debug, Clone, Serialize)]
struct OrganisationRow {
    organisations: usize,
    known_key: f64,
    unknown_key: f64,
    limit: f64,
}

/// Result of the measurement.
#[derive(Debug, Serialize)]
pub struct OrganisationReport {
    rows: Vec<OrganisationRow>,
}

impl OrganisationReport {
    /// Returns the results as a table.
    pub fn render(&self) -> String {
        let mut text = String::from("organisations  known key  unknown key  limit (ns a check)\n");
        for row in &self.rows {
            writeln!(
                text,
                "{:>13}  {:>9.0}  {:>11.0}  {:>5.1}",
                row.organisations, row.known_key, row.unknown_key, row.limit
            )
            .expect("text can be written");
        }
        text
    }
}

/// Measures the checks at each number of organisations.
pub fn measure() -> OrganisationReport {
    OrganisationReport { rows: SIZES.into_iter().map(measure_size).collect() }
}

fn name(number: usize) -> OrganisationName {
    OrganisationName::from(format!("organisation-{number}").as_str())
}

fn key_text(number: usize, key: usize) -> String {
    format!("key-{key}-of-organisation-{number}")
}

fn measure_size(organisations: usize) -> OrganisationRow {
    let mut ring = KeyRing::default();
    for number in 0..organisations {
        for key in 0..KEYS_PER_ORGANISATION {
            let owner = KeyOwner { organisation: name(number), index: number };
            ring.add(digest_key(&key_text(number, key)), owner);
        }
    }
    let known: Vec<String> = (0..organisations).map(|number| key_text(number, 0)).collect();
    let unknown: Vec<String> =
        (0..organisations).map(|number| key_text(number, KEYS_PER_ORGANISATION)).collect();
    let check = |keys: &[String], index: usize| {
        let key = digest_key(&keys[index % keys.len()]);
        black_box(ring.admit(false, Ok(key))).is_ok()
    };
    OrganisationRow {
        organisations,
        known_key: time(|index| check(&known, index)),
        unknown_key: time(|index| check(&unknown, index)),
        limit: measure_limit(organisations),
    }
}

fn measure_limit(organisations: usize) -> f64 {
    let limit = ResourceLimit { cores: Some(CoreCount(480_000)), ..ResourceLimit::default() };
    let policy = |number| OrganisationPolicy {
        name: name(number),
        weight: ShareWeight(1_000),
        maximum: limit,
    };
    let policies: Vec<OrganisationPolicy> = (0..organisations).map(policy).collect();
    let mut table = OrganisationTable::default();
    table.set_policies(&policies, Moment(0));
    let owner = |policy: &OrganisationPolicy| JobOwner {
        organisation: policy.name.clone(),
        maximum: policy.maximum,
    };
    let keys: Vec<_> =
        policies.iter().map(|policy| table.key_for_owner(&owner(policy), Moment(0))).collect();
    let need =
        ResourceSet { cores: CoreCount(9_000), memory: MemorySize(1 << 30), accelerators: 0 };
    time(|turn| black_box(table.room_for(Some(keys[turn % keys.len()]), &need)) > 0)
}

/// Returns the mean time of a check in the fastest round, in nanoseconds. `check` is given the
/// number of the check in the round.
fn time(check: impl Fn(usize) -> bool) -> f64 {
    let round = |_| {
        let started = Instant::now();
        let passed = (0..CHECKS_PER_ROUND).filter(|index| check(*index)).count();
        black_box(passed);
        started.elapsed().as_nanos() as f64 / CHECKS_PER_ROUND as f64
    };
    (0..ROUNDS).map(round).fold(f64::INFINITY, f64::min)
}
