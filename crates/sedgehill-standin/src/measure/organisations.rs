//! What a key check and a limit check cost at growing numbers of organisations.

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

/// Organisations: the users' deployment, their target, and beyond it.
const SIZES: [usize; 4] = [20, 91, 1_000, 10_000];
/// Keys of each.
const KEYS: usize = 2;
/// Checks that one figure is the mean of.
const CHECKS: usize = 200_000;
/// Turns, of which the quickest counts.
const TURNS: usize = 3;

/// What was found at one number of organisations, in nanoseconds.
#[derive(Debug, Clone, Serialize)]
struct OrganisationRow {
    organisations: usize,
    known_key: f64,
    unknown_key: f64,
    limit: f64,
}

/// What was found.
#[derive(Debug, Serialize)]
pub struct OrganisationReport {
    rows: Vec<OrganisationRow>,
}

impl OrganisationReport {
    /// A table.
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

/// Measures all sizes.
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
        for key in 0..KEYS {
            let owner = KeyOwner { organisation: name(number), index: number };
            ring.add(digest_key(&key_text(number, key)), owner);
        }
    }
    let known: Vec<String> = (0..organisations).map(|number| key_text(number, 0)).collect();
    let unknown: Vec<String> = (0..organisations).map(|number| key_text(number, KEYS)).collect();
    let check = |keys: &[String], turn: usize| {
        let key = digest_key(&keys[turn % keys.len()]);
        black_box(ring.admit(false, Ok(key))).is_ok()
    };
    OrganisationRow {
        organisations,
        known_key: time(|turn| check(&known, turn)),
        unknown_key: time(|turn| check(&unknown, turn)),
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

/// The mean time of a check, in nanoseconds.
fn time(check: impl Fn(usize) -> bool) -> f64 {
    let turn = |_| {
        let begun = Instant::now();
        let passed = (0..CHECKS).filter(|turn| check(*turn)).count();
        black_box(passed);
        begun.elapsed().as_nanos() as f64 / CHECKS as f64
    };
    (0..TURNS).map(turn).fold(f64::INFINITY, f64::min)
}
