//! Keys of callers, and resource limits of organisations.

use sedgehill_cell::ids::{JobId, OrganisationName};
use sedgehill_cell::organisation::{
    DIGEST_BYTES, KeyDigest, KeyOwner, KeyRefusal, KeyRing, ResourceLimit,
};
use sedgehill_cell::progress::{JobProgress, JobState};
use sedgehill_cell::replica::{CellRecord, CellReplica};
use sedgehill_cell::scheduler::{CellEvent, RunEnd};
use sedgehill_cell::summary::JobSummary;
use sedgehill_core::units::{CoreCount, Moment};

use crate::fake::{FakeCell, cores, job, owned, step, task};

const ORG: &str = "office";
const ID: JobId = JobId(7);
const NOW: Moment = Moment(1_000);

fn digest(byte: u8) -> KeyDigest {
    KeyDigest([byte; DIGEST_BYTES])
}

fn name(text: &str) -> OrganisationName {
    OrganisationName::from(text)
}

fn owner(text: &str, index: usize) -> KeyOwner {
    KeyOwner { organisation: name(text), index }
}

fn running(cell: &FakeCell) -> u64 {
    cell.running_for(&name(ORG)).cores.0 / 1000
}

#[test]
fn a_call_needs_a_known_key_unless_its_queue_is_public() {
    let mut ring = KeyRing::default();
    let owner = owner(ORG, 0);
    ring.add(digest(1), owner.clone());
    assert_eq!(ring.admit(false, Ok(digest(1))), Ok(Some(&owner)));
    assert_eq!(ring.admit(false, Ok(digest(2))), Err(KeyRefusal::Unknown));
    assert_eq!(ring.admit(false, Err(KeyRefusal::Missing)), Err(KeyRefusal::Missing));
    assert_eq!(ring.admit(true, Err(KeyRefusal::Missing)), Ok(None));
    assert_eq!(ring.admit(true, Ok(digest(2))), Ok(None));
    assert_eq!(ring.admit(true, Ok(digest(1))), Ok(Some(&owner)));
}

#[test]
fn a_key_stays_with_the_organisation_that_had_it_first_and_is_never_shown() {
    let mut ring = KeyRing::default();
    ring.add(digest(65), owner(ORG, 0));
    ring.add(digest(65), owner("other", 1));
    assert_eq!(ring.admit(false, Ok(digest(65))), Ok(Some(&owner(ORG, 0))));
    assert!(!format!("{ring:?}").contains("65"));
}

#[test]
fn a_job_is_accessible_only_to_its_organisation_also_after_its_end_and_by_summary() {
    let mut replica = CellReplica::default();
    replica.apply(ID, CellRecord::LeadJob(owned(ORG, 4, job(vec![step(1, 1)]))), NOW);
    let mut follower = CellReplica::default();
    follower.apply_summary(JobSummary::of(&replica, ID), NOW);
    let completed = JobProgress {
        state: JobState::Completed,
        organisation: Some(name(ORG)),
        ..JobProgress::default()
    };
    // A box that starts after the end of the job reads only its progress.
    let mut late_replica = CellReplica::default();
    late_replica.apply(ID, CellRecord::Progress(completed), NOW);
    for replica in [&replica, &follower, &late_replica] {
        let known = replica.job(ID).unwrap();
        assert!(known.is_accessible_to(Some(&name(ORG))));
        assert!(!known.is_accessible_to(Some(&name("other"))));
        assert!(!known.is_accessible_to(None));
    }
}

#[test]
fn the_progress_of_an_ended_job_names_its_organisation() {
    let mut cell = FakeCell::new(1, 16);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, owned(ORG, 4, job(vec![step(1, 1)])));
    cell.turns(&mut lead, 3);
    assert_eq!(cell.progress(1).organisation, None);
    cell.end_anywhere(task(1, 0, 0), RunEnd::Done);
    cell.turns(&mut lead, 3);
    assert_eq!(cell.progress(1).state, JobState::Completed);
    assert_eq!(cell.progress(1).organisation, Some(name(ORG)));
}

#[test]
fn a_step_wider_than_the_limit_runs_in_waves() {
    let mut cell = FakeCell::new(4, 16);
    let mut lead = cell.lead(false);
    cell.limit(&mut lead, ORG, 5);
    cell.submit(&mut lead, 1, owned(ORG, 5, job(vec![step(12, 2)])));
    for _ in 0..6 {
        cell.turns(&mut lead, 5);
        assert_eq!(running(&cell), 4, "two tasks of two cores fit into five cores");
        cell.end_all();
    }
    cell.turns(&mut lead, 5);
    assert_eq!(cell.progress(1).state, JobState::Completed);
}

