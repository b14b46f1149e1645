//! `sedgehill-standin`: the stand-ins as commands, and the demonstration of the whole path.
//!
//! A tool for tests and demonstrations; it is not shipped.

mod commands;
mod demo;
mod measure;
mod soak_command;

use std::process::ExitCode;

const HELP: &str = "\
sedgehill-standin: stand-ins for tests and demonstrations of sedgehill

usage: sedgehill-standin COMMAND [OPTIONS]

commands:
    demo         bring up a whole cell, send load, break things and count broken promises
                 [--seconds N] [--json FILE]
    measure      path|capacity|organisations|stops [--json FILE] [--stops N]
                 path: what a box adds to a request, against the direct way
                 capacity: state, messages, time and memory at growing sizes
                 stops: calls that planned stops cut off, N stops a row
    soak         boxes in cell mode under random faults, their promises checked
                 [--seed N] [--seeds COUNT] [--seconds N] [--boxes N] [--workers N] [--keep DIR]
                 [--wide] [--calm]
                 --seed is drawn where it is left out; COUNT seeds from it on are run; the logs of
                 a run that breaks a promise stay in DIR; --wide: larger workers, gangs as wide as half
                 of the cell, dear advice, and a watch that no job is stalled; --calm: no faults but of advice
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
        // The other half of the machine is for the boxes.
        .worker_threads(half_of_cores())
        .enable_all()
        .build()
        .expect("threads can be started");
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

/// Resolves when the user or the system asks the program to end. Dropping the command then ends the
/// processes that it started.
async fn interrupted() {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate()).expect("signals can be listened to");
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        _ = terminate.recv() => {}
    }
}
