//! One module for each command.

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

/// A command by name.
pub struct Command {
    /// What operators type.
    pub name: &'static str,
    /// Its arguments.
    pub usage: &'static str,
    /// What it does, in a line.
    pub about: &'static str,
    /// Parses its arguments and does it.
    pub run: fn(&CommandContext, Arguments) -> Result<(), CliError>,
}

/// Every command.
pub const COMMANDS: &[Command] = &[
    Command { name: "check", usage: "FILE...", about: "check files offline", run: check::run },
    Command {
        name: "publish",
        usage: "[--base VERSION] FILE...",
        about: "check and publish files",
        run: publish::run,
    },
    Command { name: "get", usage: "KEY", about: "print what is in force", run: get::run },
    Command { name: "list", usage: "", about: "list templates and parameters", run: list::run },
    Command { name: "history", usage: "KEY", about: "list the versions kept", run: history::run },
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
        about: "say where, why there or why waiting",
        run: explain::run,
    },
    Command {
        name: "status",
        usage: "",
        about: "boxes, leads, workers and endpoints at a glance",
        run: status::run,
    },
    Command {
        name: "drain",
        usage: "[--undo] BOX",
        about: "take a box out of service",
        run: drain::run,
    },
];

/// What every command needs.
pub struct CommandContext {
    /// How results are printed.
    pub format: OutputFormat,
    /// The boxes.
    pub client: AdminClient,
    runtime: tokio::runtime::Runtime,
}

impl CommandContext {
    /// A context for the boxes in a comma-separated list.
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

    /// Runs an operation to its end.
    pub fn block_on<R>(&self, operation: impl Future<Output = R>) -> R {
        self.runtime.block_on(operation)
    }

    /// Makes a change and turns everything but acceptance into an error.
    pub fn change(
        &self,
        what: &str,
        body: ChangeBody,
    ) -> Result<(RecordId, RecordVerdict), CliError> {
        let (id, reply) = self.block_on(self.client.change(body))?;
        match reply {
            ChangeReply::Settled { verdict: RecordVerdict::Conflict { winner } } => {
                Err(CliError::Conflict(what.to_owned(), winner))
            }
            ChangeReply::Settled { verdict: RecordVerdict::Void { reason } } => {
                let reason = serde_json::to_value(reason).expect("our types serialize");
                let reason = reason.as_str().unwrap_or_default().to_owned();
                Err(CliError::NotTaken(what.to_owned(), reason))
            }
            ChangeReply::Settled { verdict } => Ok((id, verdict)),
            ChangeReply::Unknown => Err(CliError::Unknown(what.to_owned())),
            ChangeReply::NotTaken { reason } => Err(CliError::NotTaken(what.to_owned(), reason)),
        }
    }
}

/// The arguments left over, none of which may be an unknown option.
fn free_arguments(args: Arguments) -> Result<Vec<OsString>, CliError> {
    let rest = args.finish();
    let option = rest.iter().find(|arg| arg.to_string_lossy().starts_with("--"));
    match option {
        Some(option) => {
            Err(CliError::Usage(format!("unknown option `{}`", option.to_string_lossy())))
        }
        None => Ok(rest),
    }
}

fn no_more_arguments(args: Arguments) -> Result<(), CliError> {
    match free_arguments(args)?.first() {
        Some(extra) => {
            Err(CliError::Usage(format!("unexpected argument `{}`", extra.to_string_lossy())))
        }
        None => Ok(()),
    }
}

/// The one argument of a command, parsed.
fn one_argument<T>(mut args: Arguments) -> Result<T, CliError>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let value = args.free_from_str()?;
    no_more_arguments(args)?;
    Ok(value)
}

/// The files named on the command line, each checked.
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
