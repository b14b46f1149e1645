//! `sedgehill status`: shows the state of the boxes, of the data halls and of the services.

use pico_args::Arguments;
use sedgehill_platform::admin::{BoxStatus, HallStatus, ServiceStatus};

use super::{CommandContext, expect_no_arguments};
use crate::error::CliError;
use crate::output::print_result;

/// Prints the status of each box that answers.
pub fn run(context: &CommandContext, args: Arguments) -> Result<(), CliError> {
    expect_no_arguments(args)?;
    let statuses = context.block_on(context.client.statuses())?;
    print_result(context.format, &statuses, |statuses| statuses.iter().map(render).collect());
    Ok(())
}

fn render(status: &BoxStatus) -> String {
    let health = serde_json::to_value(status.health.health).expect("our types serialize");
    let mut text = format!(
        "{} in {}: {}{}{}, applied {}, log heard {} ms ago\n",
        status.id,
        status.hall,
        health.as_str().unwrap_or_default(),
        if status.health.reason.is_empty() { "" } else { ": " },
        status.health.reason,
        status.applied,
        status.log_silent_ms,
    );
    for peer in &status.peers {
        text += &format!("  peer {}: {}, applied {}\n", peer.id, peer.state, peer.applied);
    }
    text.extend(status.halls.iter().map(hall_line));
    text.extend(status.services.iter().map(service_line));
    for config in &status.configs {
        text += &format!("  {} version {}\n", config.key, config.version);
    }
    text
}

fn hall_line(hall: &HallStatus) -> String {
    let lead = hall.lead.as_ref().map_or("nobody".to_owned(), |lead| lead.to_string());
    let epoch = hall.epoch.map(|epoch| format!(" in epoch {epoch}")).unwrap_or_default();
    let usage = match (&hall.free, &hall.total, hall.placed) {
        (Some(free), Some(total), Some(placed)) => {
            format!("; {placed} tasks placed, free {free} of {total}")
        }
        _ => String::new(),
    };
    format!("  hall {}: led by {lead}{epoch}{usage}\n", hall.hall)
}

fn service_line(service: &ServiceStatus) -> String {
    format!(
        "  service {}: {} endpoints, {} leaving, {} requests waiting, {} under way\n",
        service.service,
        service.endpoints,
        service.leaving.len(),
        service.waiting,
        service.under_way,
    )
}
