//! Rosters that are too large for one record of the store, and the two stored forms beside each other.
//!
//! Guards against a single record for all workers. With 6,000 workers the store refused it as too long, so no worker
//! was ever in a recorded roster, none got work, and the lead sent the same record again and again.

use std::net::Ipv4Addr;
use std::sync::Arc;

use sedgehill_cell::ids::FencingToken;
use sedgehill_cell::scheduler::{
    CellTiming, HoldReport, ProgressBatch, RosterChange, RosterParts, Scheduler, WorkerAnswer,
    WorkerEntry, WorkerKey, WorkerRoster, WorkerTime,
};
use sedgehill_core::units::{Moment, TimeSpan};

use crate::fake::{FakeCell, job, step, worker_entry};

const NOW: Moment = Moment(1_000);
/// The largest record of a worker: several times the usual size.
const MAX_WORKER_RECORD: usize = 300;

fn entries(count: usize) -> Vec<WorkerEntry> {
    let entry = |number: usize| {
        let address = (Ipv4Addr::from(0x0a80_0000 + number as u32), 8080).into();
        let life = format!("i-{number:010x}").as_str().into();
        let labels = vec![Arc::from("a"), Arc::from(format!("r1-{}", number / 12))];
        WorkerEntry { life, address, labels, ..worker_entry(0, 16) }
    };
    (0..count).map(entry).collect()
}

/// A lead that all listed workers have answered.
fn lead_of(entries: &[WorkerEntry], parts: &RosterParts) -> Scheduler {
    let mut lead = Scheduler::take_over(CellTiming::default(), FencingToken(8), false, NOW);
    let mut keys = lead.add_roster(parts, NOW);
    keys.extend(lead.update_workers(entries.to_vec(), &[], NOW));
    keys.into_iter().for_each(|key| answer(&mut lead, key));
    lead
}

fn answer(lead: &mut Scheduler, key: WorkerKey) {
    let report = HoldReport { clock: WorkerTime(1), ..HoldReport::default() };
    lead.hold_answered(key, WorkerAnswer::Done(report), NOW, NOW);
}

/// Records a batch, and returns the number of its roster records and their bytes in total.
fn record(lead: &mut Scheduler, parts: &mut RosterParts) -> (usize, usize) {
    let Some(batch) = lead.take_batch(NOW) else { return (0, 0) };
    let ProgressBatch { roster, .. } = &batch;
    let sizes: Vec<usize> = roster.iter().map(|change| change.encode().len()).collect();
    roster.iter().for_each(|change| parts.apply(change.clone()));
    lead.batch_recorded(&batch);
    (sizes.len(), sizes.into_iter().sum())
}

#[test]
fn a_large_roster_has_a_small_record_for_each_worker() {
    for count in [6_000, 24_000] {
        let mut parts = RosterParts::default();
        let mut lead = lead_of(&entries(count), &parts);
        let batch = lead.take_batch(NOW).unwrap();
        for change in &batch.roster {
            let bytes = change.encode().len();
            assert!(bytes <= MAX_WORKER_RECORD, "{} takes {bytes} bytes", change.key);
            let decoded = RosterChange::decode(&change.key, &change.encode()).unwrap();
            parts.apply(decoded);
        }
        lead.batch_recorded(&batch);
        assert_eq!(parts.worker_count(), count);
        // A later lead hears all of them, and has nothing to record.
        let mut next = lead_of(&entries(count), &parts);
        assert_eq!(record(&mut next, &mut parts), (0, 0));
        // One more worker costs one record.
        next.update_workers(entries(count + 1), &[], NOW);
        answer(&mut next, WorkerKey(count));
        let (records, bytes) = record(&mut next, &mut parts);
        assert_eq!(records, 1);
        assert!(bytes <= MAX_WORKER_RECORD);
        // One that leaves as well.
        let mut leaving = entries(count + 1);
        leaving[count].draining = true;
        next.update_workers(leaving, &[], NOW);
        assert_eq!(record(&mut next, &mut parts), (1, 0));
        assert_eq!(parts.worker_count(), count);
    }
}

#[test]
fn a_small_roster_stays_in_the_record_that_earlier_releases_read() {
    let mut parts = RosterParts::default();
    let mut lead = lead_of(&entries(350), &parts);
    let batch = lead.take_batch(NOW).unwrap();
    assert_eq!(batch.roster.len(), 1);
    assert_eq!(batch.roster[0].key, WorkerRoster::KEY);
    assert_eq!(WorkerRoster::decode(&batch.roster[0].encode()).unwrap().workers.len(), 350);
    record(&mut lead, &mut parts);
}