#[test]
fn a_gang_starts_whole_within_the_limit_or_not_at_all() {
    let mut cell = FakeCell::new(4, 16);
    let mut lead = cell.lead(false);
    cell.limit(&mut lead, ORG, 5);
    let mut gang = step(3, 2);
    gang.gang = true;
    cell.submit(&mut lead, 1, owned(ORG, 5, job(vec![gang])));
    cell.turns(&mut lead, 5);
    assert_eq!(running(&cell), 0);
    let events = lead.take_events();
    let limit_reached =
        events.iter().filter(|event| matches!(event, CellEvent::LimitReached { .. }));
    assert_eq!(limit_reached.count(), 1, "the event is reported once, not in each turn");
    cell.limit(&mut lead, ORG, 6);
    cell.turns(&mut lead, 5);
    assert_eq!(running(&cell), 6);
}

#[test]
fn other_organisations_do_not_wait_for_an_organisation_at_its_limit() {
    let mut cell = FakeCell::new(1, 16);
    let mut lead = cell.lead(false);
    cell.limit(&mut lead, ORG, 2);
    cell.limit(&mut lead, "other", 8);
    cell.submit(&mut lead, 1, owned(ORG, 2, job(vec![step(20, 1)])));
    cell.submit(&mut lead, 2, owned("other", 8, job(vec![step(8, 1)])));
    cell.turns(&mut lead, 5);
    assert_eq!(running(&cell), 2);
    assert_eq!(cell.running_for(&name("other")).cores, cores(8).cores);
}

#[test]
fn a_lowered_limit_stops_new_starts_at_once_and_ends_nothing() {
    let mut cell = FakeCell::new(2, 16);
    let mut lead = cell.lead(false);
    cell.limit(&mut lead, ORG, 8);
    cell.submit(&mut lead, 1, owned(ORG, 8, job(vec![step(12, 1)])));
    cell.turns(&mut lead, 5);
    assert_eq!(running(&cell), 8);
    cell.limit(&mut lead, ORG, 3);
    cell.end_anywhere(task(1, 0, 0), RunEnd::Done);
    cell.turns(&mut lead, 5);
    assert_eq!(running(&cell), 7, "no run is stopped and none is started");
    cell.end_all();
    cell.turns(&mut lead, 5);
    assert_eq!(running(&cell), 3);
}

#[test]
fn a_start_without_an_answer_counts_until_it_is_settled() {
    let mut cell = FakeCell::new(3, 16);
    let mut lead = cell.lead(false);
    cell.limit(&mut lead, ORG, 4);
    cell.turns(&mut lead, 3);
    // The answers to the first starts are lost, and the stops after them do not arrive.
    cell.submit(&mut lead, 1, owned(ORG, 4, job(vec![step(4, 1)])));
    cell.turn_losing_answers(&mut lead);
    assert_eq!(running(&cell), 4);
    for worker in &mut cell.workers {
        worker.cut = worker.run_count() > 0;
    }
    cell.submit(&mut lead, 2, owned(ORG, 4, job(vec![step(4, 1)])));
    for _ in 0..400 {
        cell.turn(&mut lead);
        // The fakes panic if more than four cores ever run for the organisation.
        assert!(running(&cell) <= 4);
    }
    assert_eq!(running(&cell), 4, "the room is free again after the lease");
}

#[test]
fn a_new_lead_counts_possible_runs_on_workers_without_a_report_against_the_limit() {
    let mut cell = FakeCell::new(4, 8);
    let mut lead = cell.lead(false);
    cell.limit(&mut lead, ORG, 8);
    // A wide job fills the limit.
    cell.submit_led(&mut lead, 1, owned(ORG, 8, job(vec![step(8, 1)])));
    cell.turns(&mut lead, 4);
    assert_eq!(running(&cell), 8);
    let holders: Vec<usize> =
        (0..4).filter(|number| cell.workers[*number].run_count() > 0).collect();
    for holder in &holders {
        cell.workers[*holder].cut = true;
    }
    let mut next = cell.lead(true);
    cell.submit_led(&mut next, 2, owned(ORG, 8, job(vec![step(8, 1)])));
    cell.turns(&mut next, 20);
    assert_eq!(cell.starts.len(), 8, "unreachable workers may use the whole limit");
    for holder in holders {
        cell.workers[holder].cut = false;
    }
    cell.turns(&mut next, 10);
    cell.end_all();
    cell.turns(&mut next, 10);
    assert_eq!(running(&cell), 8);
    assert_eq!(cell.starts.len(), 16);
}

