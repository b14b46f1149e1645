//! `sedgehill cancel`: cancels a job.

use pico_args::Arguments;
use sedgehill_core::ids::JobId;
use sedgehill_platform::admin::ChangeBody;

use super::{CommandContext, one_argument};
use crate::error::CliError;
use crate::output::{print_result, status};

/// Cancels a job. Its tasks are stopped by the lead of its hall.
pub fn run(context: &CommandContext, args: Arguments) -> Result<(), CliError> {
    let job: JobId = one_argument(args)?;
    context.change(&format!("job {job}"), ChangeBody::Cancel { job })?;
    status("Cancelled", job);
    print_result(context.format, &job, |job| format!("{job}\n"));
    Ok(())
}
