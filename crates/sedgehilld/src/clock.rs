//! The clocks of the machine.

use std::time::{SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use sedgehill_core::units::Moment;

/// Now, on a clock that never steps back and runs on while the machine is suspended.
pub fn now() -> Moment {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the machine has a boot clock");
    Moment(time.tv_sec() as u64 * 1000 + time.tv_nsec() as u64 / 1_000_000)
}

/// Now, in milliseconds of Unix time; for showing to people only.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}
