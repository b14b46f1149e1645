//! Events and status by which a lead reports its decisions and their causes.

use sedgehill_cell::authority::{AuthorityTiming, BoxStrength, LeadWatch};
use sedgehill_cell::ids::{BoxName, JobId, RunNumber, WorkerLife};
use sedgehill_cell::progress::JobState;
use sedgehill_cell::scheduler::{
    CellEvent, HoldReport, KnownTaskState, LossCause, RunEnd, RunningRow, Scheduler,
    SettlementCause, TakeOverSettled, WorkerAnswer, WorkerCall, WorkerKey, WorkerRefusal,
    WorkerRoster, WorkerTime,
};
use sedgehill_core::units::{Moment, TimeSpan};

use crate::fake::{FakeCell, job, step, task, worker_entry};

/// Returns a cell whose lead has started a task and is lost, and the number of the worker that runs it.
fn running_cell(workers: u16) -> (FakeCell, usize) {
    let mut cell = FakeCell::new(workers, 4);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 3);
    let number = cell.place(task(1, 0, 0)).expect("the task runs");
    (cell, number)
}

fn take_over_settled(events: &[CellEvent]) -> Option<&TakeOverSettled> {
    events.iter().find_map(|event| match event {
        CellEvent::TakeOverSettled(settled) => Some(settled),
        _ => None,
    })
}

fn loss_causes(events: &[CellEvent]) -> Vec<LossCause> {
    let cause = |event: &CellEvent| match event {
        CellEvent::RunLost { cause, .. } => Some(*cause),
        _ => None,
    };
    events.iter().filter_map(cause).collect()
}

fn worker_changes(events: &[CellEvent], life: &WorkerLife) -> Vec<&'static str> {
    let change = |event: &CellEvent| match event {
        CellEvent::WorkerChanged { worker, change, .. } if worker == life => Some(*change),
        _ => None,
    };
    events.iter().filter_map(change).collect()
}

/// Returns the settlement cause of the first start among the events.
fn settlement_of_start(events: &[CellEvent]) -> Option<Option<SettlementCause>> {
    events.iter().find_map(|event| match event {
        CellEvent::Placed { earlier, .. } => Some(*earlier),
        _ => None,
    })
}

/// Returns the answer of a worker that lists one run.
fn report_listing(cell: &FakeCell, run: RunningRow) -> WorkerAnswer<HoldReport> {
    let clock = WorkerTime(cell.now.0 + 100_000);
    WorkerAnswer::Done(HoldReport { clock, running: vec![run], ..HoldReport::default() })
}

fn row(number: u64, run: u32) -> RunningRow {
    RunningRow { task: task(number, 0, 0), run: RunNumber(run), checkpoint: String::new() }
}

#[test]
fn a_take_over_reports_its_status_and_that_all_workers_answered() {
    let (mut cell, number) = running_cell(3);
    let mut next = cell.lead(true);
    let status = next.take_over_status();
    assert!(status.waits_for_term);
    assert_eq!((status.jobs, status.earlier_jobs), (1, 1));
    // Term 2.4 s with 2 %, lease 6 s with twice 2 %, margin 0.15 s.
    assert_eq!(status.settled_by.since(cell.now), TimeSpan(2_400 + 48 + 6_000 + 240 + 150));
    cell.turns(&mut next, 3);
    let events = next.take_events();
    let settled = take_over_settled(&events).expect("all workers have answered");
    assert_eq!(settled.by, SettlementCause::Heard);
    assert_eq!((settled.heard, settled.ended, settled.unheard, settled.jobs), (3, 0, 0, 1));
    let life = &cell.workers[number].entry.life;
    let adopted =
        CellEvent::RunAdopted { task: task(1, 0, 0), run: RunNumber(1), worker: life.clone() };
    assert!(events.contains(&adopted), "{events:?}");
    assert_eq!(worker_changes(&events, life), ["inherited"]);
}

#[test]
fn a_take_over_settled_by_time_names_the_silent_workers() {
    let (mut cell, number) = running_cell(2);
    cell.workers[number].cut = true;
    let mut next = cell.lead(false);
    let take_over_at = cell.now;
    let by_time = next.take_over_status().settled_by;
    let mut events = Vec::new();
    while take_over_settled(&events).is_none() {
        assert!(cell.now.since(take_over_at) < TimeSpan(10_000), "{events:?}");
        cell.turn(&mut next);
        events.extend(next.take_events());
    }
    assert!(cell.now >= by_time);
    let settled = take_over_settled(&events).unwrap();
    assert_eq!(settled.by, SettlementCause::Time);
    assert_eq!(settled.after, cell.now.since(take_over_at));
    assert_eq!((settled.heard, settled.unheard), (1, 1));
    assert_eq!(settled.unheard_some, [cell.workers[number].entry.life.clone()]);
    cell.turns(&mut next, 10);
    events.extend(next.take_events());
    assert_eq!(settlement_of_start(&events), Some(Some(SettlementCause::Time)));
}

