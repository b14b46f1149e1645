//! The cases.

mod crashing_task;
mod late_start;
mod lost_lead;
mod lost_runner;
mod probing_worker;

use crate::Verdict;
use crate::json::Json;
use crate::record::Record;
use crate::runner::MachineSpec;

/// The host of all queues.
const HOST: &str = "review.example";
/// The service that runs all queues.
const SERVICE: &str = "pool";

/// Plays a case.
pub fn play(case: &str, trouble: bool, record: &Record) -> Result<Verdict, String> {
    match case {
        "probing-worker" => probing_worker::play(trouble, record),
        "lost-runner" => lost_runner::play(trouble, record),
        "lost-lead" => lost_lead::play(trouble, record),
        "late-start" => late_start::play(late_start::LONG, trouble, record),
        "late-end" => late_start::play(late_start::SHORT, trouble, record),
        "crashing-task" => crashing_task::play(trouble, record),
        _ => Err(format!("there is no case {case}")),
    }
}

/// Returns the machine of a runner: 16 cores and 64 GB, as the sheets of the small sites have them.
fn runner_spec(number: usize) -> MachineSpec {
    MachineSpec {
        service: SERVICE.to_owned(),
        zone: "a".to_owned(),
        cpu: 16_000,
        mem_mb: 65_536,
        gpu: 0,
        labels: vec!["a".to_owned(), format!("r-{number}")],
    }
}

/// Returns a configuration with queues, each given by its name, prefix and priority.
fn config(queues: &[(&str, &str, u64)]) -> String {
    let route = |(name, prefix, priority): &(&str, &str, u64)| {
        Json::object([
            ("name", (*name).into()),
            ("host", HOST.into()),
            ("path_prefix", (*prefix).into()),
            ("kind", "unsafe".into()),
            ("timeout_ms", 3_000u64.into()),
            ("target_latency_ms", 1_000u64.into()),
            ("priority", (*priority).into()),
            ("service", SERVICE.into()),
            ("max_attempts", 3u64.into()),
            ("stretch", 2u64.into()),
        ])
    };
    let service = Json::object([
        ("name", SERVICE.into()),
        ("health_path", "/healthz".into()),
        ("max_conns", 64u64.into()),
        ("protocol", "h1".into()),
        ("tls", Json::Bool(false)),
        ("enforces_capacity", Json::Bool(false)),
        ("headroom", Json::Bool(false)),
    ]);
    Json::object([
        ("version", 3u64.into()),
        ("routes", Json::List(queues.iter().map(route).collect())),
        ("services", Json::List(vec![service])),
        ("limits", Json::object([("max_body_bytes", 262_144u64.into())])),
    ])
    .write()
}
