//! `sedgehill drain`: drains a box, or returns it to service.

use pico_args::Arguments;
use sedgehill_core::ids::BoxId;
use sedgehill_platform::admin::ChangeBody;

use super::{CommandContext, single_argument};
use crate::error::CliError;
use crate::output::{print_result, print_status};

/// Drains a box, or returns it to service with `--undo`. The health page of a draining box reports
/// this, so that the load balancer sends it no new requests.
pub fn run(context: &CommandContext, mut args: Arguments) -> Result<(), CliError> {
    let drain = !args.contains("--undo");
    let target: BoxId = single_argument(args)?;
    let body = ChangeBody::Drain { target: target.clone(), drain };
    context.change(&format!("box {target}"), body)?;
    print_status(if drain { "Draining" } else { "Undrained" }, &target);
    print_result(context.format, &target, |target| format!("{target}\n"));
    Ok(())
}
