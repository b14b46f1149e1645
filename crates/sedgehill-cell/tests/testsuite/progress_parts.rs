//! Progress of wide jobs whose crash histories exceed the size limit of a record.
//!
//! Guards against a cell that stands still: one job of 6,000 tasks lost its worker once, its progress took 515,902 bytes
//! of the 262,144 that the store takes, and each lead in turn gave up on that record.

use proptest::prelude::*;
use sedgehill_cell::crash_history::{CrashHistory, UnresolvedRun, WorkerCrash};
use sedgehill_cell::ids::{FencingToken, JobId, RunNumber, WorkerLife};
use sedgehill_cell::job::StepSpec;
use sedgehill_cell::progress::{JobProgress, JobState, LossWait, TaskLocation, TaskProgress};
use sedgehill_cell::progress_parts::{PartId, PartSize};
use sedgehill_cell::replica::{CellRecord, CellReplica, recorded_jobs};
use sedgehill_core::units::{Moment, TimeSpan};

use crate::fake::{FakeCell, job, step, task};

/// The default of the setting `store_record_bytes`.
const RECORD_BYTES: usize = 262_144;
const JOB: JobId = JobId(7);

fn stored_bytes(record: &CellRecord) -> usize {
    record.encode().len()
}

/// Returns progress whose tasks have the given numbers of crashes.
fn progress_with(crashes: &[usize], id_length: usize) -> JobProgress {
    let life = |number: usize| {
        let id = format!("{number}{}", "w".repeat(id_length));
        WorkerLife { start: Some(sedgehill_cell::ids::LifeStart(u64::MAX)), id: id.as_str().into() }
    };
    let crash = |number: usize| WorkerCrash {
        life: life(number),
        alone: true,
        seen: true,
        at_unix_ms: u64::MAX,
    };
    let unresolved = |number: usize| UnresolvedRun {
        run: RunNumber(u32::MAX - number as u32),
        life: life(number),
        address: "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535".parse().unwrap(),
        alone: true,
        seen: true,
        waited: None,
    };
    let wait = |number: usize| LossWait {
        run: RunNumber(u32::MAX - number as u32),
        waited: TimeSpan(u64::MAX),
    };
    let rows = || (0u32..).zip(crashes).filter(|(_, count)| **count > 0);
    JobProgress {
        state: JobState::Running,
        may_have_started: true,
        tasks: vec![
            TaskProgress { run: RunNumber(u32::MAX), ..TaskProgress::default() };
            crashes.len()
        ],
        crash_histories: rows()
            .map(|(task, count)| {
                let mut history = CrashHistory::default();
                history.crashes.extend((0..*count).map(crash));
                history.unresolved.extend((0..*count).map(unresolved));
                (task, history)
            })
            .collect(),
        correlated_ms: rows().map(|(task, count)| (task, vec![u64::MAX; *count])).collect(),
        locations: rows()
            .map(|(task, _)| TaskLocation {
                task,
                life: life(0),
                recorded_by: FencingToken(u64::MAX),
            })
            .collect(),
        unanswered: rows().map(|(task, count)| (task, (0..*count).map(crash).collect())).collect(),
        loss_waits: rows().map(|(task, count)| (task, (0..*count).map(wait).collect())).collect(),
        ..JobProgress::default()
    }
}

/// Returns the records of progress within a limit: the parts, then the main record.
fn records_of(progress: &JobProgress, limit: usize) -> Vec<CellRecord> {
    let fits = |record: CellRecord| stored_bytes(&record) <= limit;
    let (mut main, mut overflow) = progress.fitted(|main| fits(CellRecord::Progress(main.clone())));
    overflow.divide_parts(&mut main, PartSize::MAX, |part| {
        fits(CellRecord::ProgressPart(part.clone()))
    });
    let parts = overflow.parts.into_iter().map(CellRecord::ProgressPart);
    parts.chain([CellRecord::Progress(main)]).collect()
}

fn apply(replica: &mut CellReplica, records: &[CellRecord]) {
    for record in records {
        let (id, decoded) = CellRecord::decode(&record.key(JOB), &record.encode()).unwrap();
        replica.apply(id, decoded, Moment(0));
    }
}

fn replica_of(records: &[CellRecord]) -> CellReplica {
    let mut replica = CellReplica::default();
    apply(&mut replica, &[CellRecord::LeadJob(job(vec![step(1, 1)]))]);
    apply(&mut replica, records);
    replica
}

fn progress_for_lead(replica: &CellReplica) -> JobProgress {
    replica.job(JOB).unwrap().progress_for_lead()
}

proptest! {
    #[test]
    fn divided_progress_is_read_as_it_was(
        crashes in prop::collection::vec(0usize..3, 1..400),
        limit in 4_000usize..60_000,
    ) {
        let progress = progress_with(&crashes, 10);
        let records = records_of(&progress, limit);
        for record in &records {
            prop_assert!(stored_bytes(record) <= limit, "{}", record.key(JOB));
        }
        prop_assert_eq!(progress_for_lead(&replica_of(&records)), progress);
    }
}

/// A task fails, or its starts are used up, before it has more losses than this. Worker ids have at most 200 bytes.
#[test]
fn the_histories_of_any_accepted_job_fit_into_records() {
    for (tasks, losses) in [(1, 12), (300, 12), (8_000, 3)] {
        let progress = progress_with(&vec![losses; tasks], 200);
        for record in records_of(&progress, RECORD_BYTES) {
            let bytes = stored_bytes(&record);
            assert!(bytes <= RECORD_BYTES, "{tasks} tasks: {} takes {bytes}", record.key(JOB));
        }
    }
}

