//! `sedgehill explain`: says where a job, task or request went and why, or why it waits.

use pico_args::Arguments;
use sedgehill_platform::admin::{DecisionRecord, ExplainReport, TaskPlacement};

use super::{CommandContext, jobs, one_argument};
use crate::error::CliError;
use crate::output::print_result;

/// Asks every box, since each remembers only its own decisions.
pub fn run(context: &CommandContext, args: Arguments) -> Result<(), CliError> {
    let subject: String = one_argument(args)?;
    let reports = context.block_on(context.client.explain(&subject))?;
    let mut whole = ExplainReport::default();
    for report in reports {
        whole.job = whole.job.or(report.job);
        whole.places.extend(report.places);
        whole.decisions.extend(report.decisions);
    }
    if whole.job.is_none() && whole.decisions.is_empty() {
        return Err(CliError::Missing(format!(
            "job, task or request `{subject}` that a box remembers"
        )));
    }
    whole.decisions.sort_by_key(|decision| decision.at_ms);
    print_result(context.format, &whole, render);
    Ok(())
}

fn render(report: &ExplainReport) -> String {
    let mut text = report.job.as_ref().map(jobs::line).unwrap_or_default();
    text.extend(report.places.iter().filter_map(place_line));
    text.extend(report.decisions.iter().map(decision_line));
    text
}

fn place_line(place: &TaskPlacement) -> Option<String> {
    if let Some(worker) = &place.worker {
        let seconds = place.for_ms.unwrap_or_default() / 1000;
        return Some(format!(
            "{}: on {worker} for {seconds}s, epoch {}\n",
            place.task, place.epoch
        ));
    }
    let reason = serde_json::to_value(place.waits_for?).expect("our types serialize");
    Some(format!("{}: waits: {}\n", place.task, reason.as_str().unwrap_or_default()))
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
