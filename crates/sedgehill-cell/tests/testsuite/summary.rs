//! Job summaries, which the lead sends to boxes that do not hold the full records.

use sedgehill_cell::ids::{JobId, QueueName};
use sedgehill_cell::progress::{JobProgress, JobState};
use sedgehill_cell::replica::{CellRecord, CellReplica};
use sedgehill_cell::summary::{JobSummary, SummaryFilter};
use sedgehill_core::units::Moment;

use crate::fake::{job, owned, step};

const ID: JobId = JobId(7);
const NOW: Moment = Moment(1_000);

fn progress(state: JobState) -> CellRecord {
    CellRecord::Progress(JobProgress { state, ..JobProgress::default() })
}

fn queue() -> QueueName {
    job(vec![step(1, 1)]).queue
}

/// Applies a record to the replica of the lead, and the resulting summary to the replica of a follower.
fn apply_to_both(lead: &mut CellReplica, follower: &mut CellReplica, record: CellRecord) {
    lead.apply(ID, record, NOW);
    follower.apply_summary(JobSummary::of(lead, ID), NOW);
}

#[test]
fn summaries_give_the_same_states_as_records() {
    let (mut lead, mut follower) = (CellReplica::default(), CellReplica::default());
    apply_to_both(&mut lead, &mut follower, CellRecord::LeadJob(job(vec![step(2, 1)])));
    assert_eq!(follower.job(ID).unwrap().state(), JobState::Pending);
    assert_eq!(follower.waiting_count(&queue()), 1);
    apply_to_both(&mut lead, &mut follower, progress(JobState::Running));
    assert_eq!(follower.job(ID).unwrap().state(), JobState::Running);
    assert_eq!(follower.waiting_count(&queue()), 0);
    apply_to_both(&mut lead, &mut follower, progress(JobState::Completed));
    assert_eq!(follower.job(ID).unwrap().state(), JobState::Completed);
    lead.forget(ID);
    follower.apply_summary(JobSummary::of(&lead, ID), NOW);
    assert!(follower.is_empty());
}

#[test]
fn a_cancelled_job_is_not_waiting_and_can_still_become_completed() {
    let (mut lead, mut follower) = (CellReplica::default(), CellReplica::default());
    apply_to_both(&mut lead, &mut follower, CellRecord::LeadJob(job(vec![step(1, 1)])));
    apply_to_both(&mut lead, &mut follower, CellRecord::Cancel);
    assert_eq!(follower.job(ID).unwrap().state(), JobState::Cancelled);
    assert_eq!(follower.waiting_count(&queue()), 0);
    apply_to_both(&mut lead, &mut follower, progress(JobState::Completed));
    assert_eq!(follower.job(ID).unwrap().state(), JobState::Completed);
}

#[test]
fn a_cancel_record_alone_makes_no_job_in_a_summary() {
    let (mut lead, mut follower) = (CellReplica::default(), CellReplica::default());
    apply_to_both(&mut lead, &mut follower, CellRecord::Cancel);
    assert!(follower.job(ID).is_none());
}

#[test]
fn records_read_after_a_summary_complete_the_job() {
    let (mut lead, mut follower) = (CellReplica::default(), CellReplica::default());
    apply_to_both(&mut lead, &mut follower, CellRecord::LeadJob(job(vec![step(1, 1)])));
    assert!(follower.job(ID).unwrap().record.is_none());
    follower.apply(ID, CellRecord::LeadJob(job(vec![step(1, 1)])), NOW);
    assert!(follower.job(ID).unwrap().record.is_some());
    assert_eq!(follower.waiting_count(&queue()), 1);
}

#[test]
fn a_late_summary_does_not_reopen_an_ended_job() {
    let mut follower = CellReplica::default();
    let summary =
        |state| JobSummary { job: ID, state: Some(state), waiting_queue: None, organisation: None };
    follower.apply_summary(summary(JobState::Completed), NOW);
    follower.apply_summary(summary(JobState::Running), NOW);
    assert_eq!(follower.job(ID).unwrap().state(), JobState::Completed);
}

#[test]
fn a_summary_is_sent_again_only_when_the_state_changes() {
    let (mut lead, mut follower) = (CellReplica::default(), CellReplica::default());
    let mut filter = SummaryFilter::default();
    let mut was_sent = Vec::new();
    let mut send_changes = |lead: &CellReplica| {
        let change = filter.changes(JobSummary::of(lead, ID));
        was_sent.push(change.is_some());
        if let Some(change) = change {
            follower.apply_summary(change, NOW);
        }
        assert_eq!(follower.job(ID).map(|job| job.state()), lead.job(ID).map(|job| job.state()));
        assert_eq!(follower.waiting_count(&queue()), lead.waiting_count(&queue()));
        let owner =
            |replica: &CellReplica| replica.job(ID).and_then(|job| job.organisation.clone());
        assert_eq!(owner(&follower), owner(lead));
    };
    lead.apply(ID, CellRecord::LeadJob(owned("office", 4, job(vec![step(2, 1)]))), NOW);
    send_changes(&lead);
    // Each end of a task writes a progress record, which leaves the state of the job unchanged.
    for _ in 0..3 {
        lead.apply(ID, progress(JobState::Running), NOW);
        send_changes(&lead);
    }
    lead.apply(ID, progress(JobState::Completed), NOW);
    send_changes(&lead);
    lead.forget(ID);
    send_changes(&lead);
    assert_eq!(was_sent, [true, true, false, false, true, true]);
}
