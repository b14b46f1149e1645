//! How many random courses are played.

use proptest::prelude::ProptestConfig;

/// So many, which fit into some seconds, or as many as are asked for by hand.
pub fn cases(count: u32) -> ProptestConfig {
    let default = ProptestConfig::default();
    match std::env::var_os("PROPTEST_CASES") {
        Some(_) => default,
        None => ProptestConfig { cases: count, ..default },
    }
}
