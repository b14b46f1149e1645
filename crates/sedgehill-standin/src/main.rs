//! `sedgehill-standin`: commands that run stand-ins, demonstrations, measurements and soaks.
//!
//! A tool for development; it is not shipped.

mod commands;
mod demo;
mod measure;
mod soak_command;

use std::process::ExitCode;

const HELP: &str = "\
sedgehill-standin: stand-ins for tests and demonstrations of sedgehill

usage: sedgehill-standin COMMAND [OPTIONS]

commands:
    demo         start a whole cell, send load, inject faults and count broken promises
                 [--seconds N] [--json FILE]
    measure      path|capacity|limits|organisations|stops [--json FILE] [--stops N]
                 path: latency that a box adds to a request, compared with a direct call
                 capacity: state, messages, time and memory at growing sizes
                 stops: calls that planned stops cut off, N stops for each row
    soak         run boxes in cell mode under random faults and check their promises
                 [--seed N] [--seeds COUNT] [--seconds N] [--boxes N] [--workers N] [--keep DIR]
                 [--wide] [--full] [--limits] [--calm] [--series]
                 --seed: the first seed, random by default; --seeds: number of seeds to run from it on;
                 --keep: copy the logs of runs that break a promise to DIR; --wide: larger workers,
                 gangs as wide as half of the cell, slow advice, and a check that no job stalls;
                 --full: a cell that narrow jobs fill, and a check that long-running tasks run again;
                 --limits: three organisations with limits, of which one at a time sends several times
                 its share, and a check that a job refused at each of its calls never runs;
                 --calm: no faults except of advice; --series: also series of signals, restarts and
                 changes, and workers that come back 40 s after a crash or later
    log          --listen ADDRESS
    list         --listen ADDRESS --file LIST.json
    worker       --listen ADDRESS --id NAME [--cores N] [--memory SIZE] [--accelerators N]
    endpoint     --listen ADDRESS --id NAME [--slots N]
    certificates --directory DIR --box NAME [--box NAME]...
    call         --box ADDRESS --path ORG/SERVICE/KIND [--count N] [--work TIME] [--once]

exit codes: 0 done, 1 a promise was broken or the run failed, 2 wrong usage
";

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains("--help") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let command = args.subcommand().ok().flatten().unwrap_or_default();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        // Leaves the other half of the cores to the boxes.
        .worker_threads(half_of_cores())
        .enable_all()
        .build()
        .expect("the runtime can be started");
    let result = runtime.block_on(async {
        tokio::select! {
            result = run_command(&command, args) => result,
            () = interrupted() => {
                eprintln!("{:>12} everything that was started ends", "Interrupted");
                Ok(ExitCode::FAILURE)
            }
        }
    });
    match result {
        Ok(code) => code,
        Err(message) => {
            eprintln!("error: {message}");
            ExitCode::from(2)
        }
    }
}

/// Returns half of the cores of the machine, rounded up.
fn half_of_cores() -> usize {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    cores.div_ceil(2)
}

async fn run_command(command: &str, args: pico_args::Arguments) -> commands::CommandResult {
    match command {
        "demo" => demo::run(args).await,
        "measure" => measure::run(args).await,
        "soak" => soak_command::run(args).await,
        "log" => commands::log(args).await,
        "list" => commands::list(args).await,
        "worker" => commands::worker(args).await,
        "endpoint" => commands::endpoint(args).await,
        "certificates" => commands::certificates(args),
        "call" => commands::call(args).await,
        other => Err(format!("there is no command `{other}`\n\n{HELP}")),
    }
}

/// Resolves when the program gets SIGINT or SIGTERM. Dropping the command then ends the processes that it started.
async fn interrupted() {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate()).expect("signals can be listened to");
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        _ = terminate.recv() => {}
    }
}
