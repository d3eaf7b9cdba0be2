//! Decides at which software version a stream goes on that a caller takes up again.

use std::time::Duration;

use crate::admission::Refusal;
use crate::ids::VersionHash;
use crate::membership::PossibleVersions;
use crate::stream::VersionBinding;

/// Delay before a retry of a caller whose stream a daemon may know that did not answer.
const RETRY_AFTER: Duration = Duration::from_millis(250);

value! {
    /// What is known of a stream that a caller takes up.
    #[derive(Copy)]
    pub struct ResumedStream {
        /// Version that began it, if any daemon knew it.
        pub origin: Option<VersionHash>,
        /// Versions at which it may have begun.
        pub possible: PossibleVersions,
        /// Whether the caller has received events of it.
        pub has_events: bool,
        /// Other daemons that hold such streams.
        pub asked: usize,
        /// Those that answered.
        pub answered: usize,
        /// Whether one of them knows that several versions may have begun it.
        pub others_know_several: bool,
        /// Whether this daemon's copy of the store is current.
        pub is_list_current: bool,
    }
}

impl ResumedStream {
    /// The version that began the stream, as far as it can be told. One whose origin is unknown
    /// must have begun at the only possible version. A daemon that was cut off may not have learned
    /// of another one yet, so that its list alone does not tell as long as there are others. Those that
    /// answer may have been cut off together with it: the one that knows may be among the others.
    #[must_use]
    pub fn version(&self) -> Option<VersionHash> {
        match (self.origin, self.possible) {
            (Some(version), _) => Some(version),
            (None, PossibleVersions::One(version)) => {
                let is_alone = self.asked == 0;
                let have_all_answered = !is_alone && self.answered == self.asked;
                let is_current = self.is_list_current && (is_alone || self.answered > 0);
                let is_informed = have_all_answered || is_current;
                (is_informed && !self.others_know_several).then_some(version)
            }
            (None, _) => None,
        }
    }

    /// Where the stream may go on. `serves` tells whether targets in use have a version.
    ///
    /// # Errors
    /// [`Refusal`] if no target may get it.
    pub fn bind(
        &self,
        serves: impl FnOnce(VersionHash) -> bool,
    ) -> Result<VersionBinding, Refusal> {
        match self.version() {
            Some(version) if serves(version) => Ok(VersionBinding::Only(version)),
            Some(_) => Err(Refusal::StreamVersionGone),
            None if self.possible == PossibleVersions::None => Err(Refusal::NoTarget),
            None if !self.has_events => Ok(VersionBinding::Free),
            None => {
                let is_incomplete = self.answered < self.asked;
                Err(Refusal::StreamOriginUnknown {
                    retry_after: is_incomplete.then_some(RETRY_AFTER),
                })
            }
        }
    }
}