#[test]
fn a_start_of_an_own_job_has_no_settlement_cause() {
    let mut cell = FakeCell::new(1, 4);
    let mut lead = cell.lead(false);
    cell.turns(&mut lead, 3);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 3);
    let events = lead.take_events();
    assert_eq!(settlement_of_start(&events), Some(None));
}

#[test]
fn a_job_accepted_again_starts_after_the_take_over_with_its_settlement_cause() {
    let (mut cell, number) = running_cell(2);
    // The run ends without a report, and the worker is lost as well.
    cell.workers[number].expire_for_test();
    cell.workers[number].cut = true;
    let mut next = cell.lead(true);
    cell.turns(&mut next, 3);
    cell.submit_led(&mut next, 1, job(vec![step(1, 1)]));
    cell.turns(&mut next, 3);
    assert!(!next.is_settled());
    assert_eq!(settlement_of_start(&next.take_events()), None);
    // Longer than the term, the longest lease, the drift of clocks and the margin together.
    cell.turns(&mut next, 450);
    let events = next.take_events();
    assert_eq!(settlement_of_start(&events), Some(Some(SettlementCause::Time)));
}

#[test]
fn a_job_recorded_by_another_lead_is_reported_and_not_started() {
    let (mut cell, _) = running_cell(2);
    let (record, progress) = cell.store.remove(&JobId(1)).unwrap();
    let mut next = cell.lead(true);
    cell.store.insert(JobId(1), (record.clone(), progress.clone()));
    next.add_job(JobId(1), record, &progress, TimeSpan(0), cell.now);
    let late = CellEvent::JobLedElsewhere { job: JobId(1), after: TimeSpan(0) };
    assert!(next.take_events().contains(&late));
    cell.workers.iter_mut().for_each(|worker| worker.expire_for_test());
    cell.turns(&mut next, 20);
    assert!(next.is_settled());
    assert_eq!(settlement_of_start(&next.take_events()), None);
}

#[test]
fn the_first_answer_of_a_worker_reports_the_assumed_lease() {
    let (mut cell, number) = running_cell(1);
    let mut next = cell.lead(true);
    cell.turn(&mut next);
    let clock = WorkerTime(cell.now.0 + 100_000);
    let first_answer = CellEvent::WorkerHeard {
        worker: cell.workers[number].entry.life.clone(),
        inherited: true,
        running: 1,
        ended: 0,
        clock,
        lease_until: clock.after(TimeSpan(6_000)),
        after: TimeSpan(20),
    };
    let events = next.take_events();
    assert!(events.contains(&first_answer), "{events:?}");
    cell.turns(&mut next, 3);
    let later_events = next.take_events();
    let repeated = later_events.iter().any(|event| matches!(event, CellEvent::WorkerHeard { .. }));
    assert!(!repeated, "the first answer of a worker is reported only once");
}

#[test]
fn a_run_lost_by_its_lease_reports_the_end_and_the_clock() {
    let (mut cell, number) = running_cell(2);
    let mut next = cell.lead(false);
    cell.turns(&mut next, 3);
    let last_answer_at = cell.now;
    cell.workers[number].cut = true;
    let mut events = Vec::new();
    while loss_causes(&events).is_empty() {
        assert!(cell.now.since(last_answer_at) < TimeSpan(10_000));
        cell.turn(&mut next);
        events.extend(next.take_events());
    }
    let [LossCause::LeaseEnded(reading)] = loss_causes(&events)[..] else { panic!("{events:?}") };
    assert_eq!(reading.clock, WorkerTime(last_answer_at.0 + 100_000));
    assert_eq!(reading.age, cell.now.since(last_answer_at));
    assert!(reading.until >= reading.clock.after(TimeSpan(5_900)), "{reading:?}");
    assert!(reading.least > reading.until.after(TimeSpan(150)), "{reading:?}");
    assert!(reading.least < reading.clock.after(reading.age), "the bound allows for a slow clock");
}

#[test]
fn a_worker_taken_as_ended_is_reported_with_address_and_call() {
    let (mut cell, number) = running_cell(1);
    let mut next = cell.lead(false);
    cell.turns(&mut next, 3);
    next.take_events();
    let answered = cell.now;
    cell.now.0 += 30;
    let refused = WorkerAnswer::NotDone(WorkerRefusal::OtherLife);
    next.hold_answered(WorkerKey(0), refused, cell.now, cell.now);
    let events = next.take_events();
    let entry = &cell.workers[number].entry;
    let (address, call) = (entry.address, WorkerCall::Account);
    assert_eq!(loss_causes(&events), [LossCause::WorkerEnded { address, call }]);
    let ended = CellEvent::WorkerEnded {
        worker: entry.life.clone(),
        address,
        call,
        runs: 1,
        silent: Some(cell.now.since(answered)),
    };
    assert!(events.contains(&ended), "{events:?}");
}

#[test]
fn a_run_lost_as_not_listed_reports_when_the_report_was_requested() {
    let (mut cell, number) = running_cell(1);
    let mut next = cell.lead(false);
    cell.turns(&mut next, 3);
    let seen = next.take_events();
    assert!(loss_causes(&seen).is_empty());
    cell.workers[number].expire_for_test();
    cell.turn(&mut next);
    let [LossCause::NotListed { asked, listed_from, .. }] = loss_causes(&next.take_events())[..]
    else {
        panic!("the run is not lost");
    };
    // The fake answers immediately, and the run was adopted with the first report.
    assert_eq!((asked, listed_from), (TimeSpan(0), TimeSpan(60)));
}

