//! `sedgehill history`: lists the kept versions of a template or of parameters.

use pico_args::Arguments;
use sedgehill_core::spec::ConfigKey;
use sedgehill_core::state::ConfigVersion;

use super::{CommandContext, single_argument};
use crate::error::CliError;
use crate::output::print_result;

/// Lists the kept versions of a key, the newest last.
pub fn run(context: &CommandContext, args: Arguments) -> Result<(), CliError> {
    let key: ConfigKey = single_argument(args)?;
    let history = context.block_on(context.client.history(&key))?;
    if history.versions.is_empty() {
        return Err(CliError::Missing(key.to_string()));
    }
    print_result(context.format, &history.versions, |versions| {
        versions.iter().map(version_line).collect()
    });
    Ok(())
}

fn version_line(version: &ConfigVersion) -> String {
    let base = version.base.map_or("nothing".to_owned(), |base| base.to_string());
    format!("version {} edited {base}, record {}\n", version.version, version.id)
}
