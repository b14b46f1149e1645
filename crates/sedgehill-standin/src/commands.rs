//! The commands that run a single stand-in.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use pico_args::Arguments;
use sedgehill_core::units::{CoreCount, MemorySize, ResourceSet, TimeSpan};
use sedgehill_standin::caller::{CallPlan, StandinCaller};
use sedgehill_standin::certificates::TestAuthority;
use sedgehill_standin::endpoint::StandinEndpoint;
use sedgehill_standin::http_server::ServerGuard;
use sedgehill_standin::ledger::RuleLedger;
use sedgehill_standin::list_server::StandinList;
use sedgehill_standin::log_server::StandinLog;
use sedgehill_standin::worker::StandinWorker;

/// The result of a command: its exit code, or a message about wrong usage or a failure.
pub type CommandResult = Result<ExitCode, String>;

/// Time for which an endpoint that is leaving may still get new requests.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

/// Returns an error if arguments are left over.
pub fn finish(args: Arguments) -> Result<(), String> {
    match args.finish().first() {
        Some(extra) => Err(format!("unexpected argument `{}`", extra.to_string_lossy())),
        None => Ok(()),
    }
}

async fn serve(server: std::io::Result<ServerGuard>) -> CommandResult {
    let server = server.map_err(text)?;
    eprintln!("{:>12} on {}", "Listening", server.address);
    server.wait().await;
    Ok(ExitCode::SUCCESS)
}

/// Runs `log`, the append-only log.
pub async fn log(mut args: Arguments) -> CommandResult {
    let listen: SocketAddr = args.value_from_str("--listen").map_err(text)?;
    finish(args)?;
    serve(StandinLog::default().serve(listen).await).await
}

/// Runs `list`, the platform's list.
pub async fn list(mut args: Arguments) -> CommandResult {
    let listen: SocketAddr = args.value_from_str("--listen").map_err(text)?;
    let file: PathBuf = args.value_from_str("--file").map_err(text)?;
    finish(args)?;
    let content = std::fs::read_to_string(&file).map_err(text)?;
    let list =
        serde_json::from_str(&content).map_err(|error| format!("{}: {error}", file.display()))?;
    serve(StandinList::new(list, Duration::ZERO).serve(listen).await).await
}

/// Runs `worker`.
pub async fn worker(mut args: Arguments) -> CommandResult {
    let listen: SocketAddr = args.value_from_str("--listen").map_err(text)?;
    let id = args.value_from_str("--id").map_err(text)?;
    let cores = args.opt_value_from_str("--cores").map_err(text)?;
    let memory = args.opt_value_from_str("--memory").map_err(text)?;
    let accelerators = args.opt_value_from_str("--accelerators").map_err(text)?;
    finish(args)?;
    let total = ResourceSet {
        cores: cores.unwrap_or(CoreCount(16_000)),
        memory: memory.unwrap_or(MemorySize(64 << 30)),
        accelerators: accelerators.unwrap_or(0),
    };
    let worker = StandinWorker::new(id, total, RuleLedger::new(LEAVING_GRACE));
    serve(worker.serve(listen).await).await
}

/// Runs `endpoint`.
pub async fn endpoint(mut args: Arguments) -> CommandResult {
    let listen: SocketAddr = args.value_from_str("--listen").map_err(text)?;
    let id = args.value_from_str("--id").map_err(text)?;
    let slots = args.opt_value_from_str("--slots").map_err(text)?.unwrap_or(8);
    finish(args)?;
    let endpoint = StandinEndpoint::new(id, slots, RuleLedger::new(LEAVING_GRACE));
    serve(endpoint.serve(listen).await).await
}

/// Runs `certificates`, which issues certificates for boxes.
pub fn certificates(mut args: Arguments) -> CommandResult {
    let directory: PathBuf = args.value_from_str("--directory").map_err(text)?;
    let names: Vec<String> = args.values_from_str("--box").map_err(text)?;
    finish(args)?;
    std::fs::create_dir_all(&directory).map_err(text)?;
    let authority = TestAuthority::new().map_err(text)?;
    for name in names {
        let files = authority.issue(&name, &directory).map_err(text)?;
        eprintln!("{:>12} {}", "Wrote", files.certificate.display());
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs `call`, which sends requests to a box and prints the outcomes.
pub async fn call(mut args: Arguments) -> CommandResult {
    let address: SocketAddr = args.value_from_str("--box").map_err(text)?;
    let path: String = args.value_from_str("--path").map_err(text)?;
    let count: u32 = args.opt_value_from_str("--count").map_err(text)?.unwrap_or(1);
    let work: TimeSpan = args.opt_value_from_str("--work").map_err(text)?.unwrap_or(TimeSpan(10));
    let once = args.contains("--once");
    finish(args)?;
    let ledger = RuleLedger::new(LEAVING_GRACE);
    let caller = StandinCaller::new(ledger.clone());
    for _ in 0..count {
        let work = Duration::from_millis(work.as_millis());
        let plan = if once { CallPlan::once_only(&path, work) } else { CallPlan::new(&path, work) };
        let report = caller.call(address, &plan, false).await;
        println!(
            "{:?} {} in {:?}, request {}",
            report.outcome,
            report.reason,
            report.took,
            report.request_id.unwrap_or_default()
        );
    }
    Ok(if ledger.total_violations() == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
