//! The list of jobs that boxes may have stored without the lead.
//!
//! Guards against refusing a job as not run although its record reached the store.

use sedgehill_cell::ids::JobId;
use sedgehill_cell::unsettled::{UNSETTLED_FOR, UnsettledJobs, UnsettledReport};
use sedgehill_core::units::{Moment, TimeSpan};

const NOTED: Moment = Moment(50_000);

fn after(millis: u64) -> Moment {
    NOTED.after(TimeSpan(millis))
}

#[test]
fn a_job_is_kept_for_its_time_and_a_renewed_note_for_longer() {
    let mut jobs = UnsettledJobs::new(8);
    assert!(jobs.note(JobId(1), NOTED));
    assert!(jobs.may_include(JobId(1), NOTED.after(UNSETTLED_FOR)));
    assert!(!jobs.may_include(JobId(2), NOTED));
    assert!(!jobs.note(JobId(1), after(6_000)));
    let end = after(6_000).after(UNSETTLED_FOR);
    assert!(jobs.may_include(JobId(1), end));
    assert!(!jobs.may_include(JobId(1), end.after(TimeSpan(1))));
}

#[test]
fn a_full_list_counts_every_job_until_the_one_without_room_expires() {
    let mut jobs = UnsettledJobs::new(2);
    for id in 1..=3 {
        jobs.note(JobId(id), NOTED);
    }
    let end = NOTED.after(UNSETTLED_FOR);
    assert!(jobs.may_include(JobId(99), end));
    assert!(!jobs.may_include(JobId(99), end.after(TimeSpan(1))));
    // The lead that receives the report refuses nothing either.
    let mut at_lead = UnsettledJobs::new(8);
    at_lead.merge(&jobs.report_of(&[JobId(3)], after(100)), after(100));
    assert!(at_lead.may_include(JobId(99), end));
    assert!(!at_lead.may_include(JobId(99), end.after(TimeSpan(1))));
    // Expired notes make room again.
    assert!(jobs.note(JobId(4), end.after(TimeSpan(1))));
    assert!(!jobs.may_include(JobId(99), end.after(TimeSpan(1))));
}

#[test]
fn a_reported_job_has_the_age_that_it_has_at_its_box() {
    let mut at_box = UnsettledJobs::new(8);
    at_box.note(JobId(1), NOTED);
    at_box.note(JobId(2), after(4_000));
    let report = at_box.report(after(5_000));
    // The clocks of two boxes have nothing in common.
    let mut at_lead = UnsettledJobs::new(8);
    let received = Moment(20_000);
    at_lead.merge(&report, received);
    let kept = |millis| received.after(TimeSpan(millis));
    assert!(at_lead.may_include(JobId(1), kept(5_000)));
    assert!(!at_lead.may_include(JobId(1), kept(5_001)));
    assert!(at_lead.may_include(JobId(2), kept(9_000)));
    // An older report does not shorten the time of a newer one.
    let older = UnsettledReport { jobs: vec![(JobId(2), TimeSpan(9_000))], overflow_age: None };
    at_lead.merge(&older, received);
    assert!(at_lead.may_include(JobId(2), kept(9_000)));
    assert!(at_box.report_of(&[JobId(1)], after(10_001)).is_empty());
}

#[test]
fn a_job_that_is_known_not_to_be_stored_is_removed() {
    let mut jobs = UnsettledJobs::new(8);
    jobs.note(JobId(1), NOTED);
    jobs.forget(JobId(1));
    assert!(!jobs.may_include(JobId(1), NOTED));
    assert!(jobs.report(NOTED).is_empty());
}
