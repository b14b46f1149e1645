//! `sedgehill cancel`: cancels a job.

use pico_args::Arguments;
use sedgehill_core::ids::JobId;
use sedgehill_platform::admin::ChangeBody;

use super::{CommandContext, single_argument};
use crate::error::CliError;
use crate::output::{print_result, print_status};

/// Cancels a job. The lead of the job's data hall then stops the tasks.
pub fn run(context: &CommandContext, args: Arguments) -> Result<(), CliError> {
    let job: JobId = single_argument(args)?;
    context.change(&format!("job {job}"), ChangeBody::Cancel { job })?;
    print_status("Cancelled", job);
    print_result(context.format, &job, |job| format!("{job}\n"));
    Ok(())
}
