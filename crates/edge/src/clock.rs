//! A clock that goes on while the VM is suspended.

use std::time::Duration;

use lapismoor_core::Clock;
use rustix::time::{ClockId, clock_gettime};

/// A clock over the time since boot. The age of what is known of the store must count suspended
/// time, which the monotonic clock leaves out.
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
