//! The replica of the cell's jobs that every box keeps.

use sedgehill_cell::ids::JobId;
use sedgehill_cell::progress::{JobProgress, JobState};
use sedgehill_cell::replica::{CellRecord, CellReplica, ReplicaChange, RosterSource};
use sedgehill_cell::scheduler::{RosterChange, WorkerRoster};
use sedgehill_core::units::{Moment, TimeSpan};

use crate::fake::{job, step};

const ID: JobId = JobId(7);
const NOW: Moment = Moment(1_000);

#[test]
fn records_are_decoded_as_encoded() {
    let records = [
        CellRecord::Job(job(vec![step(2, 1)])),
        CellRecord::LeadJob(job(vec![step(2, 1)])),
        CellRecord::Cancel,
        CellRecord::Progress(JobProgress { state: JobState::Running, ..JobProgress::default() }),
    ];
    for record in records {
        let read = CellRecord::decode(&record.key(ID), &record.encode()).unwrap();
        assert_eq!(read, (ID, record));
    }
    assert!(CellRecord::decode("", &[]).is_err());
    assert!(CellRecord::decode("jxyz", &[]).is_err());
}

#[test]
fn a_second_copy_of_a_job_changes_nothing() {
    let mut replica = CellReplica::default();
    let record = CellRecord::Job(job(vec![step(1, 1)]));
    assert_eq!(replica.apply(ID, record.clone(), NOW), ReplicaChange::Accepted(ID));
    assert_eq!(replica.apply(ID, CellRecord::Cancel, NOW), ReplicaChange::Cancelled(ID));
    assert_eq!(replica.apply(ID, record, NOW), ReplicaChange::Other);
    assert_eq!(replica.job(ID).unwrap().state(), JobState::Cancelled);
}

#[test]
fn a_job_counts_as_waiting_until_a_task_has_started() {
    let mut replica = CellReplica::default();
    let record = job(vec![step(1, 1)]);
    let queue = record.queue.clone();
    replica.apply(ID, CellRecord::Job(record), NOW);
    assert_eq!(replica.waiting_count(&queue), 1);
    let progress = JobProgress { state: JobState::Running, ..JobProgress::default() };
    replica.apply(ID, CellRecord::Progress(progress), NOW);
    assert_eq!(replica.waiting_count(&queue), 0);
}

#[test]
fn a_completed_job_stays_completed_when_it_is_cancelled_later() {
    let mut replica = CellReplica::default();
    replica.apply(ID, CellRecord::Job(job(vec![step(1, 1)])), NOW);
    let progress = JobProgress { state: JobState::Completed, ..JobProgress::default() };
    replica.apply(ID, CellRecord::Progress(progress), NOW);
    replica.apply(ID, CellRecord::Cancel, NOW);
    assert_eq!(replica.job(ID).unwrap().state(), JobState::Completed);
}

#[test]
fn a_job_that_a_lead_accepted_may_have_started_whichever_copy_is_read_first() {
    let record = job(vec![step(1, 1)]);
    let copies = [CellRecord::Job(record.clone()), CellRecord::LeadJob(record.clone())];
    assert_ne!(copies[0].key(ID), copies[1].key(ID));
    for order in [[0, 1], [1, 0]] {
        let mut replica = CellReplica::default();
        for copy in order {
            replica.apply(ID, copies[copy].clone(), NOW);
        }
        assert!(replica.job(ID).unwrap().progress_for_lead().may_have_started);
    }
    let mut replica = CellReplica::default();
    replica.apply(ID, copies[0].clone(), NOW);
    assert!(!replica.job(ID).unwrap().progress_for_lead().may_have_started);
}

