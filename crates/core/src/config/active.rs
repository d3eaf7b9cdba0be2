//! Active configuration of this daemon, of either kind. Its version never decreases.

value! {
    /// Result of [`ConfigInForce::offer`].
    pub enum Offered {
        /// The offered configuration is now active.
        NowInForce {
            /// Previously active version; none if there was none.
            before: Option<u64>,
        },
        /// This version was already active.
        AlreadyInForce,
        /// A newer version stays active.
        Older {
            /// Active version.
            kept: u64,
        },
    }
}

/// Active routing or profile configuration, with its version.
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
    /// Active configuration; none before the first offer.
    #[must_use]
    pub fn get(&self) -> Option<&T> {
        self.current.as_ref().map(|(_, config)| config)
    }

    /// Version of the active configuration.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.current.as_ref().map(|(version, _)| *version)
    }

    /// Activates a configuration if it is newer than the active one.
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
            "the version of the active configuration must increase"
        );
        Offered::NowInForce { before }
    }
}
