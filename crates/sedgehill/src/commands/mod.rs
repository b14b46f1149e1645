//! The commands, with one module for each.

mod cancel;
mod check;
mod diff;
mod drain;
mod explain;
mod get;
mod history;
mod jobs;
mod list;
mod publish;
mod status;
mod submit;

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use pico_args::Arguments;
use sedgehill_core::ids::RecordId;
use sedgehill_core::manifest::WorkManifest;
use sedgehill_core::state::RecordVerdict;
use sedgehill_platform::admin::{ChangeBody, ChangeReply};

use crate::client::AdminClient;
use crate::error::CliError;
use crate::output::OutputFormat;

/// A command of the command line.
pub struct Command {
    /// Name by which it is called.
    pub name: &'static str,
    /// Its options and arguments, for the help.
    pub usage: &'static str,
    /// Summary in one line, for the help.
    pub about: &'static str,
    /// Parses the arguments and runs the command.
    pub run: fn(&CommandContext, Arguments) -> Result<(), CliError>,
}

/// All commands, in the order of the help.
pub const COMMANDS: &[Command] = &[
    Command { name: "check", usage: "FILE...", about: "check files offline", run: check::run },
    Command {
        name: "publish",
        usage: "[--base VERSION] FILE...",
        about: "check and publish files",
        run: publish::run,
    },
    Command { name: "get", usage: "KEY", about: "print the current version", run: get::run },
    Command { name: "list", usage: "", about: "list templates and parameters", run: list::run },
    Command { name: "history", usage: "KEY", about: "list the kept versions", run: history::run },
    Command { name: "diff", usage: "KEY [OLD NEW]", about: "compare two versions", run: diff::run },
    Command {
        name: "submit",
        usage: "--organisation ORG --template T --tasks N [--hall H]",
        about: "submit a job",
        run: submit::run,
    },
    Command { name: "cancel", usage: "JOB", about: "cancel a job", run: cancel::run },
    Command { name: "jobs", usage: "", about: "list jobs", run: jobs::run },
    Command {
        name: "explain",
        usage: "JOB|TASK|REQUEST",
        about: "show where it was placed and why, or why it waits",
        run: explain::run,
    },
    Command {
        name: "status",
        usage: "",
        about: "show the state of boxes, data halls and services",
        run: status::run,
    },
    Command {
        name: "drain",
        usage: "[--undo] BOX",
        about: "drain a box, or return it to service",
        run: drain::run,
    },
];

/// Options and clients that all commands share.
pub struct CommandContext {
    /// Output format of results.
    pub format: OutputFormat,
    /// Client of the boxes.
    pub client: AdminClient,
    runtime: tokio::runtime::Runtime,
}

impl CommandContext {
    /// Creates a context for the boxes in a comma-separated list of admin addresses.
    pub fn new(boxes: Option<String>, format: OutputFormat) -> Result<CommandContext, CliError> {
        let parse = |text: &str| -> Result<SocketAddr, CliError> {
            let message =
                format!("--boxes: expected addresses such as 127.0.0.1:8081, found `{text}`");
            text.trim().parse().map_err(|_| CliError::Usage(message))
        };
        let list = boxes.unwrap_or_default();
        let parts = list.split(',').filter(|part| !part.trim().is_empty());
        let boxes = parts.map(parse).collect::<Result<Vec<_>, _>>()?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        Ok(CommandContext { format, client: AdminClient::new(boxes), runtime })
    }

    /// Runs an operation to completion.
    pub fn block_on<R>(&self, operation: impl Future<Output = R>) -> R {
        self.runtime.block_on(operation)
    }

    /// Requests a change and returns an error unless it took effect. `subject` names the changed
    /// object in errors.
    pub fn change(
        &self,
        subject: &str,
        body: ChangeBody,
    ) -> Result<(RecordId, RecordVerdict), CliError> {
        let (id, reply) = self.block_on(self.client.change(body))?;
        match reply {
            ChangeReply::Settled { verdict: RecordVerdict::Conflict { winner } } => {
                Err(CliError::Conflict(subject.to_owned(), winner))
            }
            ChangeReply::Settled { verdict: RecordVerdict::Void { reason } } => {
                let reason = serde_json::to_value(reason).expect("our types serialize");
                let reason = reason.as_str().unwrap_or_default().to_owned();
                Err(CliError::NotTaken(subject.to_owned(), reason))
            }
            ChangeReply::Settled { verdict } => Ok((id, verdict)),
            ChangeReply::Unknown => Err(CliError::Unknown(subject.to_owned())),
            ChangeReply::NotTaken { reason } => Err(CliError::NotTaken(subject.to_owned(), reason)),
        }
    }
}

/// Returns the remaining arguments. Fails if one of them is an option, which must be unknown.
fn free_arguments(args: Arguments) -> Result<Vec<OsString>, CliError> {
    let free = args.finish();
    let option = free.iter().find(|arg| arg.to_string_lossy().starts_with("--"));
    match option {
        Some(option) => {
            Err(CliError::Usage(format!("unknown option `{}`", option.to_string_lossy())))
        }
        None => Ok(free),
    }
}

/// Fails if any argument remains.
fn expect_no_arguments(args: Arguments) -> Result<(), CliError> {
    match free_arguments(args)?.first() {
        Some(extra) => {
            Err(CliError::Usage(format!("unexpected argument `{}`", extra.to_string_lossy())))
        }
        None => Ok(()),
    }
}

/// Parses the only argument of a command.
fn single_argument<T>(mut args: Arguments) -> Result<T, CliError>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let value = args.free_from_str()?;
    expect_no_arguments(args)?;
    Ok(value)
}

/// Reads and checks the files that are named on the command line.
fn read_manifests(args: Arguments) -> Result<Vec<(PathBuf, WorkManifest)>, CliError> {
    let paths = free_arguments(args)?;
    if paths.is_empty() {
        return Err(CliError::Usage("expected at least one file".to_owned()));
    }
    paths.into_iter().map(|path| read_manifest(Path::new(&path))).collect()
}

fn read_manifest(path: &Path) -> Result<(PathBuf, WorkManifest), CliError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| CliError::Read(path.to_owned(), error))?;
    let manifest = text.parse().map_err(|errors| CliError::Manifest(path.to_owned(), errors))?;
    Ok((path.to_owned(), manifest))
}
