//! Runs one case of the third review: `review-standin-3 CASE ROOT FOLDER`, with `TROUBLE=0` without its disruption.
//!
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

mod cases;
mod cell;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(root), Some(folder)) = (args.next(), args.next(), args.next()) else {
        eprintln!("usage: review-standin-3 CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let context =
        cases::Context { root: PathBuf::from(root), folder: PathBuf::from(folder), trouble };
    let outcome = match case.as_str() {
        "large-job" => cases::large_job(&context),
        "adopted" => cases::adopted(&context),
        "cancelled" => cases::cancelled(&context),
        "foreign-entry" => cases::foreign_entry(&context),
        "three-losses" => cases::three_losses(&context),
        _ => cases::Outcome::NotRun,
    };
    match outcome {
        cases::Outcome::Held => ExitCode::SUCCESS,
        cases::Outcome::Broken => ExitCode::from(1),
        cases::Outcome::NotRun => ExitCode::from(2),
    }
}
