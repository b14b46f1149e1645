//! Entries of other writers that are nested deeply, hold numbers or ports out of range, or have odd keys, in each topic and
//! list that a running box reads, in both modes: the box says what it passes over and follows on.
//!
//! Guards against boxes that read a list no longer, or end, because of one entry in it.

use std::path::Path;
use std::time::Duration;

use sedgehill_standin::caller::CallPlan;
use sedgehill_standin::cell_platform::{CellPlatform, LEAD_TOPIC, OPERATOR_TOPIC, PROGRESS_TOPIC};
use sedgehill_standin::ledger::CallerOutcome;
use serde_json::{Value, json};

use crate::cell_support::{
    assert_no_violation, start_box, submit as submit_to_cell, wait_completed, wait_for, wait_ready,
};
use crate::support::{CHECK, small_plan, start_published, submit, wait_phase};

const WORKER_TOPIC: &str = "keyed.servers";
const JOBS_TOPIC: &str = "keyed.sedgehill-jobs";
/// Nested deeply enough to overflow the stack of a decoder that calls itself for each level.
const DEPTH: usize = 50_000;

fn nested() -> String {
    "[".repeat(DEPTH) + &"]".repeat(DEPTH)
}

/// Returns entries of workers with one odd field each.
fn odd_entries(address: &str) -> Vec<String> {
    let nested = nested();
    let entry = |address: &str, cpu: &str, other: &str| {
        format!(
            r#"{{"service":"pool","address":"{address}","zone":"a","state":"ready","seq":{other},
            "capacity":{{"cpu":{cpu},"mem_mb":16384,"gpu":0}},"labels":[]}}"#
        )
    };
    let ports = ["127.0.0.1:65536", "127.0.0.1:0", "127.0.0.1:99999999999999999999"];
    let numbers = ["1e999", "-1", "18446744073709551615", "18446744073709551616", &nested];
    let at_ports = ports.iter().map(|odd| entry(odd, "4000", "1"));
    let of_size = numbers.iter().map(|odd| entry(address, odd, "1"));
    at_ports.chain(of_size).chain([nested.clone(), "[".repeat(DEPTH), "1e999".to_owned()]).collect()
}

fn count_lines(directory: &Path, name: &str, message: &str) -> usize {
    let log = std::fs::read_to_string(directory.join(format!("{name}.log"))).unwrap();
    log.lines().filter(|line| line.contains(&format!("\"{message}\""))).count()
}

/// Leaves odd records in all topics that a box reads. Returns the number of those in the list of workers.
fn put_odd_records(platform: &CellPlatform) -> usize {
    let entries = odd_entries(&platform.worker_addresses[0].to_string());
    for (number, entry) in entries.iter().enumerate() {
        platform.store.put_bytes(WORKER_TOPIC, &format!("odd-{number}"), entry.as_bytes());
    }
    let keys =
        ["", "\u{0}", "a b", "roster/", "roster", "q", "q0000000000000001/0.0", "evacuate/", "l1"];
    let long_key = "k".repeat(255);
    for topic in [OPERATOR_TOPIC, LEAD_TOPIC, JOBS_TOPIC, PROGRESS_TOPIC] {
        for key in keys.into_iter().chain([long_key.as_str()]) {
            for value in [&b"\xff\xfe"[..], nested().as_bytes(), b"1e999", &[0x80; 40], &[0; 3]] {
                platform.store.put_bytes(topic, key, value);
            }
        }
    }
    entries.len()
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_records_in_any_topic_stop_no_box_of_a_cell() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(3).await.unwrap();
    platform.configure(1);
    let mut boxes = vec![start_box(directory.path(), "first", &platform)];
    wait_ready(&boxes[0]).await;
    submit_to_cell(&[&boxes[0]], 1).await;
    wait_completed(&boxes[0], 1).await;
    let odd_entries = put_odd_records(&platform);
    // A running lead follows on, and so does a box that reads all topics anew, alone in the end.
    boxes.push(start_box(directory.path(), "second", &platform));
    for (number, process) in boxes.iter().enumerate() {
        wait_ready(process).await;
        let id = number as u64 + 2;
        submit_to_cell(&[process], id).await;
        wait_completed(process, id).await;
    }
    wait_for("the entries to be reported", async || {
        count_lines(directory.path(), "first", "worker entry not readable") >= odd_entries
    })
    .await;
    assert_eq!(count_lines(directory.path(), "first", "worker entry not readable"), odd_entries);
    assert!(count_lines(directory.path(), "second", "cell record not readable") > 0);
    // The configuration goes on as well.
    platform.configure(2);
    assert!(boxes.iter_mut().all(|process| !process.has_ended()));
    drop(boxes.remove(0));
    submit_to_cell(&[&boxes[0]], 9).await;
    wait_completed(&boxes[0], 9).await;
    assert!(!boxes[0].has_ended());
    assert_no_violation(&platform);
}

