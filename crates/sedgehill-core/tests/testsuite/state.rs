//! Tests that the same log gives the same state and verdicts, whichever entry a reader starts at.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sedgehill_core::ids::{IdempotencyKey, Offset, RecordId, Version};
use sedgehill_core::manifest::WorkManifest;
use sedgehill_core::record::{LogEntry, LogRecord, RecordBatch, RecordBody};
use sedgehill_core::spec::{ConfigKey, ConfigSpec};
use sedgehill_core::state::{CLAIM_WINDOW_MS, ClusterState, LogFold, RecordVerdict, VoidReason};
use uuid::{NoContext, Timestamp, Uuid};

fn entry(offset: u64, at_ms: u64, bodies: Vec<(u128, RecordBody)>) -> LogEntry {
    let record = |(id, body)| LogRecord {
        id: RecordId(Uuid::from_u128(id)),
        by: "box-1".parse().expect("a valid name"),
        body,
    };
    let records = bodies.into_iter().map(record).collect();
    LogEntry { offset: Offset(offset), at_ms, batch: RecordBatch { records } }
}

fn parameters(queue: u64) -> ConfigSpec {
    let text = format!(
        r#"{{ "parameters": [{{ "organisation": "o", "template": "t", "queue": {queue} }}] }}"#
    );
    let manifest: WorkManifest = text.parse().expect("a valid manifest");
    manifest.specs.into_iter().next().expect("one entry")
}

fn publish(base: Option<u64>, queue: u64) -> RecordBody {
    RecordBody::Publish { base: base.map(Version), spec: parameters(queue) }
}

fn key_at(ms: u64) -> IdempotencyKey {
    let time = Timestamp::from_unix(NoContext, ms / 1000, (ms % 1000) as u32 * 1_000_000);
    Uuid::new_v7(time).try_into().expect("a version 7 UUID")
}

fn claim(key: IdempotencyKey) -> RecordBody {
    RecordBody::ClaimKey { organisation: "o".parse().expect("a valid name"), key }
}

#[test]
fn the_first_of_two_edits_of_a_version_is_accepted() {
    let mut state = ClusterState::default();
    state.apply(&entry(0, 1, vec![(1, publish(None, 1))]));
    let verdicts =
        state.apply(&entry(1, 2, vec![(2, publish(Some(0), 2)), (3, publish(Some(0), 3))]));
    assert_eq!(verdicts[0].1, RecordVerdict::Accepted { at: Offset(1) });
    assert_eq!(verdicts[1].1, RecordVerdict::Conflict { winner: Some(Version(1)) });
    let repeated = state.apply(&entry(2, 3, vec![(2, publish(Some(0), 2))]));
    assert_eq!(
        repeated[0].1,
        RecordVerdict::Accepted { at: Offset(1) },
        "a record appended again has no second effect"
    );
    let key: ConfigKey = "parameters/o/t".parse().expect("a valid key");
    assert_eq!(state.current(&key).map(|version| version.version), Some(Version(1)));
}

#[test]
fn a_claim_is_discarded_only_when_its_key_is_outside_the_window() {
    let mut state = ClusterState::default();
    let key = key_at(10_000_000);
    let accepted = state.apply(&entry(0, 10_000_000, vec![(1, claim(key))]));
    assert!(matches!(accepted[0].1, RecordVerdict::Accepted { .. }));
    let second = state.apply(&entry(1, 10_000_001, vec![(2, claim(key))]));
    assert_eq!(second[0].1, RecordVerdict::Void { reason: VoidReason::KeyClaimed });
    let last_ms_in_window = 10_000_000 + CLAIM_WINDOW_MS - 1;
    let third = state.apply(&entry(2, last_ms_in_window, vec![(3, claim(key))]));
    assert_eq!(third[0].1, RecordVerdict::Void { reason: VoidReason::KeyClaimed });
    let late = state.apply(&entry(3, last_ms_in_window + 1, vec![(4, claim(key))]));
    assert_eq!(late[0].1, RecordVerdict::Void { reason: VoidReason::KeyOutsideWindow });
    assert!(
        state.claims.values().all(|claims| claims.is_empty()),
        "the expired claim is discarded"
    );
    let clock_set_back = state.apply(&entry(4, 5, vec![(5, claim(key))]));
    let outside = RecordVerdict::Void { reason: VoidReason::KeyOutsideWindow };
    assert_eq!(clock_set_back[0].1, outside, "the time of the state does not go back");
}

