//! What every box knows of jobs.

use sedgehill_cell::ids::JobId;
use sedgehill_cell::progress::{JobProgress, JobState};
use sedgehill_cell::replica::{CellRecord, CellReplica, ReplicaChange};

use crate::fake::{job, step};

const ID: JobId = JobId(7);

#[test]
fn records_are_read_back_as_written() {
    let records = [
        CellRecord::Job(job(vec![step(2, 1)])),
        CellRecord::Led(job(vec![step(2, 1)])),
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
    assert_eq!(replica.apply(ID, record.clone()), ReplicaChange::Accepted(ID));
    assert_eq!(replica.apply(ID, CellRecord::Cancel), ReplicaChange::Cancelled(ID));
    assert_eq!(replica.apply(ID, record), ReplicaChange::Other);
    assert_eq!(replica.job(ID).unwrap().state(), JobState::Cancelled);
}

#[test]
fn jobs_wait_until_a_task_has_begun() {
    let mut replica = CellReplica::default();
    let record = job(vec![step(1, 1)]);
    let queue = record.queue.clone();
    replica.apply(ID, CellRecord::Job(record));
    assert_eq!(replica.waiting(&queue), 1);
    let progress = JobProgress { state: JobState::Running, ..JobProgress::default() };
    replica.apply(ID, CellRecord::Progress(progress));
    assert_eq!(replica.waiting(&queue), 0);
}

#[test]
fn a_completed_job_stays_completed_when_it_is_cancelled_later() {
    let mut replica = CellReplica::default();
    replica.apply(ID, CellRecord::Job(job(vec![step(1, 1)])));
    let progress = JobProgress { state: JobState::Completed, ..JobProgress::default() };
    replica.apply(ID, CellRecord::Progress(progress));
    replica.apply(ID, CellRecord::Cancel);
    assert_eq!(replica.job(ID).unwrap().state(), JobState::Completed);
}

#[test]
fn a_job_that_a_lead_accepted_counts_as_ordered_whichever_copy_is_heard_first() {
    let record = job(vec![step(1, 1)]);
    let copies = [CellRecord::Job(record.clone()), CellRecord::Led(record.clone())];
    assert_ne!(copies[0].key(ID), copies[1].key(ID));
    for order in [[0, 1], [1, 0]] {
        let mut replica = CellReplica::default();
        for copy in order {
            replica.apply(ID, copies[copy].clone());
        }
        assert!(replica.job(ID).unwrap().kept().ordered);
    }
    let mut replica = CellReplica::default();
    replica.apply(ID, copies[0].clone());
    assert!(!replica.job(ID).unwrap().kept().ordered);
}
