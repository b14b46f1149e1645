//! `sedgehill drain`: takes a box out of service, or back.

use pico_args::Arguments;
use sedgehill_core::ids::BoxId;
use sedgehill_platform::admin::ChangeBody;

use super::{CommandContext, one_argument};
use crate::error::CliError;
use crate::output::{print_result, status};

/// Asks a box to say that it is draining, so that the balancer sends it nothing new.
pub fn run(context: &CommandContext, mut args: Arguments) -> Result<(), CliError> {
    let drain = !args.contains("--undo");
    let target: BoxId = one_argument(args)?;
    let body = ChangeBody::Drain { target: target.clone(), drain };
    context.change(&format!("box {target}"), body)?;
    status(if drain { "Draining" } else { "Undrained" }, &target);
    print_result(context.format, &target, |target| format!("{target}\n"));
    Ok(())
}
