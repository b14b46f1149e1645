//! `sedgehill submit`: submits a batch or gang job.

use pico_args::Arguments;
use sedgehill_core::ids::{HallName, JobId};
use sedgehill_core::job::JobRequest;
use sedgehill_platform::admin::ChangeBody;

use super::{CommandContext, expect_no_arguments};
use crate::error::CliError;
use crate::output::{print_result, print_status};

/// Submits a job and prints its id.
pub fn run(context: &CommandContext, mut args: Arguments) -> Result<(), CliError> {
    let request = JobRequest {
        organisation: args.value_from_str("--organisation")?,
        template: args.value_from_str("--template")?,
        tasks: args.value_from_str("--tasks")?,
    };
    let hall: Option<HallName> = args.opt_value_from_str("--hall")?;
    expect_no_arguments(args)?;
    let subject = format!("job of {} for {}", request.template, request.organisation);
    let (id, _) = context.change(&subject, ChangeBody::Submit { request, hall })?;
    print_status("Submitted", subject);
    print_result(context.format, &JobId(id.0), |job| format!("{job}\n"));
    Ok(())
}
