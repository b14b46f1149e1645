//! The admission decision as a function of its inputs, and the estimate of waits under a limit.
//!
//! Guards against refusing a job that could be of use, and against accepting one that cannot.

use sedgehill_cell::ids::JobId;
use sedgehill_cell::organisation::ResourceLimit;
use sedgehill_cell::scheduler::{
    AdmissionDecision, AdmissionInputs, AdmissionReason, BacklogGroup, BacklogRank, CountedRun,
    InflowShare, LimitLoad, RunForecast, StartQuery, decide_admission,
};
use sedgehill_core::units::{CoreCount, Moment, TimeSpan};

use crate::fake::cores;

const NOW: Moment = Moment(50_000);
const ACCEPT: AdmissionDecision = AdmissionDecision::Accept;

/// The same while accepted work may fill the limit from now on.
fn busy(wait: u64) -> AdmissionInputs {
    AdmissionInputs { inflow: InflowShare { lower: 0, upper: 100 }, ..inputs(wait) }
}

/// A job with an objective of 3 s, worth a part until 9 s, that waits for `wait` milliseconds.
fn inputs(wait: u64) -> AdmissionInputs {
    AdmissionInputs {
        age: TimeSpan(0),
        objective: TimeSpan(3_000),
        chain: RunForecast {
            lower: TimeSpan(1_000),
            expected: TimeSpan(1_500),
            upper: TimeSpan(9_000),
        },
        fits_limit: true,
        wait: Some(TimeSpan(wait)),
        urgent: InflowShare::default(),
        late_wait: Some(TimeSpan(wait)),
        inflow: InflowShare::default(),
        promised_in: None,
        time_to_clear: TimeSpan(20_000),
        tasks_ahead: 0,
        view_age: TimeSpan(0),
    }
}

fn decide(inputs: AdmissionInputs) -> (AdmissionDecision, AdmissionReason) {
    let outcome = decide_admission(&inputs);
    (outcome.decision, outcome.reason)
}

fn defer(millis: u64) -> (AdmissionDecision, AdmissionReason) {
    let decision = AdmissionDecision::Defer { retry_after: TimeSpan(millis) };
    (decision, AdmissionReason::RoomLater)
}

const TOO_LATE: (AdmissionDecision, AdmissionReason) =
    (AdmissionDecision::Reject { retry_after: TimeSpan(20_000) }, AdmissionReason::TooLate);

#[test]
fn a_job_is_refused_only_if_it_is_late_by_its_optimistic_forecast() {
    // In time by the lower forecast, although late by the expected and the upper one.
    assert_eq!(decide(busy(2_000)), (ACCEPT, AdmissionReason::InTime));
    assert_eq!(decide(busy(2_001)), defer(2_001));
    // With room at once, nothing is gained by a retry.
    let long = RunForecast { lower: TimeSpan(3_500), ..busy(0).chain };
    let long = AdmissionInputs { chain: long, ..busy(0) };
    assert_eq!(decide(long), (ACCEPT, AdmissionReason::RoomNow));
}

#[test]
fn a_late_job_is_accepted_if_the_organisation_can_catch_up_in_time() {
    let filled =
        |upper| AdmissionInputs { inflow: InflowShare { lower: 0, upper }, ..inputs(3_000) };
    assert_eq!(decide(filled(0)), (ACCEPT, AdmissionReason::StillUseful));
    assert_eq!(decide(filled(60)), (ACCEPT, AdmissionReason::StillUseful), "7.5 s and 1.5 s");
    assert_eq!(decide(filled(61)), defer(3_000));
}

#[test]
fn a_caller_is_deferred_only_if_its_retry_in_whole_seconds_helps() {
    assert_eq!(decide(busy(7_000)), defer(7_000));
    assert_eq!(decide(busy(7_001)), TOO_LATE, "it would come back after 8 s and end after 9.5 s");
    let old = AdmissionInputs { age: TimeSpan(5_000), ..busy(2_000) };
    assert_eq!(decide(old), defer(2_000));
    let older = AdmissionInputs { age: TimeSpan(7_000), ..busy(2_000) };
    assert_eq!(decide(older), TOO_LATE);
    assert_eq!(decide(AdmissionInputs { wait: None, late_wait: None, ..busy(0) }), TOO_LATE);
    // While accepted work is sure to take the room, no retry helps.
    let lasting = InflowShare { lower: 95, upper: 100 };
    assert_eq!(decide(AdmissionInputs { inflow: lasting, ..busy(2_001) }), TOO_LATE);
}

#[test]
fn work_of_more_urgent_queues_that_keeps_arriving_makes_a_job_wait_longer() {
    let beside =
        |lower| AdmissionInputs { urgent: InflowShare { lower, upper: 100 }, ..busy(1_000) };
    assert_eq!(decide(beside(50)), (ACCEPT, AdmissionReason::InTime));
    assert_eq!(decide(beside(51)), defer(1_000));
    let at_once = AdmissionInputs { wait: Some(TimeSpan(0)), ..beside(200) };
    assert_eq!(decide(at_once), (ACCEPT, AdmissionReason::InTime));
}

