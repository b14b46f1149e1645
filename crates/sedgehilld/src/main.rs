//! `sedgehilld`: the daemon that runs on every entry box.
//!
//! One thread runs the [`controllers`], which own the mutable state and publish immutable views of it. The other
//! threads accept requests, run each one through the [`filters`], and read the published views.
//!
//! With the subcommand `cell` the daemon runs in cell mode instead: the module [`cell`] accepts jobs and schedules
//! them on the workers of the platform.

mod admin;
mod call_body;
mod cell;
mod client;
mod clock;
mod connection;
mod controllers;
mod filters;
mod logging;
mod monitored_stream;
mod settings;
mod shared;
mod telemetry;
mod traffic;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use quick_error::quick_error;
use sedgehill_peer::{PeerIdentity, PeerLink};
use tokio::sync::mpsc;

use crate::controllers::{CONTROL_QUEUE_LENGTH, ControlHandle};
use crate::settings::{BoxSettings, SettingsError};
use crate::shared::SharedState;

// Mimalloc is faster with many threads. Boxes in cell mode are built without this feature, because they use one
// thread, on which the allocator of the C library needs half the memory.
#[cfg(feature = "mimalloc")]
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

const HELP: &str = "\
sedgehilld: the entry box daemon of the sedgehill cluster scheduler

usage: sedgehilld --settings FILE [--check]
       sedgehilld cell --settings FILE [--check]

With `cell` the box accepts jobs and places them on the workers of the platform; without, it routes
requests and places tasks by the project's own interfaces.

options:
    --settings FILE    the settings of this box, in JSON
    --check            check the settings and exit
    --help             print this help
    --version          print the version

exit codes: 0 stopped as planned, 1 could not run, 2 wrong usage, 3 wrong settings
";

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_SETTINGS: u8 = 3;
/// Exit code after a panic on any thread.
const EXIT_PANIC: i32 = 70;

quick_error! {
    /// An error that prevents the daemon from running.
    #[derive(Debug)]
    enum DaemonError {
        /// The settings file is unreadable or invalid.
        Settings(cause: SettingsError) {
            from()
            display("could not use the settings")
            source(cause)
        }
        /// The socket for connections between boxes could not be set up.
        Peer(cause: sedgehill_peer::PeerError) {
            from()
            display("could not open the links to peers")
            source(cause)
        }
        /// The certificate, key or authority file is unusable.
        Identity(cause: sedgehill_peer::IdentityError) {
            from()
            display("could not use the certificates")
            source(cause)
        }
        /// The daemon cannot listen on an address.
        Listen(address: std::net::SocketAddr, cause: std::io::Error) {
            display("could not listen on {address}")
            source(cause)
        }
        /// A Tokio runtime could not be started.
        Runtime(cause: std::io::Error) {
            display("could not start the threads")
            source(cause)
        }
    }
}

struct DaemonArgs {
    // Whether the daemon runs in cell mode.
    cell: bool,
    settings: PathBuf,
    // Whether to check the settings and exit.
    check: bool,
}

fn main() -> ExitCode {
    let args = match parse_args() {
        Ok(Some(args)) => args,
        Ok(None) => return ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("error: {message}\n\n{HELP}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            print_error(&error);
            match error {
                DaemonError::Settings(_) => ExitCode::from(EXIT_SETTINGS),
                _ => ExitCode::from(EXIT_FAILED),
            }
        }
    }
}

fn parse_args() -> Result<Option<DaemonArgs>, String> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains("--help") {
        print!("{HELP}");
        return Ok(None);
    }
    if args.contains("--version") {
        println!("sedgehilld {}", env!("CARGO_PKG_VERSION"));
        return Ok(None);
    }
    let cell = match args.subcommand().map_err(|error| error.to_string())?.as_deref() {
        None => false,
        Some("cell") => true,
        Some(other) => return Err(format!("no such mode: `{other}`")),
    };
    let settings = args.value_from_str("--settings").map_err(|error| error.to_string())?;
    let check = args.contains("--check");
    match args.finish().first() {
        Some(extra) => Err(format!("unexpected argument `{}`", extra.to_string_lossy())),
        None => Ok(Some(DaemonArgs { cell, settings, check })),
    }
}

fn print_error(error: &dyn std::error::Error) {
    eprintln!("error: {error}");
    let mut cause = error.source();
    while let Some(error) = cause {
        eprintln!("  caused by: {error}");
        cause = error.source();
    }
}

fn run(args: &DaemonArgs) -> Result<(), DaemonError> {
    match args.cell {
        true => run_cell(args),
        false => run_box(args),
    }
}

fn run_cell(args: &DaemonArgs) -> Result<(), DaemonError> {
    let settings = cell::CellSettings::load(&args.settings)?;
    if args.check {
        eprintln!("checked {}", args.settings.display());
        return Ok(());
    }
    exit_on_panic();
    cell::run(settings)
}

fn run_box(args: &DaemonArgs) -> Result<(), DaemonError> {
    let settings = BoxSettings::load(&args.settings)?;
    let identity =
        PeerIdentity::load(&settings.tls.certificate, &settings.tls.key, &settings.tls.authority)?;
    if args.check {
        eprintln!("checked {}", args.settings.display());
        return Ok(());
    }
    exit_on_panic();
    let log = logging::build_logger(&settings);
    let metrics = telemetry::install();
    let shared = Arc::new(SharedState::new(settings, log, metrics));
    let (sender, requests) = mpsc::channel(CONTROL_QUEUE_LENGTH);
    let handle = ControlHandle::new(sender);
    let traffic_runtime = start_traffic(shared.clone(), handle)?;
    let result = run_control(shared, identity, requests);
    traffic_runtime.shutdown_background();
    result
}

/// Makes a panic on any thread end the process, since a broken invariant leaves the shared state unusable.
fn exit_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default_hook(info);
        std::process::exit(EXIT_PANIC);
    }));
}

fn start_traffic(
    shared: Arc<SharedState>,
    handle: ControlHandle,
) -> Result<tokio::runtime::Runtime, DaemonError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(shared.settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(DaemonError::Runtime)?;
    let addresses = shared.settings.listen.clone();
    let traffic_listener = runtime
        .block_on(tokio::net::TcpListener::bind(addresses.traffic))
        .map_err(|error| DaemonError::Listen(addresses.traffic, error))?;
    let admin_listener = runtime
        .block_on(tokio::net::TcpListener::bind(addresses.admin))
        .map_err(|error| DaemonError::Listen(addresses.admin, error))?;
    runtime.spawn(telemetry::run_upkeep(shared.metrics.clone()));
    runtime.spawn(traffic::serve(traffic_listener, shared.clone(), handle.clone()));
    runtime.spawn(admin::serve(admin_listener, shared, handle));
    Ok(runtime)
}

fn run_control(
    shared: Arc<SharedState>,
    identity: PeerIdentity,
    requests: mpsc::Receiver<controllers::ControlRequest>,
) -> Result<(), DaemonError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(DaemonError::Runtime)?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async move {
        let (link, peer_requests) = PeerLink::bind(shared.settings.listen.peer, &identity)?;
        controllers::run(shared, link, peer_requests, requests).await;
        Ok(())
    })
}
