//! What jobs carry as their work, by which the workers of the stand-ins know how their tasks behave.

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

/// The cores that a task needs.
pub(super) fn cores_of(spec: &str) -> usize {
    spec.strip_prefix(WIDE_SPEC).and_then(|cores| cores.parse().ok()).unwrap_or(1)
}
