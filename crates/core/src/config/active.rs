//! The configuration in force at this daemon. Its version never falls.

value! {
    /// What became of a configuration that was offered.
    pub enum Offered {
        /// It is in force now.
        Activated {
            /// Version that was in force before.
            before: Option<u64>,
        },
        /// It is in force already.
        Known,
        /// A later one is in force.
        Older {
            /// Version in force.
            kept: u64,
        },
    }
}

/// A configuration and its version.
#[derive(Debug, Clone)]
pub struct ActiveConfig<T> {
    /// Invariant: replaced only by one of a greater version.
    current: Option<(u64, T)>,
}

impl<T> Default for ActiveConfig<T> {
    fn default() -> Self {
        Self { current: None }
    }
}

impl<T> ActiveConfig<T> {
    /// The configuration in force.
    #[must_use]
    pub fn get(&self) -> Option<&T> {
        self.current.as_ref().map(|(_, config)| config)
    }

    /// Its version.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.current.as_ref().map(|(version, _)| *version)
    }

    /// Takes a configuration that somebody knows of.
    ///
    /// # Panics
    /// If a configuration would revert.
    pub fn offer(&mut self, version: u64, config: T) -> Offered {
        let before = self.version();
        match before {
            Some(kept) if kept > version => return Offered::Older { kept },
            Some(kept) if kept == version => return Offered::Known,
            _ => self.current = Some((version, config)),
        }
        assert!(self.version() > before, "a configuration would revert");
        Offered::Activated { before }
    }
}
