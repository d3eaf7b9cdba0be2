//! Whom a daemon asks for what the store holds.
//!
//! Each call to the store is paid for, and a store that turns some daemons away still serves the
//! others. In a large fleet two daemons of each failure domain read the store and the others ask
//! them; every daemon works out the same two from the list of daemons. A daemon whose source fails
//! asks the next one, so that the loss of any daemon, or of the way to the store, costs freshness
//! for a moment only.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Moment;
use crate::ids::{DaemonId, FailureDomain, Incarnation, hash_parts};
use crate::routing::homes::home_order;

/// Daemons up to which all read the store: its price is small there.
const SMALL_FLEET: usize = 12;
/// Daemons of a failure domain that read the store for the others.
const READERS: usize = 2;
/// Key by which the readers are drawn.
const READER_KEY: u64 = 0x5265_6164;
/// Time for which a source that failed is left alone.
const REST: Duration = Duration::from_secs(1);

value! {
    /// A daemon as it announced itself.
    pub struct DaemonRecord {
        /// Name.
        pub id: DaemonId,
        /// Failure domain.
        pub domain: FailureDomain,
        /// This run of the daemon; zero if it did not tell.
        pub incarnation: Incarnation,
        /// Where other daemons reach it.
        pub address: SocketAddr,
        /// Where callers reach it, if it told.
        pub caller_address: Option<SocketAddr>,
        /// Where operators reach it, if it told.
        pub operator_address: Option<SocketAddr>,
        /// Bandwidth of its VM, in megabits a second.
        pub link_mbps: u32,
    }

    /// Whom to ask.
    pub enum Source {
        /// The store itself.
        Store,
        /// Another daemon.
        Daemon(DaemonRecord),
    }
}

/// Greatest age of what a source tells that is still taken. What it tells may be missing for as long
/// as it takes to arrive: a list of everything fills the smallest links for seconds, and what changed
/// meanwhile is asked for right after it.
#[must_use]
pub fn max_source_age(mirror_age: Duration, list_timeout: Duration, is_list: bool) -> Duration {
    if is_list {
        mirror_age + list_timeout
    } else {
        mirror_age
    }
}

/// Chooses sources.
#[derive(Debug, Clone)]
pub struct Sources {
    own: DaemonId,
    domain: FailureDomain,
    /// Sources that failed, and until when they are left alone.
    resting: Vec<(Source, Moment)>,
}

impl Sources {
    /// Sources for a daemon.
    #[must_use]
    pub fn new(own: DaemonId, domain: FailureDomain) -> Self {
        Self {
            own,
            domain,
            resting: Vec::new(),
        }
    }

    /// The source to ask now.
    pub fn choose(&mut self, now: Moment, daemons: &[DaemonRecord]) -> Source {
        self.resting.retain(|(_, until)| now < *until);
        let is_resting = |source: &Source| self.resting.iter().any(|(known, _)| known == source);
        let preferred = self.preferred(daemons);
        let chosen = preferred.into_iter().find(|source| !is_resting(source));
        chosen.unwrap_or(Source::Store)
    }

    /// Notes that a source failed, or knows too little.
    pub fn failed(&mut self, now: Moment, source: Source) {
        self.resting.push((source, now + REST));
    }

    /// Whether this daemon reads the store for others.
    #[must_use]
    pub fn reads_for_others(&self, daemons: &[DaemonRecord]) -> bool {
        let is_own = |daemon: &&DaemonRecord| daemon.id == self.own;
        daemons.len() > SMALL_FLEET && self.readers(daemons).iter().any(is_own)
    }

    /// All sources, the best first.
    fn preferred(&self, daemons: &[DaemonRecord]) -> Vec<Source> {
        let others = self.readers(daemons);
        let is_reader = others.iter().any(|daemon| daemon.id == self.own);
        let reads_store = daemons.len() <= SMALL_FLEET || is_reader;
        let mut sources: Vec<Source> = others
            .into_iter()
            .filter(|daemon| daemon.id != self.own)
            .map(|daemon| Source::Daemon(daemon.clone()))
            .collect();
        if reads_store {
            sources.insert(0, Source::Store);
        } else {
            let position = sources.len().min(READERS);
            sources.insert(position, Source::Store);
        }
        sources
    }

    /// Daemons that read the store, those of the own failure domain first; the first of them
    /// differs between daemons, so that each reader has its part of those who ask.
    fn readers<'a>(&self, daemons: &'a [DaemonRecord]) -> Vec<&'a DaemonRecord> {
        let mut domains: Vec<&FailureDomain> = daemons.iter().map(|one| &one.domain).collect();
        domains.sort();
        domains.dedup();
        domains.sort_by_key(|domain| **domain != self.domain);
        let swap = hash_parts(&[self.own.as_bytes()]) % 2 == 1;
        let mut readers = Vec::new();
        for domain in domains {
            let members = daemons.iter().filter(|one| one.domain == *domain);
            let members: Vec<&DaemonRecord> = members.collect();
            let mut order = home_order(READER_KEY, members.iter().map(|one| one.id.as_str()));
            // A configuration of a thousand routes goes to all who ask within a moment.
            order.sort_by_key(|position| Reverse(members[*position].link_mbps));
            let mut drawn: Vec<&DaemonRecord> = order
                .iter()
                .take(READERS)
                .map(|position| members[*position])
                .collect();
            if swap {
                drawn.reverse();
            }
            readers.extend(drawn);
        }
        readers
    }
}
