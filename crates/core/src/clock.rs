//! An injectable monotonic clock.

use std::time::{Duration, Instant};

/// Time since the process started, by its monotonic clock.
pub type Moment = Duration;

/// Source of the current [`Moment`]; wraps a closure, so that tests can control the time.
#[derive(Clone)]
pub struct Clock {
    read: std::sync::Arc<dyn Fn() -> Moment + Send + Sync>,
}

impl Clock {
    /// Creates a clock that returns the results of `read`.
    pub fn new(read: impl Fn() -> Moment + Send + Sync + 'static) -> Self {
        Self {
            read: std::sync::Arc::new(read),
        }
    }

    /// Creates a clock that reads the operating system's monotonic clock and starts at zero.
    #[must_use]
    pub fn system() -> Self {
        let start = Instant::now();
        Self::new(move || start.elapsed())
    }

    /// Reads the clock.
    #[must_use]
    pub fn now(&self) -> Moment {
        (self.read)()
    }
}

impl std::fmt::Debug for Clock {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Clock({:?})", self.now())
    }
}
