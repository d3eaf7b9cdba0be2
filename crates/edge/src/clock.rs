//! A clock that keeps running while the VM is suspended.

use std::time::Duration;

use lapismoor_core::Clock;
use rustix::time::{ClockId, clock_gettime};

/// Creates a clock that starts at zero and is based on `CLOCK_BOOTTIME`. The age of the daemon's
/// copy of the store must include suspended time, which `CLOCK_MONOTONIC` does not count.
#[must_use]
pub fn boot_clock() -> Clock {
    let start = since_boot();
    Clock::new(move || since_boot().saturating_sub(start))
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}
