//! What boxes are told of jobs that do not stand by to lead.

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

/// Applies a record to a replica of a lead, and what it means to one that is told states.
fn tell(lead: &mut CellReplica, told: &mut CellReplica, record: CellRecord) {
    lead.apply(ID, record, NOW);
    told.apply_summary(JobSummary::of(lead, ID), NOW);
}

#[test]
fn states_told_in_short_are_those_of_the_records() {
    let (mut lead, mut told) = (CellReplica::default(), CellReplica::default());
    tell(&mut lead, &mut told, CellRecord::LeadJob(job(vec![step(2, 1)])));
    assert_eq!(told.job(ID).unwrap().state(), JobState::Pending);
    assert_eq!(told.waiting_count(&queue()), 1);
    tell(&mut lead, &mut told, progress(JobState::Running));
    assert_eq!(told.job(ID).unwrap().state(), JobState::Running);
    assert_eq!(told.waiting_count(&queue()), 0);
    tell(&mut lead, &mut told, progress(JobState::Completed));
    assert_eq!(told.job(ID).unwrap().state(), JobState::Completed);
    lead.forget(ID);
    told.apply_summary(JobSummary::of(&lead, ID), NOW);
    assert!(told.is_empty());
}

#[test]
fn a_cancelled_job_waits_no_longer_and_may_still_be_told_as_completed() {
    let (mut lead, mut told) = (CellReplica::default(), CellReplica::default());
    tell(&mut lead, &mut told, CellRecord::LeadJob(job(vec![step(1, 1)])));
    tell(&mut lead, &mut told, CellRecord::Cancel);
    assert_eq!(told.job(ID).unwrap().state(), JobState::Cancelled);
    assert_eq!(told.waiting_count(&queue()), 0);
    tell(&mut lead, &mut told, progress(JobState::Completed));
    assert_eq!(told.job(ID).unwrap().state(), JobState::Completed);
}

#[test]
fn what_is_not_accepted_is_not_told_as_a_job() {
    let (mut lead, mut told) = (CellReplica::default(), CellReplica::default());
    tell(&mut lead, &mut told, CellRecord::Cancel);
    assert!(told.job(ID).is_none());
}

#[test]
fn records_read_after_a_brief_make_the_job_whole() {
    let (mut lead, mut told) = (CellReplica::default(), CellReplica::default());
    tell(&mut lead, &mut told, CellRecord::LeadJob(job(vec![step(1, 1)])));
    assert!(told.job(ID).unwrap().record.is_none());
    told.apply(ID, CellRecord::LeadJob(job(vec![step(1, 1)])), NOW);
    assert!(told.job(ID).unwrap().record.is_some());
    assert_eq!(told.waiting_count(&queue()), 1);
}

#[test]
fn a_late_brief_does_not_begin_an_ended_job_again() {
    let mut told = CellReplica::default();
    let brief =
        |state| JobSummary { job: ID, state: Some(state), waiting_queue: None, organisation: None };
    told.apply_summary(brief(JobState::Completed), NOW);
    told.apply_summary(brief(JobState::Running), NOW);
    assert_eq!(told.job(ID).unwrap().state(), JobState::Completed);
}

#[test]
fn a_job_is_told_again_only_when_its_state_changes() {
    let (mut lead, mut told) = (CellReplica::default(), CellReplica::default());
    let mut ledger = SummaryFilter::default();
    let mut sent = Vec::new();
    let mut pass_on = |lead: &CellReplica| {
        let news = ledger.changes(JobSummary::of(lead, ID));
        sent.push(news.is_some());
        if let Some(news) = news {
            told.apply_summary(news, NOW);
        }
        assert_eq!(told.job(ID).map(|job| job.state()), lead.job(ID).map(|job| job.state()));
        assert_eq!(told.waiting_count(&queue()), lead.waiting_count(&queue()));
        let owner =
            |replica: &CellReplica| replica.job(ID).and_then(|job| job.organisation.clone());
        assert_eq!(owner(&told), owner(lead));
    };
    lead.apply(ID, CellRecord::LeadJob(owned("office", 4, job(vec![step(2, 1)]))), NOW);
    pass_on(&lead);
    // Each end of a task is a record.
    for _ in 0..3 {
        lead.apply(ID, progress(JobState::Running), NOW);
        pass_on(&lead);
    }
    lead.apply(ID, progress(JobState::Completed), NOW);
    pass_on(&lead);
    lead.forget(ID);
    pass_on(&lead);
    assert_eq!(sent, [true, true, false, false, true, true]);
}
