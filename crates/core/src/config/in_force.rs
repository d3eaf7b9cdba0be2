//! Configuration in force at this daemon, of either kind. Its version never decreases.

value! {
    /// Result of [`ConfigInForce::offer`].
    pub enum Offered {
        /// The offered configuration is now in force.
        NowInForce {
            /// Version that was in force before; none if there was none.
            before: Option<u64>,
        },
        /// This version was already in force.
        AlreadyInForce,
        /// A newer version stays in force.
        Older {
            /// Version in force.
            kept: u64,
        },
    }
}

/// Routing or profile configuration in force, with its version.
#[derive(Debug, Clone)]
pub struct ConfigInForce<T> {
    /// Invariant: replaced only by a greater version.
    current: Option<(u64, T)>,
}

impl<T> Default for ConfigInForce<T> {
    fn default() -> Self {
        Self { current: None }
    }
}

impl<T> ConfigInForce<T> {
    /// Configuration in force; none before the first offer.
    #[must_use]
    pub fn get(&self) -> Option<&T> {
        self.current.as_ref().map(|(_, config)| config)
    }

    /// Version of the configuration in force.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.current.as_ref().map(|(version, _)| *version)
    }

    /// Puts a configuration in force if it is newer than the current one.
    ///
    /// # Panics
    /// If the version would not increase.
    pub fn offer(&mut self, version: u64, config: T) -> Offered {
        let before = self.version();
        match before {
            Some(kept) if kept > version => return Offered::Older { kept },
            Some(kept) if kept == version => return Offered::AlreadyInForce,
            _ => self.current = Some((version, config)),
        }
        assert!(
            self.version() > before,
            "the version of the configuration in force must increase"
        );
        Offered::NowInForce { before }
    }
}
