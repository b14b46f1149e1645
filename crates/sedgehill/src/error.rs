//! Errors of commands and their exit codes.

use std::path::PathBuf;

use quick_error::quick_error;
use sedgehill_core::fields::{ManifestErrors, suggest};
use sedgehill_core::ids::Version;
use sedgehill_platform::client::CallError;

quick_error! {
    /// An error that ends a command.
    #[derive(Debug)]
    pub enum CliError {
        /// The arguments on the command line are invalid.
        Usage(message: String) {
            display("{message}")
            from(error: pico_args::Error) -> (error.to_string())
        }
        /// A file could not be read.
        Read(path: PathBuf, cause: std::io::Error) {
            display("could not read {}", path.display())
            source(cause)
        }
        /// A file was read but has errors.
        Manifest(path: PathBuf, cause: ManifestErrors) {
            display("{} has errors; nothing was published", path.display())
            source(cause)
        }
        /// None of the boxes answered. The cause is the last failed call.
        NoBox(cause: CallError) {
            display("no box answered")
            source(cause)
        }
        /// The published version is based on another version than the current one. The second field
        /// is the current version.
        Conflict(key: String, current: Option<Version>) {
            display("{key}: conflict: {} is in force", match current {
                Some(version) => format!("version {version}"),
                None => "no version".to_owned(),
            })
        }
        /// The change did not take effect and never will.
        NotTaken(subject: String, reason: String) {
            display("{subject}: not taken: {reason}")
        }
        /// The change may have taken effect, or may still.
        Unknown(subject: String) {
            display("{subject}: outcome unknown: the change may have taken effect or may still do so; \
                     check the current state before trying again")
        }
        /// Something that the command line names does not exist.
        Missing(subject: String) {
            display("there is no {subject}")
        }
        /// The async runtime could not be created.
        Runtime(cause: std::io::Error) {
            from()
            display("could not create the async runtime")
            source(cause)
        }
    }
}

impl CliError {
    /// Returns the error for an unknown command, which suggests the known command with the most
    /// similar name.
    pub fn unknown_command(name: &str, known: impl Iterator<Item = &'static str>) -> CliError {
        CliError::Usage(match suggest(name, known) {
            Some(similar) => format!("there is no command `{name}`, did you mean `{similar}`?"),
            None => format!("there is no command `{name}`, see `sedgehill --help`"),
        })
    }

    /// Returns the exit code, as documented in `sedgehill --help`.
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::Usage(_) => 2,
            CliError::Read(..) | CliError::Manifest(..) => 3,
            CliError::Conflict(..) => 4,
            CliError::Unknown(_) => 5,
            CliError::NoBox(_)
            | CliError::NotTaken(..)
            | CliError::Missing(_)
            | CliError::Runtime(_) => 1,
        }
    }

    /// Prints the error and its chain of causes to standard error.
    pub fn print(&self) {
        eprintln!("error: {self}");
        let mut cause = std::error::Error::source(self);
        while let Some(error) = cause {
            eprintln!("caused by:");
            for line in error.to_string().lines() {
                eprintln!("  {line}");
            }
            cause = error.source();
        }
    }
}
