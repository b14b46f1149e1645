//! The shipped programs, built for the tools and tests that start them.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// The built programs.
#[derive(Debug, Clone)]
pub struct BuiltBinaries {
    /// The daemon.
    pub daemon: PathBuf,
    /// The command line.
    pub client: PathBuf,
}

/// Builds the two shipped programs in the profile of this one, once in a process.
pub fn build_binaries() -> BuiltBinaries {
    static BINARIES: OnceLock<BuiltBinaries> = OnceLock::new();
    BINARIES.get_or_init(build_now).clone()
}

fn build_now() -> BuiltBinaries {
    let own = std::env::current_exe().expect("a process knows its program");
    let mut directory = own.parent().expect("a program is in a directory");
    if directory.ends_with("deps") {
        directory = directory.parent().expect("deps is in a directory");
    }
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let mut command = Command::new(cargo);
    // The whole workspace, as everything else builds it: with fewer packages, dependencies would be
    // built again with other features.
    command.args(["build", "--quiet", "--locked", "--workspace", "--bins"]);
    if directory.ends_with("release") {
        command.arg("--release");
    }
    let status = command.current_dir(workspace_root()).status().expect("cargo can be started");
    assert!(status.success(), "the programs could not be built");
    BuiltBinaries { daemon: directory.join("sedgehilld"), client: directory.join("sedgehill") }
}

/// The root of the workspace.
pub fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}
