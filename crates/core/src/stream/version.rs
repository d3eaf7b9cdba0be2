//! The software version at which a stream may go on.
//!
//! Targets of several software versions may serve side by side, and what two versions write does
//! not fit together. Targets do not check this.

use crate::ids::VersionHash;

value! {
    /// Where a stream may go on.
    #[derive(Copy, Default)]
    pub enum VersionBinding {
        /// Anywhere: the caller has received no event of it.
        #[default]
        Free,
        /// At targets with this software version, which began it.
        Only(VersionHash),
        /// Nowhere: the version that began it is not known.
        Unknown,
    }
}

impl VersionBinding {
    /// Binds a stream whose first event is delivered to the version of its target; `None` if the
    /// target was replaced meanwhile. A stream that is bound stays so.
    #[must_use]
    pub fn bind(self, version: Option<VersionHash>) -> Self {
        match self {
            Self::Free => version.map_or(Self::Unknown, Self::Only),
            bound => bound,
        }
    }

    /// Whether a target with this version may get the stream.
    #[must_use]
    pub fn allows(self, version: VersionHash) -> bool {
        match self {
            Self::Free => true,
            Self::Only(bound) => bound == version,
            Self::Unknown => false,
        }
    }
}
