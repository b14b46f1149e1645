//! The `measure` command. Each measurement prints a table and, with `--json FILE`, writes the same
//! figures as JSON. Figures that are compared with each other are measured in the same run.

mod capacity;
mod limits;
mod organisations;
mod path;
mod stops;

use std::path::PathBuf;
use std::process::ExitCode;

use pico_args::Arguments;
use serde::Serialize;

use crate::commands::{CommandResult, finish};

/// Runs the measurement that the first argument names.
pub async fn run(mut args: Arguments) -> CommandResult {
    let json: Option<PathBuf> =
        args.opt_value_from_str("--json").map_err(|error| error.to_string())?;
    let stops: usize =
        args.opt_value_from_str("--stops").map_err(|error| error.to_string())?.unwrap_or(1);
    let name: String = args.free_from_str().map_err(|error| error.to_string())?;
    finish(args)?;
    match name.as_str() {
        "path" => write_report(json, &path::measure().await, path::PathReport::render),
        "capacity" => {
            write_report(json, &capacity::measure().await, capacity::CapacityReport::render)
        }
        "limits" => write_report(json, &limits::measure(), limits::LimitReport::render),
        "organisations" => {
            write_report(json, &organisations::measure(), organisations::OrganisationReport::render)
        }
        "stops" => write_report(json, &stops::measure(stops).await, stops::StopReport::render),
        other => Err(format!(
            "there is no measurement `{other}`, expected: path, capacity, limits, organisations, stops"
        )),
    }
}

/// Prints a report as text, and writes it as JSON if a path is given.
fn write_report<T: Serialize>(
    json: Option<PathBuf>,
    report: &T,
    render: fn(&T) -> String,
) -> CommandResult {
    print!("{}", render(report));
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(report).expect("our types serialize");
        std::fs::write(&path, text).map_err(|error| error.to_string())?;
    }
    Ok(ExitCode::SUCCESS)
}
