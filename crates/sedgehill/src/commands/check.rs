//! `sedgehill check`: checks files offline, without calling a box.

use pico_args::Arguments;
use sedgehill_core::spec::{ConfigKey, ConfigSpec};

use super::{CommandContext, read_manifests};
use crate::error::CliError;
use crate::output::{print_result, print_status};

/// Checks the files and prints the keys that they would publish. Whether the templates that they
/// refer to exist is checked only by `publish`, since templates may have been published already.
pub fn run(context: &CommandContext, args: Arguments) -> Result<(), CliError> {
    let manifests = read_manifests(args)?;
    let mut keys = Vec::new();
    for (path, manifest) in &manifests {
        print_status("Checked", path.display());
        keys.extend(
            manifest.specs.iter().map(ConfigSpec::key).map(|key: ConfigKey| key.to_string()),
        );
    }
    print_result(context.format, &keys, |keys| keys.iter().map(|key| format!("{key}\n")).collect());
    Ok(())
}
