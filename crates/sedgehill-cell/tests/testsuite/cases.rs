//! Number of cases of the property tests.

use proptest::prelude::ProptestConfig;

/// Returns a configuration with `count` cases, unless `PROPTEST_CASES` sets another number.
pub fn cases(count: u32) -> ProptestConfig {
    let default = ProptestConfig::default();
    match std::env::var_os("PROPTEST_CASES") {
        Some(_) => default,
        None => ProptestConfig { cases: count, ..default },
    }
}
