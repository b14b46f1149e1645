//! Stand-in for the advice service: it allows every runner, after the time that the queue's settings name.

use std::time::Duration;

use crate::http::{Reply, Request};
use crate::json::{self, Json, quote};

/// The time of a question, in microseconds, and the further time for each runner that it names.
const DECIDE_US: u64 = 10_000;
const EACH_US: u64 = 200;
/// How long a ticket is valid, in milliseconds.
const VALID_MS: u64 = 1_500;

/// The field `advice` of a queue.
pub fn settings() -> String {
    let (decide, each) = (DECIDE_US as f64 / 1_000.0, EACH_US as f64 / 1_000.0);
    format!("{{\"decide_ms\":{decide},\"each_ms\":{each},\"valid_ms\":{VALID_MS}}}")
}

/// Answers a question.
pub fn answer(request: &Request) -> Reply {
    let question = json::parse(&request.body);
    let Some(Json::List(workers)) = question.as_ref().and_then(|question| question.get("workers"))
    else {
        return Reply::json(400, "{}".to_owned());
    };
    std::thread::sleep(Duration::from_micros(DECIDE_US + EACH_US * workers.len() as u64));
    let row = |worker: &Json| match worker {
        Json::Text(id) => Some(format!("[{},\"ticket\"]", quote(id))),
        _ => None,
    };
    let rows: Vec<String> = workers.iter().filter_map(row).collect();
    Reply::json(200, format!("{{\"good\":[{}],\"valid_ms\":{VALID_MS}}}", rows.join(",")))
}
