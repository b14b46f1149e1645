//! The command `soak`, which runs soaks with random faults, one seed after the other.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use pico_args::Arguments;
use sedgehill_standin::soak::{SoakProfile, SoakSize, run_soak};

use crate::commands::{CommandResult, finish};

/// Default duration of the load of one seed.
const DEFAULT_SECONDS: u64 = 10;

/// Runs the command.
pub async fn run(mut args: Arguments) -> CommandResult {
    let text = |error: pico_args::Error| error.to_string();
    let first: Option<u64> = args.opt_value_from_str("--seed").map_err(text)?;
    let count: u64 = args.opt_value_from_str("--seeds").map_err(text)?.unwrap_or(1);
    let seconds: u64 =
        args.opt_value_from_str("--seconds").map_err(text)?.unwrap_or(DEFAULT_SECONDS);
    let keep: Option<PathBuf> = args.opt_value_from_str("--keep").map_err(text)?;
    let mut size = SoakSize::default();
    size.boxes = args.opt_value_from_str("--boxes").map_err(text)?.unwrap_or(size.boxes);
    size.workers = args.opt_value_from_str("--workers").map_err(text)?.unwrap_or(size.workers);
    if args.contains("--wide") {
        size.profile = SoakProfile::Wide;
    }
    if args.contains("--full") {
        size.profile = SoakProfile::Full;
    }
    if args.contains("--limits") {
        size.profile = SoakProfile::Limits;
    }
    size.faults = !args.contains("--calm");
    size.series = args.contains("--series");
    finish(args)?;
    // Drawn from 32 bits, so that a seed is short enough to type.
    let first = first.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let mut failed = 0;
    for seed in first..first + count {
        failed += u64::from(!run_seed(seed, seconds, size, keep.as_deref()).await?);
    }
    println!("{count} seeds from {first}, {failed} with a broken promise");
    Ok(if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs a soak and prints its report. Returns whether no guarantee was violated.
async fn run_seed(
    seed: u64,
    seconds: u64,
    size: SoakSize,
    keep: Option<&Path>,
) -> Result<bool, String> {
    let directory = tempfile::tempdir().map_err(|error| error.to_string())?;
    let report = match run_soak(seed, seconds, size, directory.path()).await {
        Ok(report) => report,
        Err(error) => {
            keep_logs(seed, directory.path(), keep)?;
            return Err(format!("seed {seed}: {error}"));
        }
    };
    println!(
        "seed {seed}: {} faults, {} accepted ({} crashing), {} refused, {} answers 429, {} others given up, stalled {} ms, {} long-running tasks, without a run {} ms, {} calls on kept connections, {} broken",
        report.faults,
        report.accepted,
        report.crashing,
        report.refused,
        report.too_late,
        report.given_up,
        report.stalled.as_millis(),
        report.long_running,
        report.without_run.as_millis(),
        report.kept_calls,
        report.broken.len()
    );
    for broken in &report.broken {
        println!("    {broken}");
    }
    if report.broken.is_empty() {
        return Ok(true);
    }
    let broken_path = directory.path().join("broken.txt");
    std::fs::write(broken_path, report.broken.join("\n")).map_err(|error| error.to_string())?;
    keep_logs(seed, directory.path(), keep)?;
    Ok(false)
}

/// Copies the files of a run into a directory of its seed under `keep`.
fn keep_logs(seed: u64, directory: &Path, keep: Option<&Path>) -> Result<(), String> {
    let Some(keep) = keep else { return Ok(()) };
    let target = keep.join(format!("seed-{seed}"));
    let copy = || {
        std::fs::create_dir_all(&target)?;
        for entry in std::fs::read_dir(directory)? {
            let entry = entry?;
            std::fs::copy(entry.path(), target.join(entry.file_name()))?;
        }
        Ok::<(), std::io::Error>(())
    };
    copy().map_err(|error| format!("{}: {error}", target.display()))?;
    eprintln!("{:>12} the logs in {}", "Kept", target.display());
    Ok(())
}
