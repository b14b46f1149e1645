//! What a lead tells of its decisions, with what decided them.

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

/// A cell whose lead has started a task and is lost; with the number of the worker.
fn begun(workers: u16) -> (FakeCell, usize) {
    let mut cell = FakeCell::new(workers, 4);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 3);
    let number = cell.place(task(1, 0, 0)).expect("it runs");
    (cell, number)
}

fn settled(events: &[CellEvent]) -> Option<&TakeOverSettled> {
    events.iter().find_map(|event| match event {
        CellEvent::TakeOverSettled(settled) => Some(settled),
        _ => None,
    })
}

fn losses(events: &[CellEvent]) -> Vec<LossCause> {
    let cause = |event: &CellEvent| match event {
        CellEvent::RunLost { cause, .. } => Some(*cause),
        _ => None,
    };
    events.iter().filter_map(cause).collect()
}

fn changes(events: &[CellEvent], life: &WorkerLife) -> Vec<&'static str> {
    let change = |event: &CellEvent| match event {
        CellEvent::WorkerChanged { worker, change, .. } if worker == life => Some(*change),
        _ => None,
    };
    events.iter().filter_map(change).collect()
}

/// What settled the start of a task that the events tell of.
fn earlier_of_start(events: &[CellEvent]) -> Option<Option<SettlementCause>> {
    events.iter().find_map(|event| match event {
        CellEvent::Placed { earlier, .. } => Some(*earlier),
        _ => None,
    })
}

/// The answer of a worker that lists one run.
fn listing(cell: &FakeCell, run: RunningRow) -> WorkerAnswer<HoldReport> {
    let clock = WorkerTime(cell.now.0 + 100_000);
    WorkerAnswer::Done(HoldReport { clock, running: vec![run], ..HoldReport::default() })
}

fn row(number: u64, run: u32) -> RunningRow {
    RunningRow { task: task(number, 0, 0), run: RunNumber(run), checkpoint: String::new() }
}

#[test]
fn a_take_over_tells_what_it_goes_by_and_that_all_were_heard() {
    let (mut cell, number) = begun(3);
    let mut next = cell.lead(true);
    let sight = next.take_over_status();
    assert!(sight.waits_for_term);
    assert_eq!((sight.jobs, sight.earlier_jobs), (1, 1));
    // Term 2.4 s with 2 %, lease 6 s with twice 2 %, margin 0.15 s.
    assert_eq!(sight.settled_by.since(cell.now), TimeSpan(2_400 + 48 + 6_000 + 240 + 150));
    cell.turns(&mut next, 3);
    let events = next.take_events();
    let settled = settled(&events).expect("all have answered");
    assert_eq!(settled.by, SettlementCause::Heard);
    assert_eq!((settled.heard, settled.ended, settled.unheard, settled.jobs), (3, 0, 0, 1));
    let life = &cell.workers[number].entry.life;
    let adopted =
        CellEvent::RunAdopted { task: task(1, 0, 0), run: RunNumber(1), worker: life.clone() };
    assert!(events.contains(&adopted), "{events:?}");
    assert_eq!(changes(&events, life), ["inherited"]);
}

#[test]
fn a_take_over_settled_by_time_names_who_was_not_heard() {
    let (mut cell, number) = begun(2);
    cell.workers[number].cut = true;
    let mut next = cell.lead(false);
    let begun_at = cell.now;
    let by_time = next.take_over_status().settled_by;
    let mut events = Vec::new();
    while settled(&events).is_none() {
        assert!(cell.now.since(begun_at) < TimeSpan(10_000), "{events:?}");
        cell.turn(&mut next);
        events.extend(next.take_events());
    }
    assert!(cell.now >= by_time);
    let settled = settled(&events).unwrap();
    assert_eq!(settled.by, SettlementCause::Time);
    assert_eq!(settled.after, cell.now.since(begun_at));
    assert_eq!((settled.heard, settled.unheard), (1, 1));
    assert_eq!(settled.unheard_some, [cell.workers[number].entry.life.clone()]);
    cell.turns(&mut next, 10);
    events.extend(next.take_events());
    assert_eq!(earlier_of_start(&events), Some(Some(SettlementCause::Time)));
}

