//! Builds the shipped programs for the tools and tests that start them.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// Paths of the built programs.
#[derive(Debug, Clone)]
pub struct BuiltBinaries {
    /// `sedgehilld`, the daemon.
    pub daemon: PathBuf,
    /// `sedgehill`, the command line.
    pub client: PathBuf,
}

/// Builds the shipped programs in the profile of the running program. Only the first call in a process builds.
pub fn build_binaries() -> BuiltBinaries {
    static BINARIES: OnceLock<BuiltBinaries> = OnceLock::new();
    BINARIES.get_or_init(run_cargo_build).clone()
}

fn run_cargo_build() -> BuiltBinaries {
    let program = std::env::current_exe().expect("the path of the running program is known");
    let mut directory = program.parent().expect("a program is in a directory");
    if directory.ends_with("deps") {
        directory = directory.parent().expect("deps is in a directory");
    }
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let mut command = Command::new(cargo);
    // Builds the whole workspace as other builds do: with fewer packages, Cargo would unify the features of
    // dependencies differently and build them again.
    command.args(["build", "--quiet", "--locked", "--workspace", "--bins"]);
    if directory.ends_with("release") {
        command.arg("--release");
    }
    let status = command.current_dir(workspace_root()).status().expect("cargo can be started");
    assert!(status.success(), "cannot build the shipped programs");
    BuiltBinaries { daemon: directory.join("sedgehilld"), client: directory.join("sedgehill") }
}

/// Returns the root directory of the workspace.
pub fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}