/// Parts of a size that the main record does not name are left from an earlier division.
#[test]
fn only_parts_of_the_size_in_the_main_record_count() {
    let older = progress_with(&[1; 300], 10);
    let newer = progress_with(&[2; 300], 10);
    let (older_main, older_parts) = older.split(PartSize::MAX);
    let half = PartSize::MAX.half().unwrap();
    let (newer_main, newer_parts) = newer.split(half);
    let parts = older_parts.into_iter().map(CellRecord::ProgressPart);
    let mut replica =
        replica_of(&parts.chain([CellRecord::Progress(older_main)]).collect::<Vec<_>>());
    // The lead ends before it has recorded all of a new division.
    let parts: Vec<CellRecord> = newer_parts.into_iter().map(CellRecord::ProgressPart).collect();
    apply(&mut replica, &parts);
    assert_eq!(progress_for_lead(&replica), older);
    apply(&mut replica, &[CellRecord::Progress(newer_main)]);
    assert_eq!(progress_for_lead(&replica), newer);
    // A lead of an earlier release knows no parts, and records what it knows in one record.
    let single = JobProgress { part_size: None, ..progress_with(&[0; 300], 10) };
    apply(&mut replica, &[CellRecord::Progress(single.clone())]);
    assert_eq!(progress_for_lead(&replica), single);
}

#[test]
fn a_removed_part_is_forgotten() {
    let progress = progress_with(&[1; 300], 10);
    let mut replica = replica_of(&records_of(&progress, 9_000));
    let ids: Vec<PartId> = replica.parts(JOB).map(|part| part.id).collect();
    assert!(ids.len() >= 3, "{ids:?}");
    replica.remove_part(JOB, ids[0]);
    // The others are missing from a reading of all keys.
    let kept = CellRecord::part_key(JOB, ids[1]);
    replica.retain_parts([kept.as_str(), "roster", "\u{fffd}"].into_iter());
    assert_eq!(replica.parts(JOB).map(|part| part.id).collect::<Vec<_>>(), [ids[1]]);
}

/// A job whose records are gone must be forgotten although a part is left over, or a box that was away would start it again.
#[test]
fn a_part_that_is_left_over_does_not_keep_its_job() {
    let progress = progress_with(&[1; 300], 10);
    let records = records_of(&progress, 9_000);
    let mut replica = replica_of(&records);
    assert_eq!(replica.lead_accepted_ids(), [JOB]);
    let keys: Vec<String> = records.iter().map(|record| record.key(JOB)).collect();
    let (main, parts) = keys.split_last().unwrap();
    assert!(parts.len() >= 3);
    let recorded = |keys: &[String]| recorded_jobs(keys.iter().map(String::as_str));
    replica.forget_missing(&[JOB], &recorded(std::slice::from_ref(main)));
    assert!(replica.job(JOB).is_some());
    replica.forget_missing(&[JOB], &recorded(parts));
    assert!(replica.job(JOB).is_none());
}

/// Earlier releases report such a key as unreadable and skip its record.
#[test]
fn the_key_of_a_part_is_no_key_of_an_earlier_release() {
    let (_, parts) = progress_with(&[1], 10).split(PartSize::MAX);
    let key = CellRecord::part_key(JOB, parts[0].id);
    assert_eq!(CellRecord::decode_part(&key), Some(parts[0].id));
    assert_eq!(CellRecord::decode_key(&key).unwrap(), (CellRecord::PART_PREFIX, JOB));
    assert!(key[1..].parse::<JobId>().is_err());
    for malformed in ["q", "q0000000000000007", "q0000000000000007/8.0", "q0000000000000007/1"] {
        assert_eq!(CellRecord::decode_part(malformed), None, "{malformed}");
    }
}

/// A wide job in a cell whose records are small. Every worker crashes under it, once with its lead, and neither a crash
/// nor a task is lost.
fn assert_crashes_are_recorded(spec: StepSpec, max_progress_record: usize) {
    let count = spec.count;
    let mut cell = FakeCell::with_lasting_ids(6, 60);
    cell.max_progress_record = max_progress_record;
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, 0, job(vec![spec]));
    cell.turns(&mut lead, 60);
    for round in 0..2 {
        let holders = (0..count).filter_map(|index| cell.place(task(0, 0, index)));
        let holders: std::collections::BTreeSet<usize> = holders.collect();
        assert!(!holders.is_empty(), "round {round}: nothing runs");
        for number in holders {
            cell.crash(number, TimeSpan(500));
        }
        cell.turns(&mut lead, 5);
        lead = cell.lead(true);
        lead.note_fenced(cell.now);
        cell.turns(&mut lead, 1_500);
        let progress = cell.progress(0);
        assert!(!progress.state.is_final(), "round {round}: {:?}", progress.state);
        let crashed = progress.crash_histories.iter().filter(|(_, history)| !history.is_empty());
        assert!(crashed.count() > 0, "round {round}: no crash is recorded");
    }
    assert_eq!(
        (0..count).filter(|index| cell.place(task(0, 0, *index)).is_some()).count(),
        usize::from(count)
    );
}

#[test]
fn crashes_under_a_wide_job_are_recorded_in_small_records() {
    assert_crashes_are_recorded(step(120, 1), 3_000);
}

#[test]
fn crashes_under_a_gang_are_recorded_in_small_records() {
    assert_crashes_are_recorded(StepSpec { gang: true, ..step(120, 1) }, 3_000);
}

#[test]
fn crashes_under_long_running_tasks_are_recorded_in_small_records() {
    assert_crashes_are_recorded(StepSpec { long_running: true, ..step(120, 1) }, 3_000);
}
