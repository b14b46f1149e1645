//! The demonstration: a whole cell with two example deployments, under load and faults, in which the stand-ins count
//! violations of the safety rules.

mod load;
mod report;
mod sampling;
mod scenario;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use pico_args::Arguments;
use sedgehill_standin::cluster::{
    ClusterPlan, EndpointGroup, TestCluster, WorkerGroup, quick_settings, standard_worker,
};

use crate::commands::{CommandResult, finish};

pub use sampling::process_usage;

/// Data halls of the organisation Haddad & Sons.
const HADDAD_HALLS: [&str; 4] = ["abdali", "sweifieh", "marka", "tlaa-ali"];
/// Data halls of the organisation Inkaso Trójmiasto.
const INKASO_HALLS: [&str; 3] = ["gdansk-hala-a", "gdynia-hala-b", "sopot-hala-c"];
const DEFAULT_SECONDS: u64 = 20;
/// Shorter runs would leave too little time between the faults.
const MIN_SECONDS: u64 = 10;

/// Runs the command `demo`. All processes that it starts end with it.
pub async fn run(mut args: Arguments) -> CommandResult {
    let seconds = args.opt_value_from_str("--seconds").map_err(|error| error.to_string())?;
    let json: Option<PathBuf> =
        args.opt_value_from_str("--json").map_err(|error| error.to_string())?;
    finish(args)?;
    let seconds: u64 = seconds.unwrap_or(DEFAULT_SECONDS);
    if seconds < MIN_SECONDS {
        return Err(format!("--seconds: expected at least {MIN_SECONDS}, found {seconds}"));
    }
    let report = scenario::run(&example_plan(), Duration::from_secs(seconds)).await;
    print!("{}", report.render());
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(&report).expect("our types serialize");
        std::fs::write(&path, text).map_err(|error| error.to_string())?;
    }
    Ok(if report.passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Returns the two example deployments in one cell of three boxes.
fn example_plan() -> ClusterPlan {
    ClusterPlan {
        boxes: vec!["abdali", "gdansk-hala-a", "sweifieh"],
        endpoints: vec![
            EndpointGroup {
                service: "cdr-lookup",
                halls: HADDAD_HALLS.to_vec(),
                count: 50,
                slots: 8,
            },
            EndpointGroup { service: "windyk", halls: INKASO_HALLS.to_vec(), count: 50, slots: 8 },
        ],
        workers: vec![
            WorkerGroup {
                halls: HADDAD_HALLS.to_vec(),
                count: 50,
                per_rack: 6,
                total: standard_worker(),
            },
            WorkerGroup {
                halls: INKASO_HALLS.to_vec(),
                count: 50,
                per_rack: 8,
                total: standard_worker(),
            },
        ],
        list_lag: Duration::from_millis(500),
        settings: quick_settings(),
    }
}

/// Prints a line of progress to the standard error.
fn print_progress(verb: &str, object: impl std::fmt::Display) {
    eprintln!("{verb:>12} {object}");
}

/// Publishes the configurations of both examples by the command line.
async fn publish_examples(cluster: &TestCluster) {
    print_progress("Publishing", "examples/haddad.json and examples/inkaso.json");
    cluster.client_ok(&["publish", "examples/haddad.json", "examples/inkaso.json"]).await;
}
