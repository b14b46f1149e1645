//! `sedgehill list`: lists templates and parameters.

use pico_args::Arguments;

use super::{CommandContext, expect_no_arguments};
use crate::error::CliError;
use crate::output::print_result;

/// Lists every key with its current version.
pub fn run(context: &CommandContext, args: Arguments) -> Result<(), CliError> {
    expect_no_arguments(args)?;
    let entries = context.block_on(context.client.configs())?;
    print_result(context.format, &entries, |entries| {
        entries.iter().map(|entry| format!("{} version {}\n", entry.key, entry.version)).collect()
    });
    Ok(())
}
