//! Short soaks: a fixed seed, and the seeds that found a violation once, each with its cause.

use std::time::Duration;

use sedgehill_standin::soak::{
    KeptConnections, SoakFault, SoakPlan, SoakProfile, SoakSize, draw_plan, run_soak,
};

/// Seeds that found a violation once, each with its cause.
const REGRESSIONS: &[(u64, &str)] = &[
    (
        104,
        "the check asked another box within 3 s of the acceptance, when that box need not know the job yet",
    ),
    (107, "same cause as seed 104"),
];

/// Duration of the load of one seed, in seconds.
const LOAD_SECONDS: u64 = 8;

async fn assert_no_broken_rule(seed: u64) {
    let directory = tempfile::tempdir().unwrap();
    let report = run_soak(seed, LOAD_SECONDS, SoakSize::default(), directory.path()).await.unwrap();
    assert!(report.accepted > 20, "{report:?}");
    assert!(report.broken.is_empty(), "seed {seed}: {report:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_short_soak_breaks_no_rule() {
    assert_no_broken_rule(20_261_202).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn seeds_that_once_failed_break_no_rule() {
    for (seed, _) in REGRESSIONS {
        assert_no_broken_rule(*seed).await;
    }
}

/// One of three organisations at a time sends several times what its limit carries, under all faults. A job that boxes
/// refused at each of its calls must not run, also when a lead is lost or a box appends jobs by itself.
#[tokio::test(flavor = "multi_thread")]
async fn no_job_runs_that_was_refused_at_each_call_beside_limits_seed_302() {
    let directory = tempfile::tempdir().unwrap();
    let size = SoakSize { profile: SoakProfile::Limits, ..SoakSize::default() };
    let report = run_soak(302, LOAD_SECONDS, size, directory.path()).await.unwrap();
    assert!(report.accepted > 20, "{report:?}");
    assert!(report.broken.is_empty(), "{report:?}");
}

/// Gangs as wide as half of the cell run among narrow jobs, with slow advice and boxes whose questions fail. The scheduler
/// must also ask about gangs for which it expects too little room. When it did not, some gangs stalled until the end:
/// `"msg":"step stalled","reason":"expected_room","share_percent":30,"places":96,"waiting":43,"asked_ms_ago":null`.
#[tokio::test(flavor = "multi_thread")]
async fn no_job_stalls_beside_wide_gangs_and_slow_advice() {
    let directory = tempfile::tempdir().unwrap();
    let size = SoakSize {
        boxes: 4,
        workers: 24,
        profile: SoakProfile::Wide,
        faults: false,
        ..SoakSize::default()
    };
    let report = run_soak(20_261_203, LOAD_SECONDS, size, directory.path()).await.unwrap();
    assert!(report.accepted > 100, "{report:?}");
    assert!(report.broken.is_empty(), "{report:?}");
}

/// Runs of long-running jobs fail in a cell that narrow jobs fill, with slow advice. Their tasks must not queue behind all
/// waiting steps. When they were ranked by the age of their job, they were without a run for up to 48 s:
/// `"msg":"task without a run","cause":"failed","reason":"no_room","ahead":5,"tickets":0`.
#[tokio::test(flavor = "multi_thread")]
async fn long_running_tasks_run_again_in_a_full_cell() {
    let directory = tempfile::tempdir().unwrap();
    let size = SoakSize {
        boxes: 4,
        workers: 12,
        profile: SoakProfile::Full,
        faults: false,
        ..SoakSize::default()
    };
    let report = run_soak(20_261_204, 2 * LOAD_SECONDS, size, directory.path()).await.unwrap();
    assert!(report.long_running >= 6, "{report:?}");
    assert!(report.accepted > 50, "{report:?}");
    assert!(report.broken.is_empty(), "{report:?}");
}

/// A lead is lost while many steps wait for advice. Of six boxes, two answer only short questions and one is silent, and
/// gangs stall for 3.1 to 5.0 s while no fault is active: `"msg":"step stalled","reason":"no_helper"`.
#[tokio::test(flavor = "multi_thread")]
async fn wide_gangs_find_a_box_to_ask_after_a_lost_lead_seed_205() {
    let directory = tempfile::tempdir().unwrap();
    let size =
        SoakSize { boxes: 6, workers: 48, profile: SoakProfile::Wide, ..SoakSize::default() };
    let report = run_soak(205, 10, size, directory.path()).await.unwrap();
    assert!(report.accepted > 100, "{report:?}");
    assert!(report.broken.is_empty(), "{report:?}");
}

async fn assert_no_unrelated_job_failed(seed: u64) {
    let directory = tempfile::tempdir().unwrap();
    let size = SoakSize { boxes: 6, workers: 24, ..SoakSize::default() };
    let report = run_soak(seed, 6, size, directory.path()).await.unwrap();
    assert!(report.accepted > 20, "{report:?}");
    assert!(report.broken.is_empty(), "seed {seed}: {report:?}");
}

/// A start that stays unanswered when its worker ends must not fail a job whose tasks crash no worker. When such starts
/// counted as crashes of their task, the soak reported: "was accepted and is failed".
#[tokio::test(flavor = "multi_thread")]
async fn unanswered_starts_fail_no_unrelated_job_seed_505() {
    assert_no_unrelated_job_failed(505).await;
}

/// Same fault as with seed 505, with other timing.
#[tokio::test(flavor = "multi_thread")]
async fn unanswered_starts_fail_no_unrelated_job_seed_426() {
    assert_no_unrelated_job_failed(426).await;
}

#[test]
fn a_seed_gives_the_same_faults_each_time() {
    let size = SoakSize::default();
    assert_eq!(draw_plan(7, 20, size), draw_plan(7, 20, size));
    assert_ne!(draw_plan(7, 20, size), draw_plan(8, 20, size));
}

/// Signals, planned stops, and changes of the configuration and of workers come in series, while callers use their
/// connections until the processes are gone.
#[tokio::test(flavor = "multi_thread")]
async fn a_short_soak_with_series_breaks_no_rule() {
    let directory = tempfile::tempdir().unwrap();
    let size = SoakSize { boxes: 4, workers: 12, series: true, ..SoakSize::default() };
    let report = run_soak(20_261_205, LOAD_SECONDS, size, directory.path()).await.unwrap();
    assert!(report.accepted > 20 && report.kept_calls > 200, "{report:?}");
    assert!(report.broken.is_empty(), "{report:?}");
}

/// Returns whether the plan has a fault that `first` selects, and within `span` after it one that `second` selects.
fn has_pair(
    plan: &SoakPlan,
    span: Duration,
    first: impl Fn(SoakFault) -> bool,
    second: impl Fn(SoakFault, SoakFault) -> bool,
) -> bool {
    plan.iter().enumerate().filter(|(_, (_, fault))| first(*fault)).any(|(index, (at, fault))| {
        let later = plan[index + 1..].iter().take_while(|(other, _)| *other - *at <= span);
        later.into_iter().any(|(_, other)| second(*fault, *other))
    })
}

#[test]
fn series_overlap() {
    let size = SoakSize { boxes: 6, workers: 24, series: true, ..SoakSize::default() };
    let plan = draw_plan(7, 60, size);
    let near = Duration::from_secs(1);
    let is_stop = |fault| matches!(fault, SoakFault::Stop(_));
    let same_box = |stop, other| matches!((stop, other), (SoakFault::Stop(a), SoakFault::Pause(b, _)) if a == b);
    assert!(has_pair(&plan, near, is_stop, same_box), "no box is paused while it stops");
    let another = |stop, other| is_stop(other) && stop != other;
    assert!(has_pair(&plan, near, is_stop, another), "no stops overlap");
    let is_change = |fault| fault == SoakFault::Configure;
    assert!(has_pair(&plan, near, is_change, |_, other| is_change(other)), "no series of changes");
    assert!(has_pair(&plan, near, is_stop, |_, other| is_change(other)), "no change during a stop");
}

/// A machine that boots is away for 40 s and more. Some leads are lost while workers are lost or come back.
#[test]
fn some_workers_come_back_late() {
    let size = SoakSize { boxes: 6, workers: 24, series: true, ..SoakSize::default() };
    let plan = draw_plan(7, 90, size);
    let is_lead = |fault| matches!(fault, SoakFault::KillLead(_) | SoakFault::PauseLead(_));
    let back: Vec<Duration> = plan
        .iter()
        .filter_map(|(at, fault)| match fault {
            SoakFault::WorkerBoots(_, boot, _) => {
                assert!(*boot >= Duration::from_secs(40), "{boot:?}");
                Some(*at + *boot)
            }
            _ => None,
        })
        .filter(|back| *back < Duration::from_secs(90))
        .collect();
    let near = Duration::from_secs(3);
    let lead_is_lost_at = |back: &Duration| {
        plan.iter().any(|(at, fault)| is_lead(*fault) && *at >= *back && *at - *back <= near)
    };
    assert!(back.len() > 5, "{back:?}");
    assert!(back.iter().any(lead_is_lost_at), "{back:?}");
}

/// A call that is cut off is excused by a kill of its box since the connection was opened, and by nothing else.
#[test]
fn only_a_kill_excuses_a_call_that_is_cut_off() {
    let kept = KeptConnections::new(2);
    let opened = kept.kills(0);
    kept.record_signal(0, "SIGKILL");
    kept.record_cut(0, opened, "reset");
    assert_eq!(kept.violations(), Vec::<String>::new());
    kept.record_signal(1, "SIGTERM");
    kept.record_signal(1, "SIGSTOP");
    kept.record_cut(1, kept.kills(1), "reset");
    kept.record_cut(0, kept.kills(0), "reset");
    assert_eq!(kept.violations().len(), 2);
}

/// A box may end only when it is asked to stop, and then with exit code 0.
#[test]
fn a_process_that_ends_unasked_is_a_violation() {
    let kept = KeptConnections::new(1);
    kept.record_signal(0, "SIGTERM");
    kept.record_end(0, Some(0));
    assert_eq!(kept.violations(), Vec::<String>::new());
    kept.record_start(0);
    kept.record_end(0, Some(0));
    kept.record_signal(0, "SIGTERM");
    kept.record_end(0, None);
    assert_eq!(kept.violations().len(), 2);
}
