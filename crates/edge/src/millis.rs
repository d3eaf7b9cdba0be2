//! Durations in milliseconds, as used in logs, settings and status.

use std::time::Duration;

/// Whole milliseconds, rounded down and capped at `u64::MAX`.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Serde functions for a [`Duration`] as whole milliseconds.
pub(crate) mod whole {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub(crate) fn serialize<S: Serializer>(
        time: &Duration,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        super::millis(*time).serialize(serializer)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Duration, D::Error> {
        u64::deserialize(deserializer).map(Duration::from_millis)
    }
}