/// Returns the state of a task that the lead reports when worker 1 lists an unwanted run.
fn known_state_of(cell: &FakeCell, lead: &mut Scheduler, run: RunningRow) -> KnownTaskState {
    lead.take_events();
    let answer = report_listing(cell, run);
    lead.hold_answered(WorkerKey(1), answer, cell.now, cell.now);
    let known_state = lead.take_events().into_iter().find_map(|event| match event {
        CellEvent::RunUnwanted { known_state, .. } => Some(known_state),
        _ => None,
    });
    known_state.expect("the run is unwanted")
}

#[test]
fn an_unwanted_run_is_reported_with_the_known_state_of_its_task() {
    let mut cell = FakeCell::new(2, 4);
    let mut lead = cell.lead(false);
    for worker in 1..3 {
        cell.submit(&mut lead, worker, job(vec![step(1, 1)]));
    }
    cell.workers[1].entry.draining = true;
    cell.list(&mut lead);
    cell.turns(&mut lead, 3);
    assert_eq!(cell.place(task(1, 0, 0)), Some(0));
    cell.now.0 += 10;
    let placed = KnownTaskState::Placed {
        run: RunNumber(1),
        worker: cell.workers[0].entry.life.clone(),
        answered: Some(TimeSpan(10)),
    };
    assert_eq!(known_state_of(&cell, &mut lead, row(1, 5)), placed);
    assert_eq!(known_state_of(&cell, &mut lead, row(9, 1)), KnownTaskState::Unknown);
    lead.cancel_job(JobId(2), cell.now);
    cell.end_anywhere(task(2, 0, 0), RunEnd::Stopped);
    cell.poll_worker(&mut lead, WorkerKey(0));
    let over = known_state_of(&cell, &mut lead, row(2, 5));
    assert_eq!(over, KnownTaskState::JobOver(JobState::Cancelled));
}

#[test]
fn a_worker_that_leaves_the_list_and_the_roster_is_reported() {
    let mut cell = FakeCell::new(2, 4);
    let mut lead = cell.lead(false);
    cell.turns(&mut lead, 3);
    cell.workers[1].unlisted = true;
    for _ in 0..8 {
        cell.list(&mut lead);
        cell.turns(&mut lead, 20);
    }
    cell.workers[1].unlisted = false;
    cell.list(&mut lead);
    let events = lead.take_events();
    let reported = worker_changes(&events, &cell.workers[1].entry.life);
    assert_eq!(reported, ["listed", "unlisted", "left the roster", "listed again"]);
}

#[test]
fn the_first_refusal_for_a_later_lead_is_reported() {
    let mut cell = FakeCell::new(2, 4);
    let mut lead = cell.lead(false);
    cell.turns(&mut lead, 3);
    lead.take_events();
    for key in [WorkerKey(1), WorkerKey(0)] {
        let refused = WorkerAnswer::NotDone(WorkerRefusal::Fenced);
        lead.hold_answered(key, refused, cell.now, cell.now);
    }
    let worker = lead.entry(WorkerKey(1)).life.clone();
    let fenced = CellEvent::FencedByWorker { worker, call: WorkerCall::Account };
    assert_eq!(lead.take_events(), [fenced]);
}

#[test]
fn a_watch_reports_liveness_of_the_lead_and_the_end_of_its_authority() {
    let timing = AuthorityTiming::default();
    let begin = Moment(50_000);
    let mut own = LeadWatch::new(BoxName::from("a"), 1, BoxStrength(250), begin);
    assert_eq!(own.authority_until(), None);
    own.note_own_record(own.next_claim("127.0.0.1:1"), begin, 1, &timing);
    let until = begin.after(timing.term);
    // The end stays available after it has passed, to report since when the authority is over.
    assert_eq!(own.authority_until(), Some(until));
    let mut other = LeadWatch::new(BoxName::from("b"), 2, BoxStrength(250), begin);
    let read = begin.after(TimeSpan(30));
    other.note_record(own.newest().unwrap().clone(), read);
    other.note_reachable(true);
    let now = read.after(TimeSpan(20));
    let liveness = other.liveness(now);
    assert_eq!((liveness.last_heard, liveness.reachable, liveness.gone), (read, true, false));
    other.note_connection_refused();
    assert!(other.liveness(now).gone);
    own.note_record(other.next_claim("127.0.0.1:2"), now);
    assert_eq!(own.authority_until(), None);
}

#[test]
fn rosters_with_different_workers_have_different_digests() {
    let roster = |count: u16| WorkerRoster {
        workers: (0..count).map(|number| worker_entry(number, 4)).collect(),
        shrunk: Vec::new(),
    };
    let read = WorkerRoster::decode(&roster(2).encode()).unwrap();
    assert_eq!(read.digest(), roster(2).digest());
    assert_ne!(roster(3).digest(), roster(2).digest());
}
