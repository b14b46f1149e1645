//! Tests of parsing and formatting sizes, rates and times.

use proptest::prelude::*;
use sedgehill_core::units::{CoreCount, EventRate, MemorySize, TimeSpan};

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn formatted_values_parse_to_the_same_value(value in 0u64..1 << 50) {
        prop_assert_eq!(CoreCount(value).to_string().parse(), Ok(CoreCount(value)));
        prop_assert_eq!(MemorySize(value).to_string().parse(), Ok(MemorySize(value)));
        prop_assert_eq!(TimeSpan(value).to_string().parse(), Ok(TimeSpan(value)));
        prop_assert_eq!(EventRate(value).to_string().parse(), Ok(EventRate(value)));
    }

    #[test]
    fn parsing_any_text_does_not_panic(text in "\\PC{0,12}") {
        let _ = text.parse::<CoreCount>();
        let _ = text.parse::<MemorySize>();
        let _ = text.parse::<TimeSpan>();
    }
}

#[test]
fn units_of_other_quantities_are_rejected() {
    assert!("5GiB".parse::<TimeSpan>().is_err());
    assert!("5".parse::<TimeSpan>().is_err());
    assert!("5s".parse::<MemorySize>().is_err());
    assert!("99999999999999999999GiB".parse::<MemorySize>().is_err());
    assert_eq!("1500m".parse(), Ok(CoreCount(1_500)));
    assert_eq!("2".parse(), Ok(CoreCount(2_000)));
}
