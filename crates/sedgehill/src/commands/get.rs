//! `sedgehill get`: prints the current version of a template or of parameters.

use pico_args::Arguments;
use sedgehill_core::spec::ConfigKey;

use super::{CommandContext, single_argument};
use crate::error::CliError;
use crate::output::print_result;

/// Prints the current version of a key.
pub fn run(context: &CommandContext, args: Arguments) -> Result<(), CliError> {
    let key: ConfigKey = single_argument(args)?;
    let mut history = context.block_on(context.client.history(&key))?;
    let current = history.versions.pop().ok_or_else(|| CliError::Missing(key.to_string()))?;
    print_result(context.format, &current, |current| {
        let spec = serde_json::to_string_pretty(&current.spec).expect("our types serialize");
        format!("{key} version {}\n{spec}\n", current.version)
    });
    Ok(())
}
