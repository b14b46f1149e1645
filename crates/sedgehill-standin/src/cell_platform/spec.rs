//! Work specifications of jobs, from which the stand-in workers know how a task behaves.
//!
//! The daemons pass the text on without reading it.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Range;

use super::life::StandinRun;

/// Time after which a run of a long-running task fails.
const FAILURE_TIME_MS: Range<u64> = 2_000..20_000;

/// Prefix of the work of jobs whose first task crashes its worker. The time from start to crash in milliseconds
/// follows.
pub const CRASH_SPEC: &str = "crash ";

/// Returns how many milliseconds after its start a task crashes its worker, if it does.
pub(super) fn crash_time(task: &str, spec: &str) -> Option<u64> {
    let after = spec.strip_prefix(CRASH_SPEC)?.parse().ok()?;
    task.ends_with(".0.0.0").then_some(after)
}

/// The work of jobs with gangs.
pub const GANG_SPEC: &str = "gang";

/// Prefix of the work of jobs with gangs of large members. The cores of a member follow.
pub const WIDE_SPEC: &str = "wide ";

/// Prefix of the work of jobs with larger tasks. The cores of a task follow.
pub const SIZED_SPEC: &str = "sized ";

/// Prefix of the work of long-running jobs, of which each run fails after 2 to 20 seconds. The cores of a task follow.
pub const LONG_RUNNING_SPEC: &str = "long-running ";

/// Returns the cores that a task needs: 1 unless its work says otherwise.
pub(super) fn cores_of(spec: &str) -> usize {
    let prefixes = [WIDE_SPEC, SIZED_SPEC, LONG_RUNNING_SPEC];
    let cores = prefixes.iter().find_map(|prefix| spec.strip_prefix(prefix));
    cores.and_then(|cores| cores.parse().ok()).unwrap_or(1)
}

/// Returns after how many milliseconds a run fails if its task is long-running, drawn from the task and the run.
pub(super) fn failure_time(task: &str, run: u64, spec: &str) -> Option<u64> {
    spec.strip_prefix(LONG_RUNNING_SPEC)?;
    let mut hasher = DefaultHasher::new();
    (task, run).hash(&mut hasher);
    Some(FAILURE_TIME_MS.start + hasher.finish() % (FAILURE_TIME_MS.end - FAILURE_TIME_MS.start))
}

/// Returns whether a run belongs to a long-running task, which ends only by a failure.
pub fn is_long_running(run: &StandinRun) -> bool {
    run.fails_at.is_some()
}
