//! Why a command failed, and the exit code that says so.

use std::path::PathBuf;

use quick_error::quick_error;
use sedgehill_core::fields::{ManifestErrors, suggest};
use sedgehill_core::ids::Version;
use sedgehill_platform::client::CallError;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum CliError {
        /// The command line is wrong.
        Usage(message: String) {
            display("{message}")
            from(error: pico_args::Error) -> (error.to_string())
        }
        /// A file cannot be read.
        Read(path: PathBuf, cause: std::io::Error) {
            display("could not read {}", path.display())
            source(cause)
        }
        /// A file has errors.
        Manifest(path: PathBuf, cause: ManifestErrors) {
            display("{} has errors; nothing was published", path.display())
            source(cause)
        }
        /// No box answered.
        NoBox(cause: CallError) {
            display("no box answered")
            source(cause)
        }
        /// Another version is in force than the one that was edited.
        Conflict(key: String, winner: Option<Version>) {
            display("{key}: conflict: {} is in force", match winner {
                Some(version) => format!("version {version}"),
                None => "no version".to_owned(),
            })
        }
        /// The change was not taken.
        NotTaken(what: String, reason: String) {
            display("{what}: not taken: {reason}")
        }
        /// The change may take effect yet.
        Unknown(what: String) {
            display("{what}: outcome unknown: it was appended and not read back in time; \
                     read it back before trying again")
        }
        /// There is nothing of that name.
        Missing(what: String) {
            display("there is no {what}")
        }
        /// The machine failed.
        Machine(cause: std::io::Error) {
            from()
            display("could not start")
            source(cause)
        }
    }
}

impl CliError {
    /// An unknown command, with the closest known one.
    pub fn unknown_command(name: &str, known: impl Iterator<Item = &'static str>) -> CliError {
        CliError::Usage(match suggest(name, known) {
            Some(close) => format!("there is no command `{name}`, did you mean `{close}`?"),
            None => format!("there is no command `{name}`, see `sedgehill --help`"),
        })
    }

    /// The documented exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::Usage(_) => 2,
            CliError::Read(..) | CliError::Manifest(..) => 3,
            CliError::Conflict(..) => 4,
            CliError::Unknown(_) => 5,
            CliError::NoBox(_)
            | CliError::NotTaken(..)
            | CliError::Missing(_)
            | CliError::Machine(_) => 1,
        }
    }

    /// Prints the error and its causes.
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
