//! Runs one scenario of the review: starts the stand-ins and the boxes, disturbs them, and checks one rule.
//!
//! Exit code 0: the rule held; 1: it was broken; 2: the scenario could not run.

mod advice;
mod cell;
mod http;
mod json;
mod runner;
mod scenarios;
mod store;

use std::path::Path;
use std::process::ExitCode;

use crate::runner::Ledger;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [scenario, folder] = &arguments[..] else {
        eprintln!(
            "usage: review-standin many-ends|lasting-done|no-runners|full-connections FOLDER"
        );
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let ledger = Ledger::new();
    ledger.note(format!("scenario {scenario}, trouble {}", u8::from(trouble)));
    let result = match scenario.as_str() {
        "many-ends" => scenarios::many_ends(&ledger, trouble),
        "lasting-done" => scenarios::lasting_done(&ledger, trouble),
        "no-runners" => scenarios::no_runners(&ledger, trouble),
        "full-connections" => scenarios::full_connections(&ledger, trouble),
        other => Err(format!("no such scenario: {other}")),
    };
    let (code, text) = match result {
        Ok(broken) if broken.is_empty() => (0, "the rule held".to_owned()),
        Ok(broken) => {
            broken.iter().for_each(|what| ledger.note(format!("BROKEN: {what}")));
            (1, format!("the rule was broken {} times; the first: {}", broken.len(), broken[0]))
        }
        Err(failure) => (2, format!("the case could not run: {failure}")),
    };
    ledger.note(&text);
    println!("{text}");
    if let Err(error) = std::fs::write(Path::new(folder).join("record.txt"), ledger.record()) {
        eprintln!("record.txt was not written: {error}");
    }
    ExitCode::from(code)
}
