//! `sedgehill jobs`: lists jobs.

use pico_args::Arguments;
use sedgehill_platform::admin::JobListing;

use super::{CommandContext, expect_no_arguments};
use crate::error::CliError;
use crate::output::print_result;

/// Lists the unfinished jobs, and the ended jobs that the answering box still keeps, the oldest
/// first.
pub fn run(context: &CommandContext, args: Arguments) -> Result<(), CliError> {
    expect_no_arguments(args)?;
    let jobs = context.block_on(context.client.jobs())?;
    print_result(context.format, &jobs, |jobs| jobs.iter().map(job_line).collect());
    Ok(())
}

/// Returns the line that describes a job.
pub fn job_line(listing: &JobListing) -> String {
    let job = &listing.job;
    let ended = job.tasks.iter().filter(|task| task.outcome.is_some()).count();
    format!(
        "{} {} {} of {} in {}, {ended}/{} tasks ended\n",
        listing.id,
        job.phase,
        job.request.template,
        job.request.organisation,
        job.hall,
        job.tasks.len(),
    )
}
