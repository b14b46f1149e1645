//! Stand-ins and clients for the cases of the second review. `review-rig CASE RECORD` plays a case in the repository's
//! root and exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.

mod cases;
mod cell;
mod http;
mod json;
mod record;
mod runner;
mod store;
mod way;

use std::process::ExitCode;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record_path] = arguments.as_slice() else {
        eprintln!("usage: review-rig CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(record_path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{record_path}: {error}");
            return ExitCode::from(2);
        }
    };
    record
        .line(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let result = cases::play(case, trouble, &record);
    let (text, code) = match result {
        Ok(Verdict::Held) => ("the rule held".to_owned(), 0),
        Ok(Verdict::Broken) => ("the rule was broken".to_owned(), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
