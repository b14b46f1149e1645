//! Reads the monotonic clock and the wall clock of the machine.

use std::time::{SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use sedgehill_core::units::Moment;

/// Returns the current time of a monotonic clock that also advances while the machine is suspended.
pub fn now() -> Moment {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("CLOCK_BOOTTIME is available");
    Moment(time.tv_sec() as u64 * 1000 + time.tv_nsec() as u64 / 1_000_000)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch. It may step back; [`now`] measures intervals.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}