/// An odd item made the page unreadable that holds it, and with it the list.
#[tokio::test(flavor = "multi_thread")]
async fn odd_items_in_a_page_of_the_store_stop_no_box() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(3).await.unwrap();
    platform.configure(1);
    let process = start_box(directory.path(), "only", &platform);
    wait_ready(&process).await;
    for topic in [WORKER_TOPIC, OPERATOR_TOPIC, LEAD_TOPIC, JOBS_TOPIC, PROGRESS_TOPIC] {
        for odd in [nested(), "1e999".to_owned(), r#""\ud800""#.to_owned()] {
            platform.store.put_raw_text(topic, format!(r#"{{"key":"odd","value":{odd}}}"#));
            platform.store.put_raw_text(topic, odd);
        }
    }
    let mut other = start_box(directory.path(), "other", &platform);
    wait_ready(&other).await;
    for (id, process) in [(1, &process), (2, &other)] {
        submit_to_cell(&[process], id).await;
        wait_completed(process, id).await;
    }
    drop(process);
    submit_to_cell(&[&other], 3).await;
    wait_completed(&other, 3).await;
    assert!(!other.has_ended());
    assert_no_violation(&platform);
}

/// One odd entry made the whole list unreadable in this mode: boxes used the last list for ever, and one that started
/// then used none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_entries_in_the_list_stop_no_box_in_log_mode() {
    let mut cluster = start_published(&small_plan()).await;
    let nested = nested();
    let place = r#""hall":"gdansk-hala-a""#;
    let total = r#""total":{"cores":4000,"memory":4096,"accelerators":0},"leaving":false"#;
    let mut odd = 0;
    for field in ["boxes", "endpoints", "workers"] {
        let entries = [
            nested.clone(),
            "1e999".to_owned(),
            "null".to_owned(),
            format!(
                r#"{{"id":"odd-1",{place},"service":"windyk","address":"127.0.0.1:65536","peer_address":"127.0.0.1:65536","rack":"r",{total}}}"#
            ),
            format!(
                r#"{{"id":"odd-2",{place},"service":"windyk","address":"127.0.0.1:0","peer_address":"127.0.0.1:0","rack":"r",{total}}}"#
            ),
            format!(
                r#"{{"id":"odd-3",{place},"service":{nested},"address":"127.0.0.1:9","peer_address":{nested},"rack":{nested},{total}}}"#
            ),
            format!(
                r#"{{"id":"odd-4",{place},"service":"windyk","address":"127.0.0.1:9","peer_address":1e999,"rack":"r","total":{{"cores":1e999,"memory":1,"accelerators":0}},"leaving":1e999}}"#
            ),
            r#"{"id":"\ud800"}"#.to_owned(),
        ];
        odd += entries.len();
        entries.into_iter().for_each(|entry| cluster.list.put_foreign(field, entry));
    }
    // One that starts now reads the list for the first time.
    cluster.boxes[2].kill();
    cluster.start_box(2);
    for index in 0..cluster.boxes.len() {
        cluster.wait_ready(index).await;
    }
    // A change after the odd entries is followed.
    let leaving = cluster.endpoints[0].id().clone();
    cluster.list.set_endpoint_leaving(&leaving, true);
    for process in &cluster.boxes {
        let plan = CallPlan::new(CHECK, Duration::from_millis(5));
        let report = cluster.caller().call(process.addresses.traffic, &plan, false).await;
        assert_eq!(report.outcome, CallerOutcome::Answered, "{report:?}");
    }
    let batch = submit(&cluster, "arrears-rerun", 10).await;
    wait_phase(&cluster, &batch, "done").await;
    for process in &mut cluster.boxes {
        assert_eq!(process.try_wait(), None, "{} has ended", process.id);
        let reported = process.log_text().matches("list entry not readable").count();
        assert_eq!(reported.min(odd), odd.min(16), "{}", process.id);
    }
    cluster.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_of_other_writers_in_the_log_stop_no_box() {
    let mut cluster = start_published(&small_plan()).await;
    let deep = (0..1_000).fold(json!(1), |inner, _| json!([inner]));
    let own_like =
        json!({ "id": u64::MAX, "by": "other", "body": { "type": 7, "hall": deep.clone() } });
    let batches: [Value; 7] = [
        json!(null),
        json!([]),
        json!({}),
        deep.clone(),
        json!({ "records": 7 }),
        json!({ "records": [null, 1e308, u64::MAX, deep] }),
        json!({ "records": [own_like] }),
    ];
    let count = batches.len();
    batches.into_iter().for_each(|batch| cluster.log.put_foreign(batch));
    cluster.boxes[2].kill();
    cluster.start_box(2);
    for index in 0..cluster.boxes.len() {
        cluster.wait_ready(index).await;
    }
    let batch = submit(&cluster, "arrears-rerun", 10).await;
    wait_phase(&cluster, &batch, "done").await;
    for process in &mut cluster.boxes {
        assert_eq!(process.try_wait(), None, "{} has ended", process.id);
        let reported =
            process.log_text().matches("log entry of another writer passed over").count();
        assert!(reported >= count, "{}: {reported}", process.id);
    }
    cluster.assert_no_violation();
}