#[test]
fn a_start_of_an_own_job_tells_of_no_earlier_lead() {
    let mut cell = FakeCell::new(1, 4);
    let mut lead = cell.lead(false);
    cell.turns(&mut lead, 3);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 3);
    let events = lead.take_events();
    assert_eq!(earlier_of_start(&events), Some(None));
}

#[test]
fn a_job_that_is_accepted_again_starts_once_all_is_settled_and_tells_by_what() {
    let (mut cell, number) = begun(2);
    // What the worker runs ends unheard, and the worker is lost with it.
    cell.workers[number].expire_for_test();
    cell.workers[number].cut = true;
    let mut next = cell.lead(true);
    cell.turns(&mut next, 3);
    cell.submit_led(&mut next, 1, job(vec![step(1, 1)]));
    cell.turns(&mut next, 3);
    assert!(!next.is_settled());
    assert_eq!(earlier_of_start(&next.take_events()), None);
    // The term, the longest lease, the drift of clocks and the margin.
    cell.turns(&mut next, 450);
    let events = next.take_events();
    assert_eq!(earlier_of_start(&events), Some(Some(SettlementCause::Time)));
}

#[test]
fn a_job_with_the_mark_of_another_lead_is_told_and_not_started() {
    let (mut cell, _) = begun(2);
    let (record, kept) = cell.store.remove(&JobId(1)).unwrap();
    let mut next = cell.lead(true);
    cell.store.insert(JobId(1), (record.clone(), kept.clone()));
    next.add_job(JobId(1), record, &kept, TimeSpan(0), cell.now);
    let late = CellEvent::JobLedElsewhere { job: JobId(1), after: TimeSpan(0) };
    assert!(next.take_events().contains(&late));
    cell.workers.iter_mut().for_each(|worker| worker.expire_for_test());
    cell.turns(&mut next, 20);
    assert!(next.is_settled());
    assert_eq!(earlier_of_start(&next.take_events()), None);
}

#[test]
fn a_first_answer_tells_the_lease_that_is_assumed() {
    let (mut cell, number) = begun(1);
    let mut next = cell.lead(true);
    cell.turn(&mut next);
    let clock = WorkerTime(cell.now.0 + 100_000);
    let heard = CellEvent::WorkerHeard {
        worker: cell.workers[number].entry.life.clone(),
        inherited: true,
        running: 1,
        ended: 0,
        clock,
        lease_until: clock.after(TimeSpan(6_000)),
        after: TimeSpan(20),
    };
    let events = next.take_events();
    assert!(events.contains(&heard), "{events:?}");
    cell.turns(&mut next, 3);
    let again = next.take_events();
    let told = again.iter().any(|event| matches!(event, CellEvent::WorkerHeard { .. }));
    assert!(!told, "a worker is heard first but once");
}

#[test]
fn a_lease_taken_as_ended_tells_its_end_and_the_clock() {
    let (mut cell, number) = begun(2);
    let mut next = cell.lead(false);
    cell.turns(&mut next, 3);
    let heard = cell.now;
    cell.workers[number].cut = true;
    let mut events = Vec::new();
    while losses(&events).is_empty() {
        assert!(cell.now.since(heard) < TimeSpan(10_000));
        cell.turn(&mut next);
        events.extend(next.take_events());
    }
    let [LossCause::LeaseEnded(reading)] = losses(&events)[..] else { panic!("{events:?}") };
    assert_eq!(reading.clock, WorkerTime(heard.0 + 100_000));
    assert_eq!(reading.age, cell.now.since(heard));
    assert!(reading.until >= reading.clock.after(TimeSpan(5_900)), "{reading:?}");
    assert!(reading.least > reading.until.after(TimeSpan(150)), "{reading:?}");
    assert!(reading.least < reading.clock.after(reading.age), "the clock may be slow");
}

