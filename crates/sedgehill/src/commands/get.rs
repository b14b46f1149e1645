//! `sedgehill get`: prints what is in force.

use pico_args::Arguments;
use sedgehill_core::spec::ConfigKey;

use super::{CommandContext, one_argument};
use crate::error::CliError;
use crate::output::print_result;

/// Prints the version in force under a key.
pub fn run(context: &CommandContext, args: Arguments) -> Result<(), CliError> {
    let key: ConfigKey = one_argument(args)?;
    let mut history = context.block_on(context.client.history(&key))?;
    let current = history.versions.pop().ok_or_else(|| CliError::Missing(key.to_string()))?;
    print_result(context.format, &current, |current| {
        let spec = serde_json::to_string_pretty(&current.spec).expect("our types serialize");
        format!("{key} version {}\n{spec}\n", current.version)
    });
    Ok(())
}
