//! Tests that parsing a manifest never panics and explains every error.

use proptest::prelude::*;
use sedgehill_core::manifest::WorkManifest;
use serde_json::{Value, json};

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        "[a-z0-9]{0,8}".prop_map(Value::from),
        prop_oneof![Just("1s"), Just("2GiB"), Just("500m"), Just("service"), Just("batch")]
            .prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 48, 6, |inner| {
        let keys = prop_oneof![
            Just("templates"),
            Just("parameters"),
            Just("name"),
            Just("type"),
            Just("kinds"),
            Just("slots"),
            Just("resources"),
            Just("cores"),
            Just("memory"),
            Just("run_time"),
            Just("patience"),
            Just("halls"),
        ];
        prop_oneof![
            proptest::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            proptest::collection::vec((keys, inner), 0..6).prop_map(|fields| {
                Value::Object(
                    fields.into_iter().map(|(key, value)| (key.to_owned(), value)).collect(),
                )
            }),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_json_is_accepted_or_gets_errors_with_paths(value in any_json()) {
        if let Err(errors) = value.to_string().parse::<WorkManifest>() {
            prop_assert!(!errors.0.is_empty());
            prop_assert!(errors.0.iter().all(|error| !error.path.is_empty() && !error.message.is_empty()));
        }
    }

    #[test]
    fn parsing_any_text_does_not_panic(text in "\\PC{0,200}") {
        let _ = text.parse::<WorkManifest>();
    }
}

#[test]
fn a_complete_manifest_is_parsed() {
    let text = json!({
        "templates": [{ "name": "t", "type": "service", "slots": 8, "connections": 60,
            "kinds": { "k": { "patience": "1s", "timeout": "2s" } } }],
        "parameters": [{ "organisation": "o", "template": "t" }]
    });
    let manifest: WorkManifest = text.to_string().parse().expect("a valid manifest");
    assert_eq!(manifest.specs.len(), 2);
    assert!(manifest.check_references(|_| false).is_ok());
}
