//! Configuration in force at this daemon, of either kind. Its version decreases only where the store
//! has lost versions, and gives them out again for later changes.

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
    /// Invariant: replaced only by a greater version, or by one that was accepted later.
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

    /// Puts a configuration in force if it has a greater version than the current one.
    pub fn offer(&mut self, version: u64, config: T) -> Offered {
        self.offer_if(version, config, |_| false)
    }

    /// Puts a configuration in force if it has a greater version than the current one, or if it is known to
    /// be later than that although its version is not greater.
    ///
    /// # Panics
    /// If the version does not increase and the configuration is not later, which the check before prevents.
    pub fn offer_if(
        &mut self,
        version: u64,
        config: T,
        is_later: impl FnOnce(&T) -> bool,
    ) -> Offered {
        let before = self.version();
        let is_later = self.get().is_some_and(is_later);
        if let Some(kept) = before
            && version <= kept
            && !is_later
        {
            return if kept == version {
                Offered::AlreadyInForce
            } else {
                Offered::Older { kept }
            };
        }
        self.current = Some((version, config));
        assert!(
            is_later || self.version() > before,
            "the version of the configuration in force must increase"
        );
        Offered::NowInForce { before }
    }
}
