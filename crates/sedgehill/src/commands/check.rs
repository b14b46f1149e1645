//! `sedgehill check`: checks files without a box.

use pico_args::Arguments;
use sedgehill_core::spec::{ConfigKey, ConfigSpec};

use super::{CommandContext, read_manifests};
use crate::error::CliError;
use crate::output::{print_result, status};

/// Checks the files and prints the keys that they would publish. The files may refer to each other;
/// a template that is in none of them must be in force already, which only `publish` can tell.
pub fn run(context: &CommandContext, args: Arguments) -> Result<(), CliError> {
    let manifests = read_manifests(args)?;
    let mut keys = Vec::new();
    for (path, manifest) in &manifests {
        status("Checked", path.display());
        keys.extend(
            manifest.specs.iter().map(ConfigSpec::key).map(|key: ConfigKey| key.to_string()),
        );
    }
    print_result(context.format, &keys, |keys| keys.iter().map(|key| format!("{key}\n")).collect());
    Ok(())
}
