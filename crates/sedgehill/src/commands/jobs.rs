//! `sedgehill jobs`: lists jobs.

use pico_args::Arguments;
use sedgehill_platform::admin::JobListing;

use super::{CommandContext, no_more_arguments};
use crate::error::CliError;
use crate::output::print_result;

/// Lists every job that the log still has, the oldest first.
pub fn run(context: &CommandContext, args: Arguments) -> Result<(), CliError> {
    no_more_arguments(args)?;
    let jobs = context.block_on(context.client.jobs())?;
    print_result(context.format, &jobs, |jobs| jobs.iter().map(line).collect());
    Ok(())
}

/// A job in one line.
pub fn line(listing: &JobListing) -> String {
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