#[test]
fn a_caller_that_comes_back_as_told_is_accepted_or_told_for_good() {
    let back = |late_wait, promised| AdmissionInputs {
        age: TimeSpan(4_000),
        late_wait: Some(TimeSpan(late_wait)),
        promised_in: Some(TimeSpan(promised)),
        ..busy(4_000)
    };
    assert_eq!(decide(back(0, 0)), (ACCEPT, AdmissionReason::RoomNow));
    assert_eq!(decide(back(3_500, 0)), (ACCEPT, AdmissionReason::StillUseful));
    assert_eq!(decide(back(3_501, 0)), TOO_LATE);
    let filled = InflowShare { lower: 95, upper: 100 };
    assert_eq!(decide(AdmissionInputs { inflow: filled, ..back(600, 0) }), TOO_LATE);
    // One that comes back early keeps its time.
    assert_eq!(decide(back(600, 1_200)), defer(1_200));
    assert_eq!(decide(back(0, 1_200)), (ACCEPT, AdmissionReason::RoomNow));
}

#[test]
fn a_job_beyond_the_limit_is_told_so_at_once() {
    let (decision, reason) = decide(AdmissionInputs { fits_limit: false, ..inputs(0) });
    assert_eq!(reason, AdmissionReason::ExceedsLimit);
    assert_eq!(decision, AdmissionDecision::Reject { retry_after: TimeSpan(20_000) });
}

fn limit(count: u64) -> ResourceLimit {
    ResourceLimit { cores: Some(CoreCount(count * 1_000)), ..ResourceLimit::default() }
}

/// Tasks of one core and one second.
fn group(job: u64, priority: u32, count: u32) -> BacklogGroup {
    BacklogGroup {
        job: JobId(job),
        rank: BacklogRank { over_share: false, priority, latest_start: job },
        count,
        gang: false,
        need: cores(1),
        duration: Some(TimeSpan(1_000)),
        available_at: NOW,
        accepted: NOW,
    }
}

/// An organisation with four cores under its limit, of which each is released a second after the one
/// before, and the first `endless` never.
fn load_with(endless: u64) -> LimitLoad {
    let run = |number: u64| CountedRun {
        need: cores(1),
        end: (number > endless).then(|| NOW.after(TimeSpan(1_000 * number))),
        priority: 2,
        stoppable: true,
    };
    let runs = (1..=4).map(run).collect();
    LimitLoad::new(cores(4), runs, NOW)
}

fn load() -> LimitLoad {
    load_with(0)
}

fn wait(load: &LimitLoad, group: BacklogGroup, stop: Option<TimeSpan>) -> Option<u64> {
    let limit = limit(4);
    let query = StartQuery { groups: &[group], limit: &limit, stop, horizon: TimeSpan(8_192) };
    load.time_to_start(&query, NOW).map(|wait| wait.0)
}

/// Returns whether a wait is as expected, within two of the estimate's slots of 16 ms.
fn is_about(wait: Option<u64>, expected: u64) -> bool {
    wait.is_some_and(|wait| wait.abs_diff(expected) <= 32)
}

#[test]
fn a_job_starts_when_runs_end_behind_the_work_that_ranks_before_it() {
    let mut load = load();
    assert!(is_about(wait(&load, group(9, 1, 1), None), 1_000));
    // Ahead of it, a job starts two tasks after 1 s and 2 s, and another of a lower rank none.
    load.add_waiting(group(1, 1, 2));
    load.add_waiting(group(2, 2, 50));
    assert!(is_about(wait(&load, group(9, 1, 1), None), 2_000));
    assert!(is_about(wait(&load, group(9, 1, 2), None), 3_000));
    assert!(is_about(wait(&load, group(0, 0, 1), None), 1_000));
    // A promise delays late work, but none that can still end in time.
    load.add_promised(group(3, 0, 1));
    assert!(is_about(wait(&load, group(9, 1, 1), None), 2_000));
    load.remove(JobId(1));
    assert!(is_about(wait(&load, group(9, 1, 1), None), 1_000));
}

#[test]
fn a_gang_waits_until_it_fits_whole() {
    let gang = |count| BacklogGroup { gang: true, ..group(9, 1, count) };
    assert!(is_about(wait(&load(), gang(3), None), 3_000));
    assert_eq!(wait(&load(), gang(5), None), None);
    // Single tasks run in waves: the fifth starts when the first is done.
    assert!(is_about(wait(&LimitLoad::default(), group(9, 1, 5), None), 1_000));
}

#[test]
fn urgent_work_does_not_wait_for_runs_that_it_may_stop() {
    let stop = Some(TimeSpan(400));
    assert!(is_about(wait(&load(), group(9, 1, 4), stop), 400));
    // Of an equal priority, one starts after 1 s, two after 2 s, and the last after 3 s.
    assert!(is_about(wait(&load(), group(9, 2, 4), stop), 3_000));
}

#[test]
fn endless_runs_are_never_expected_to_leave() {
    let load = load_with(2);
    assert!(is_about(wait(&load, group(9, 1, 2), None), 4_000));
    let gang = BacklogGroup { gang: true, ..group(9, 1, 3) };
    assert_eq!(wait(&load, gang, None), None);
    assert_eq!(load.time_to_clear(&limit(4)), TimeSpan(3_500), "3 s and 4 s on two cores");
}