#[test]
fn jobs_of_a_removed_organisation_continue_under_the_limit_of_their_acceptance() {
    let mut cell = FakeCell::new(2, 16);
    let mut lead = cell.lead(false);
    cell.limit(&mut lead, ORG, 3);
    cell.submit(&mut lead, 1, owned(ORG, 3, job(vec![step(6, 1)])));
    cell.drop_organisations(&mut lead);
    cell.turns(&mut lead, 5);
    assert_eq!(running(&cell), 3);
    let mut next = cell.lead(false);
    cell.turns(&mut next, 10);
    cell.end_all();
    cell.turns(&mut next, 10);
    assert_eq!(running(&cell), 3);
}

#[test]
fn a_limit_allows_resources_up_to_its_values() {
    let limit = ResourceLimit { cores: Some(CoreCount(4_000)), ..ResourceLimit::default() };
    assert!(limit.allows(&cores(4)));
    assert!(!limit.allows(&cores(5)));
    assert!(ResourceLimit::default().allows(&cores(1_000_000)));
    assert_eq!(limit.to_string(), "4 cores, any memory, any accelerators");
}

#[test]
fn work_beyond_the_share_of_an_organisation_comes_after_work_within_shares() {
    let mut cell = FakeCell::new(1, 4);
    let mut lead = cell.lead(false);
    cell.limit(&mut lead, "hot", 4);
    cell.limit(&mut lead, ORG, 4);
    cell.turns(&mut lead, 3);
    // The share of each organisation is two jobs per second. Twenty jobs of the first one come before one of the
    // second.
    for id in 1..=20 {
        cell.submit_led(&mut lead, id, owned("hot", 4, job(vec![step(1, 4)])));
    }
    cell.submit_led(&mut lead, 21, owned(ORG, 4, job(vec![step(1, 4)])));
    let mut turns = 0;
    while cell.place(task(21, 0, 0)).is_none() {
        turns += 1;
        assert!(turns <= 3, "only two jobs of the other organisation are within its share");
        cell.turns(&mut lead, 3);
        if cell.place(task(21, 0, 0)).is_none() {
            cell.end_all();
        }
    }
    // Idle room is given to work beyond the shares, so that it runs as well.
    for _ in 0..30 {
        cell.end_all();
        cell.turns(&mut lead, 3);
    }
    assert_eq!(lead.open_jobs(), 0);
}

#[test]
fn narrow_work_leaves_the_limit_to_a_gang_that_waits_longer() {
    let mut cell = FakeCell::new(4, 16);
    let mut lead = cell.lead(false);
    cell.limit(&mut lead, ORG, 8);
    cell.turns(&mut lead, 3);
    // Narrow work fills the limit, a gang that needs all of it waits, and more narrow work arrives.
    let mut next = 1;
    let mut submit_narrow = |cell: &mut FakeCell, lead: &mut _| {
        let mut record = owned(ORG, 8, job(vec![step(1, 1)]));
        record.policy.priority = 1;
        cell.submit_led(lead, next, record);
        next += 1;
    };
    for _ in 0..8 {
        submit_narrow(&mut cell, &mut lead);
    }
    cell.turns(&mut lead, 3);
    assert_eq!(running(&cell), 8);
    let mut gang = step(8, 1);
    gang.gang = true;
    cell.submit_led(&mut lead, 1_000, owned(ORG, 8, job(vec![gang])));
    for _ in 0..8 {
        submit_narrow(&mut cell, &mut lead);
        cell.end_some(0, RunEnd::Done);
        cell.turns(&mut lead, 3);
    }
    assert!(cell.place(task(1_000, 0, 0)).is_some(), "the gang gets the whole limit");
}

// A job is cancelled while the worker that runs its task is unreachable, and the lead is lost. The task continues there
// until its lease ends, and counts against the limit of its organisation.
#[test]
fn runs_of_a_cancelled_job_count_against_the_limit_at_a_later_lead() {
    let mut cell = FakeCell::new(2, 4);
    let mut lead = cell.lead(false);
    cell.limit(&mut lead, "small", 4);
    cell.submit_led(&mut lead, 1, owned("small", 4, job(vec![step(1, 3)])));
    cell.turns(&mut lead, 5);
    let holder = cell.place(task(1, 0, 0)).unwrap();
    cell.workers[holder].cut = true;
    cell.cancel(&mut lead, 1);
    let mut next = cell.lead(true);
    next.note_fenced(cell.now);
    cell.submit_led(&mut next, 2, owned("small", 4, job(vec![step(2, 1)])));
    cell.turns(&mut next, 20);
    assert!(cell.starts.iter().filter(|(task, ..)| task.step.job.0 == 2).count() <= 1);
}