#[test]
fn an_ended_job_keeps_only_its_state_and_is_forgotten_after_a_time() {
    let completed =
        CellRecord::Progress(JobProgress { state: JobState::Completed, ..JobProgress::default() });
    let mut replica = CellReplica::default();
    replica.apply(ID, CellRecord::LeadJob(job(vec![step(1, 1)])), NOW);
    replica.apply(ID, completed.clone(), NOW);
    assert!(replica.job(ID).unwrap().record.is_none());
    assert_eq!(replica.jobs().count(), 0);
    assert_eq!(replica.ended_before(NOW, 10), Vec::new());
    assert_eq!(replica.ended_before(NOW.after(TimeSpan(1)), 10), [ID]);
    // A box that starts later reads only the final progress.
    let mut later = CellReplica::default();
    later.apply(ID, completed, NOW);
    assert_eq!(later.job(ID).unwrap().state(), JobState::Completed);
    later.forget(ID);
    assert!(later.job(ID).is_none() && later.ended_before(Moment(u64::MAX), 10).is_empty());
}

#[test]
fn neither_an_old_record_nor_a_late_copy_reopens_an_ended_job() {
    let progress = |state| CellRecord::Progress(JobProgress { state, ..JobProgress::default() });
    let mut replica = CellReplica::default();
    let copy = CellRecord::Job(job(vec![step(1, 1)]));
    replica.apply(ID, copy.clone(), NOW);
    replica.apply(ID, progress(JobState::Failed), NOW);
    assert_eq!(replica.apply(ID, copy, NOW), ReplicaChange::Other);
    replica.apply(ID, progress(JobState::Running), NOW);
    assert_eq!(replica.job(ID).unwrap().state(), JobState::Failed);
    assert_eq!(replica.jobs().count(), 0);
}

#[test]
fn an_ended_job_with_a_directly_submitted_copy_is_not_forgotten() {
    let completed = JobProgress { state: JobState::Completed, ..JobProgress::default() };
    let mut replica = CellReplica::default();
    replica.apply(ID, CellRecord::Progress(completed), NOW);
    assert_eq!(replica.ended_before(Moment(u64::MAX), 10), [ID]);
    replica.apply(ID, CellRecord::Job(job(vec![step(1, 1)])), NOW);
    assert_eq!(replica.ended_before(Moment(u64::MAX), 10), Vec::new());
}

#[test]
fn a_job_of_which_only_the_progress_is_known_may_have_started() {
    let mut replica = CellReplica::default();
    assert!(!replica.may_have_started(ID));
    let progress = JobProgress { may_have_started: true, ..JobProgress::default() };
    replica.apply(ID, CellRecord::Progress(progress), NOW);
    assert!(replica.job(ID).is_none());
    assert!(replica.may_have_started(ID));
}

#[test]
fn a_roster_keeps_the_time_and_offset_of_its_source() {
    let mut replica = CellReplica::default();
    assert_eq!(replica.roster_source(), None);
    for offset in [None, Some(12)] {
        let source = RosterSource { read_at: NOW, offset };
        let content = Some(WorkerRoster::default());
        let change = RosterChange { key: WorkerRoster::KEY.to_owned(), content };
        replica.apply_roster(change, source);
        assert_eq!(replica.roster_source(), Some(source));
    }
}

/// Guards against restarting a finished job. A box that was away for longer than the store keeps its history reads the
/// newest record of each key. A job that ended and was dropped meanwhile has no record. A box that goes on taking it as
/// running would start its tasks again as lead.
#[test]
fn a_job_that_was_dropped_while_a_box_was_away_is_forgotten() {
    let mut replica = CellReplica::default();
    let dropped = JobId(1);
    let (running, direct, new) = (JobId(2), JobId(3), JobId(4));
    for id in [dropped, running] {
        replica.apply(id, CellRecord::LeadJob(job(vec![step(1, 1)])), NOW);
    }
    replica.apply(direct, CellRecord::Job(job(vec![step(1, 1)])), NOW);
    let before = replica.lead_accepted_ids();
    // Accepted while the newest records are being read, which do not contain it yet.
    replica.apply(new, CellRecord::LeadJob(job(vec![step(1, 1)])), NOW);
    replica.forget_missing(&before, &[running].into());
    let left: std::collections::BTreeSet<JobId> = replica.jobs().map(|(id, _)| id).collect();
    assert_eq!(left, [running, direct, new].into());
}
