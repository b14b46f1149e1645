//! `sedgehill explain`: shows where a job, a task or a request was placed and why, or why it waits.

use pico_args::Arguments;
use sedgehill_platform::admin::{DecisionRecord, ExplainReport, TaskPlacement};

use super::{CommandContext, jobs, single_argument};
use crate::error::CliError;
use crate::output::print_result;

/// Reads the reports of every box and prints them as one, since each box keeps only its own
/// decisions.
pub fn run(context: &CommandContext, args: Arguments) -> Result<(), CliError> {
    let subject: String = single_argument(args)?;
    let reports = context.block_on(context.client.explain(&subject))?;
    let mut merged = ExplainReport::default();
    for report in reports {
        merged.job = merged.job.or(report.job);
        merged.places.extend(report.places);
        merged.decisions.extend(report.decisions);
    }
    if merged.job.is_none() && merged.decisions.is_empty() {
        return Err(CliError::Missing(format!(
            "job, task or request `{subject}` that a box knows"
        )));
    }
    merged.decisions.sort_by_key(|decision| decision.at_ms);
    print_result(context.format, &merged, render);
    Ok(())
}

fn render(report: &ExplainReport) -> String {
    let mut text = report.job.as_ref().map(jobs::job_line).unwrap_or_default();
    text.extend(report.places.iter().filter_map(placement_line));
    text.extend(report.decisions.iter().map(decision_line));
    text
}

fn placement_line(placement: &TaskPlacement) -> Option<String> {
    if let Some(worker) = &placement.worker {
        let seconds = placement.for_ms.unwrap_or_default() / 1000;
        return Some(format!(
            "{}: on {worker} for {seconds}s, epoch {}\n",
            placement.task, placement.epoch
        ));
    }
    let reason = serde_json::to_value(placement.waits_for?).expect("our types serialize");
    Some(format!("{}: waits: {}\n", placement.task, reason.as_str().unwrap_or_default()))
}

fn decision_line(decision: &DecisionRecord) -> String {
    let epoch = decision.epoch.map(|epoch| format!(", epoch {epoch}")).unwrap_or_default();
    format!(
        "{} {}: {} ({}; {} candidates; by {} at offset {}{epoch})\n",
        decision.at_ms,
        decision.subject,
        decision.decision,
        decision.reason,
        decision.candidates,
        decision.decided_by,
        decision.applied,
    )
}
