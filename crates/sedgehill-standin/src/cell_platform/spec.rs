//! What jobs carry as their work, by which the workers of the stand-ins know how their tasks behave.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Range;

use super::life::StandinRun;

/// Runs of long-running tasks fail after so long.
const FAILS_AFTER_MS: Range<u64> = 2_000..20_000;

/// What jobs carry as their work whose first task crashes its workers, before the time from its start in milliseconds.
pub const CRASH_SPEC: &str = "crash ";

/// How long after its start a task crashes its worker; none if it does not.
pub(super) fn crash_time(task: &str, spec: &str) -> Option<u64> {
    let after = spec.strip_prefix(CRASH_SPEC)?.parse().ok()?;
    task.ends_with(".0.0.0").then_some(after)
}

/// What jobs with gangs carry as their work.
pub const GANG_SPEC: &str = "gang";

/// What jobs with gangs of large members carry as their work, before the cores of a member.
pub const WIDE_SPEC: &str = "wide ";

/// What jobs of larger tasks carry as their work, before the cores of a task.
pub const SIZED_SPEC: &str = "sized ";

/// What long-running jobs carry as their work, before the cores of a task. Each run of a task fails after some seconds.
pub const LONG_RUNNING_SPEC: &str = "long-running ";

/// The cores that a task needs.
pub(super) fn cores_of(spec: &str) -> usize {
    let prefixes = [WIDE_SPEC, SIZED_SPEC, LONG_RUNNING_SPEC];
    let cores = prefixes.iter().find_map(|prefix| spec.strip_prefix(prefix));
    cores.and_then(|cores| cores.parse().ok()).unwrap_or(1)
}

/// After how many milliseconds a run of a long-running task fails; none if the task is not of that kind.
pub(super) fn failure_time(task: &str, run: u64, spec: &str) -> Option<u64> {
    spec.strip_prefix(LONG_RUNNING_SPEC)?;
    let mut hasher = DefaultHasher::new();
    (task, run).hash(&mut hasher);
    Some(FAILS_AFTER_MS.start + hasher.finish() % (FAILS_AFTER_MS.end - FAILS_AFTER_MS.start))
}

/// Whether a run has no end but failure.
pub fn is_long_running(run: &StandinRun) -> bool {
    run.fails_at.is_some()
}