#[test]
fn a_released_key_may_be_claimed_by_another_record_but_not_by_the_same_again() {
    let mut state = ClusterState::default();
    let key = key_at(10_000_000);
    let organisation = "o".parse().expect("a valid name");
    let first = RecordId(Uuid::from_u128(1));
    state.apply(&entry(0, 10_000_000, vec![(1, claim(key))]));
    let release = RecordBody::ReleaseKey { organisation, key, claim: first };
    state.apply(&entry(1, 10_000_001, vec![(2, release)]));
    let copy = state.apply(&entry(2, 10_000_002, vec![(1, claim(key))]));
    assert_eq!(copy[0].1, RecordVerdict::Void { reason: VoidReason::KeyClaimed });
    let other = state.apply(&entry(3, 10_000_003, vec![(3, claim(key))]));
    assert!(matches!(other[0].1, RecordVerdict::Accepted { .. }));
}

fn any_bodies() -> impl Strategy<Value = Vec<RecordBody>> {
    let hall =
        prop_oneof![Just("a"), Just("b")].prop_map(|name| name.parse().expect("a valid name"));
    let body = prop_oneof![
        (proptest::option::of(0u64..30), 1u64..9).prop_map(|(base, queue)| publish(base, queue)),
        (hall.clone(), proptest::option::of(0u64..30))
            .prop_map(|(hall, after)| RecordBody::ClaimLead { hall, after: after.map(Offset) }),
        (hall.clone(), 0u64..30).prop_map(|(hall, epoch)| RecordBody::RenewLead {
            hall,
            epoch: sedgehill_core::ids::Epoch(epoch)
        }),
        (hall, 0u64..30).prop_map(|(hall, epoch)| RecordBody::ReleaseLead {
            hall,
            epoch: sedgehill_core::ids::Epoch(epoch)
        }),
        (0u64..5).prop_map(|ms| claim(
            Uuid::new_v7(Timestamp::from_unix(NoContext, ms, 0))
                .try_into()
                .expect("a version 7 UUID")
        )),
    ];
    proptest::collection::vec(body, 1..4)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(13), failure_persistence: None,
        ..ProptestConfig::default() })]

    /// A reader that starts at a later entry and finds a snapshot gets the same state as one that
    /// read the whole log, even if every entry is delivered twice.
    #[test]
    fn a_late_reader_gets_the_same_state_from_a_snapshot(
        batches in proptest::collection::vec(any_bodies(), 2..40),
        at in 0usize..40,
        discarded in 0usize..40,
    ) {
        let mut full_state = ClusterState::default();
        let mut entries = Vec::new();
        let at = at % batches.len();
        let mut snapshot = None;
        for (index, bodies) in batches.into_iter().enumerate() {
            let bodies = bodies.into_iter().enumerate();
            let bodies = bodies.map(|(number, body)| ((index * 10 + number) as u128, body)).collect();
            let entry = entry(index as u64, index as u64, bodies);
            full_state.apply(&entry);
            entries.push(entry);
            if index == at {
                snapshot = Some(full_state.clone());
            }
        }
        let state = Box::new(snapshot.expect("the index is within the log"));
        let body = RecordBody::Snapshot { at: Offset(at as u64), state };
        let last = entries.len() as u64;
        let snapshot_entry = entry(last, last, vec![(u128::MAX, body)]);
        full_state.apply(&snapshot_entry);
        entries.push(snapshot_entry);

        let first = discarded % (at + 2);
        let mut fold = LogFold::default();
        for entry in &entries[first..] {
            fold.feed(entry.clone());
            fold.feed(entry.clone());
        }
        prop_assert_eq!(fold.state(), Some(&full_state));
    }

    /// An older state from elsewhere is never adopted.
    #[test]
    fn an_older_state_is_not_adopted(batches in proptest::collection::vec(any_bodies(), 2..30), at in 0usize..30) {
        let mut fold = LogFold::default();
        let mut states = Vec::new();
        for (index, bodies) in batches.into_iter().enumerate() {
            let bodies = bodies.into_iter().enumerate();
            let bodies = bodies.map(|(number, body)| ((index * 10 + number) as u128, body)).collect();
            fold.feed(entry(index as u64, index as u64, bodies));
            states.push(fold.state().expect("a state from the first entry on").clone());
        }
        let newest = states.last().expect("at least one state").clone();
        let old = states[at % states.len()].clone();
        prop_assert!(!fold.adopt(old));
        prop_assert_eq!(fold.state(), Some(&newest));
    }
}