#[test]
fn a_cell_that_grows_and_shrinks_changes_the_form_and_forgets_no_worker() {
    let mut cell = FakeCell::new(8, 4);
    // Room for four workers in the single record.
    cell.max_roster_record = 240;
    for unlisted in [8, 4, 0, 4, 7, 0] {
        for number in 0..8 {
            cell.workers[number].unlisted = number >= 8 - unlisted;
        }
        let mut lead = cell.lead(true);
        cell.now.0 += 5_000;
        for _ in 0..20 {
            cell.list(&mut lead);
            cell.turns(&mut lead, 10);
        }
        let expected = 8 - unlisted;
        assert_eq!(cell.roster.worker_count(), expected, "{unlisted} workers unlisted");
        if expected > 0 {
            let id = cell.now.0;
            cell.submit_led(&mut lead, id, job(vec![step(expected as u16, 4)]));
            cell.turns(&mut lead, 10);
            assert_eq!(
                (0..8).filter(|number| cell.workers[*number].run_count() > 0).count(),
                expected
            );
            cell.end_all();
            cell.turns(&mut lead, 10);
        }
    }
}

#[test]
fn a_record_of_an_earlier_release_beside_those_of_workers_counts_too() {
    let all = entries(2_000);
    let mut parts = RosterParts::default();
    let mut lead = lead_of(&all[..1_500], &parts);
    record(&mut lead, &mut parts);
    // A lead of an earlier release has recorded its workers in the single record.
    let content = WorkerRoster { workers: all[1_400..1_600].to_vec(), shrunk: Vec::new() };
    parts.apply(RosterChange { key: WorkerRoster::KEY.to_owned(), content: Some(content) });
    let mut next = Scheduler::take_over(CellTiming::default(), FencingToken(16), false, NOW);
    assert_eq!(next.add_roster(&parts, NOW).len(), 1_600);
    // With the next change its record is replaced, together with new records for its workers.
    next.update_workers(all[..1_601].to_vec(), &[], NOW);
    (0..1_601).map(WorkerKey).for_each(|key| answer(&mut next, key));
    record(&mut next, &mut parts);
    assert_eq!(parts.worker_count(), 1_601);
}

/// A lead of an earlier release reads the single record alone. The marker in it never answers, so that lead waits
/// until all earlier runs have certainly ended.
#[test]
fn the_single_record_of_a_split_roster_makes_earlier_releases_wait() {
    let mut parts = RosterParts::default();
    let mut lead = lead_of(&entries(1_500), &parts);
    let batch = lead.take_batch(NOW).unwrap();
    let single = batch.roster.iter().find(|change| change.key == WorkerRoster::KEY).unwrap();
    let marker = WorkerRoster::decode(&single.encode()).unwrap();
    assert_eq!(marker.workers.len(), 1);
    assert!(marker.workers[0].draining);
    record(&mut lead, &mut parts);
    // As such a lead takes it: a worker like any other.
    let mut earlier = Scheduler::take_over(CellTiming::default(), FencingToken(16), true, NOW);
    let mut known = RosterParts::default();
    known.apply(RosterChange { key: "roster/any".to_owned(), content: Some(rename(marker)) });
    earlier.add_roster(&known, NOW);
    earlier.note_fenced(NOW);
    earlier.update_workers(entries(1_500), &[], NOW);
    (1..=1_500).map(WorkerKey).for_each(|key| answer(&mut earlier, key));
    earlier.schedule(NOW.after(TimeSpan(5_000)));
    assert!(!earlier.is_settled());
}

/// Returns a roster whose worker has another id, so that it is not taken for the marker.
fn rename(mut roster: WorkerRoster) -> WorkerRoster {
    roster.workers[0].life = "any-worker".into();
    roster
}

/// The lead finds the changes between two of its turns. A search that compares each worker with each other one would
/// take minutes at this size; the limit leaves room for a build without optimisation on a busy machine.
#[test]
fn the_change_of_one_worker_among_many_is_found_without_comparing_all_with_all() {
    const COUNT: usize = 24_000;
    const LIMIT: std::time::Duration = std::time::Duration::from_millis(1_500);
    let all = entries(COUNT);
    let mut parts = RosterParts::default();
    let mut lead = lead_of(&all, &parts);
    record(&mut lead, &mut parts);
    let begun = std::time::Instant::now();
    lead.update_workers(entries(COUNT + 1), &[], NOW);
    answer(&mut lead, WorkerKey(COUNT));
    assert_eq!(record(&mut lead, &mut parts).0, 1);
    assert!(begun.elapsed() < LIMIT, "{:?}", begun.elapsed());
}
