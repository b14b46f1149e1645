//! The memory that a submitted job takes while it waits to be stored.

use sedgehill_cell::job::{JobSpec, StepSpec};

#[test]
fn the_memory_of_a_job_counts_all_that_a_caller_can_make_long() {
    const LENGTH: usize = 100_000;
    let job = |payload: &str, step: StepSpec| {
        JobSpec { payload: payload.into(), steps: vec![step], repeat: None }.memory_bytes()
    };
    let text = "t".repeat(LENGTH);
    let empty = job("", StepSpec::default());
    assert!(empty < 1_000, "{empty}");
    assert_eq!(job(&text, StepSpec::default()), empty + LENGTH);
    let label = Some(text.as_str().into());
    assert_eq!(job("", StepSpec { label, ..StepSpec::default() }), empty + LENGTH);
    let near_rack = Some(text.as_str().into());
    assert_eq!(job("", StepSpec { near_rack, ..StepSpec::default() }), empty + LENGTH);
    let after = vec![0; LENGTH];
    assert_eq!(job("", StepSpec { after, ..StepSpec::default() }), empty + 2 * LENGTH);
}