#[test]
fn a_life_taken_as_ended_tells_the_address_and_the_call() {
    let (mut cell, number) = begun(1);
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
    assert_eq!(losses(&events), [LossCause::WorkerEnded { address, call }]);
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
fn a_run_that_is_not_listed_tells_when_the_account_was_asked_for() {
    let (mut cell, number) = begun(1);
    let mut next = cell.lead(false);
    cell.turns(&mut next, 3);
    let seen = next.take_events();
    assert!(losses(&seen).is_empty());
    cell.workers[number].expire_for_test();
    cell.turn(&mut next);
    let [LossCause::NotListed { asked, listed_from, .. }] = losses(&next.take_events())[..] else {
        panic!("it is gone");
    };
    // The fake answers in no time, and the run was adopted with the first account.
    assert_eq!((asked, listed_from), (TimeSpan(0), TimeSpan(60)));
}

/// What a lead says of a run that worker 1 lists.
fn belief(cell: &FakeCell, lead: &mut Scheduler, run: RunningRow) -> KnownTaskState {
    lead.take_events();
    let answer = listing(cell, run);
    lead.hold_answered(WorkerKey(1), answer, cell.now, cell.now);
    let unwanted = lead.take_events().into_iter().find_map(|event| match event {
        CellEvent::RunUnwanted { known_state, .. } => Some(known_state),
        _ => None,
    });
    unwanted.expect("it is not wanted")
}

#[test]
fn a_run_that_is_not_wanted_tells_what_is_believed_instead() {
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
    assert_eq!(belief(&cell, &mut lead, row(1, 5)), placed);
    assert_eq!(belief(&cell, &mut lead, row(9, 1)), KnownTaskState::Unknown);
    lead.cancel_job(JobId(2), cell.now);
    cell.end_anywhere(task(2, 0, 0), RunEnd::Stopped);
    cell.poll_worker(&mut lead, WorkerKey(0));
    let over = belief(&cell, &mut lead, row(2, 5));
    assert_eq!(over, KnownTaskState::JobOver(JobState::Cancelled));
}

#[test]
fn a_worker_that_leaves_list_and_roster_is_told() {
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
    let told = changes(&events, &cell.workers[1].entry.life);
    assert_eq!(told, ["listed", "unlisted", "left the roster", "listed again"]);
}

#[test]
fn the_first_worker_that_knows_a_later_lead_is_told() {
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
fn a_watch_tells_its_last_sign_and_how_long_its_authority_lasts() {
    let timing = AuthorityTiming::default();
    let begin = Moment(50_000);
    let mut own = LeadWatch::new(BoxName::from("a"), 1, BoxStrength(250), begin);
    assert_eq!(own.authority_until(), None);
    own.note_own_record(own.next_claim("127.0.0.1:1"), begin, 1, &timing);
    let until = begin.after(timing.term);
    // Also once it is over, to tell since when.
    assert_eq!(own.authority_until(), Some(until));
    let mut other = LeadWatch::new(BoxName::from("b"), 2, BoxStrength(250), begin);
    let read = begin.after(TimeSpan(30));
    other.note_record(own.newest().unwrap().clone(), read);
    other.note_reachable(true);
    let now = read.after(TimeSpan(20));
    let sign = other.liveness(now);
    assert_eq!((sign.last_heard, sign.reachable, sign.gone), (read, true, false));
    other.note_connection_refused();
    assert!(other.liveness(now).gone);
    own.note_record(other.next_claim("127.0.0.1:2"), now);
    assert_eq!(own.authority_until(), None);
}

#[test]
fn rosters_are_told_apart_by_their_marks() {
    let roster = |count: u16| WorkerRoster {
        workers: (0..count).map(|number| worker_entry(number, 4)).collect(),
        shrunk: Vec::new(),
    };
    let read = WorkerRoster::decode(&roster(2).encode()).unwrap();
    assert_eq!(read.digest(), roster(2).digest());
    assert_ne!(roster(3).digest(), roster(2).digest());
}
