//! Selects the source from which a daemon reads the contents of the store.
//!
//! Each call to the store costs money, and a store that rejects some daemons may still serve
//! others. In a large fleet, two daemons of each failure domain read the store and the others read
//! from them. Every daemon derives the same two from the list of daemons. A daemon whose source
//! fails uses the next one, so the loss of a daemon or of the connection to the store makes the
//! copy stale only briefly.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Moment;
use crate::ids::{DaemonId, FailureDomain, Incarnation, hash_parts};
use crate::routing::rendezvous::rendezvous_order;

/// Largest fleet in which all daemons read the store. So few daemons make few calls, which cost
/// little.
const SMALL_FLEET: usize = 12;
/// Daemons per failure domain that read the store for the others.
const READERS_PER_DOMAIN: usize = 2;
/// Rendezvous hash key for the selection of readers.
const READER_KEY: u64 = 0x5265_6164;
/// Time for which a failed source is not used.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

value! {
    /// Announcement of a daemon in the store.
    pub struct DaemonRecord {
        /// Name, unique in the fleet and stable across restarts.
        pub id: DaemonId,
        /// Failure domain that it runs in.
        pub domain: FailureDomain,
        /// Incarnation of the daemon; zero if not announced.
        pub incarnation: Incarnation,
        /// Address for other daemons.
        pub address: SocketAddr,
        /// Address for callers, if announced.
        pub caller_address: Option<SocketAddr>,
        /// Address for operators, if announced.
        pub operator_address: Option<SocketAddr>,
        /// Bandwidth of its VM, in megabits per second.
        pub link_mbps: u32,
    }

    /// Where to read the contents of the store.
    pub enum Source {
        /// The store itself.
        Store,
        /// Mirror of another daemon.
        Daemon(DaemonRecord),
    }
}

/// Whether all daemons of a fleet read the store, so that they are not told of others' observations.
#[must_use]
pub fn is_small_fleet(daemons: &[DaemonRecord]) -> bool {
    daemons.len() <= SMALL_FLEET
}

/// Maximum age at which data from a source is accepted. Data ages while it is transferred: a full
/// list saturates the smallest links for seconds, so `list_timeout` is added for it. Changes made
/// meanwhile are requested right after the list.
#[must_use]
pub fn max_source_age(mirror_age: Duration, list_timeout: Duration, is_list: bool) -> Duration {
    if is_list {
        mirror_age + list_timeout
    } else {
        mirror_age
    }
}

/// Source selection of one daemon.
#[derive(Debug, Clone)]
pub struct Sources {
    own: DaemonId,
    domain: FailureDomain,
    /// Failed sources, and until when they are not used.
    backed_off: Vec<(Source, Moment)>,
    /// Whether the last call to the store was not answered.
    has_lost_store: bool,
}

impl Sources {
    /// Creates the source selection of the daemon `own` in `domain`.
    #[must_use]
    pub fn new(own: DaemonId, domain: FailureDomain) -> Self {
        Self {
            own,
            domain,
            backed_off: Vec::new(),
            has_lost_store: false,
        }
    }

    /// Selects the best source that is not in its backoff; the store if there is none.
    pub fn choose(&mut self, now: Moment, daemons: &[DaemonRecord]) -> Source {
        self.backed_off.retain(|(_, until)| now < *until);
        let is_backed_off =
            |source: &Source| self.backed_off.iter().any(|(failed, _)| failed == source);
        let preferred = self.preferred(daemons);
        let chosen = preferred.into_iter().find(|source| !is_backed_off(source));
        chosen.unwrap_or(Source::Store)
    }

    /// Records that a source answered.
    pub fn record_answer(&mut self, source: &Source) {
        if *source == Source::Store {
            self.has_lost_store = false;
        }
    }

    /// Records that a source did not answer in time. The store is called once more: only the
    /// connection may have fallen silent, and those of other daemons at the same moment.
    pub fn record_silence(&mut self, now: Moment, source: Source) {
        let was_lost = self.has_lost_store;
        self.has_lost_store |= source == Source::Store;
        if was_lost || !self.has_lost_store {
            self.record_failure(now, source);
        }
    }

    /// Records that a source failed or that its data was too old.
    pub fn record_failure(&mut self, now: Moment, source: Source) {
        self.backed_off.push((source, now + FAILURE_BACKOFF));
    }

    /// Whether other daemons read from this one.
    #[must_use]
    pub fn reads_for_others(&self, daemons: &[DaemonRecord]) -> bool {
        let is_self = |daemon: &&DaemonRecord| daemon.id == self.own;
        daemons.len() > SMALL_FLEET && self.readers(daemons).iter().any(is_self)
    }

    /// All sources in order of preference.
    fn preferred(&self, daemons: &[DaemonRecord]) -> Vec<Source> {
        let readers = self.readers(daemons);
        let is_reader = readers.iter().any(|daemon| daemon.id == self.own);
        let reads_store = daemons.len() <= SMALL_FLEET || is_reader;
        let mut sources: Vec<Source> = readers
            .into_iter()
            .filter(|daemon| daemon.id != self.own)
            .map(|daemon| Source::Daemon(daemon.clone()))
            .collect();
        if reads_store {
            sources.insert(0, Source::Store);
        } else {
            let position = sources.len().min(READERS_PER_DOMAIN);
            sources.insert(position, Source::Store);
        }
        sources
    }

    /// Daemons with which this one exchanges what it has collected, if others read from it: the
    /// first reader of each domain with each other, and the second one with the first of its
    /// domain.
    #[must_use]
    pub fn collectors(&self, daemons: &[DaemonRecord]) -> Vec<DaemonRecord> {
        if daemons.len() <= SMALL_FLEET {
            return Vec::new();
        }
        let own_readers = domain_readers(&self.domain, daemons);
        let rank = own_readers.iter().position(|daemon| daemon.id == self.own);
        let collectors: Vec<&DaemonRecord> = match rank {
            None => Vec::new(),
            Some(0) => {
                let firsts = domains(daemons).into_iter().filter_map(|domain| {
                    let readers = domain_readers(domain, daemons);
                    readers.first().copied()
                });
                firsts.filter(|first| first.id != self.own).collect()
            }
            Some(_) => own_readers.into_iter().take(1).collect(),
        };
        collectors.into_iter().cloned().collect()
    }

    /// Daemons that read the store, those of this daemon's failure domain first. Their order within
    /// a domain differs between daemons to spread the load over the readers.
    fn readers<'a>(&self, daemons: &'a [DaemonRecord]) -> Vec<&'a DaemonRecord> {
        let mut domains = domains(daemons);
        domains.sort_by_key(|domain| **domain != self.domain);
        let swap = hash_parts(&[self.own.as_bytes()]) % 2 == 1;
        let mut readers = Vec::new();
        for domain in domains {
            let mut selected = domain_readers(domain, daemons);
            if swap {
                selected.reverse();
            }
            readers.extend(selected);
        }
        readers
    }
}

/// Daemons that read the store themselves: all of a small fleet, and the readers of a large one.
#[must_use]
pub fn store_readers(daemons: &[DaemonRecord]) -> Vec<&DaemonRecord> {
    if is_small_fleet(daemons) {
        return daemons.iter().collect();
    }
    let domains = domains(daemons).into_iter();
    domains
        .flat_map(|domain| domain_readers(domain, daemons))
        .collect()
}

/// Failure domains of the daemons, sorted.
fn domains(daemons: &[DaemonRecord]) -> Vec<&FailureDomain> {
    let mut domains: Vec<&FailureDomain> = daemons.iter().map(|one| &one.domain).collect();
    domains.sort();
    domains.dedup();
    domains
}

/// Daemons of a domain that read the store for the others, in the same order at each daemon.
fn domain_readers<'a>(
    domain: &FailureDomain,
    daemons: &'a [DaemonRecord],
) -> Vec<&'a DaemonRecord> {
    let members = daemons.iter().filter(|one| one.domain == *domain);
    let members: Vec<&DaemonRecord> = members.collect();
    let mut order = rendezvous_order(READER_KEY, members.iter().map(|one| one.id.as_str()));
    // Readers send configurations of a thousand routes to many daemons at once and therefore need
    // the highest bandwidth.
    order.sort_by_key(|position| Reverse(members[*position].link_mbps));
    let readers = order.iter().take(READERS_PER_DOMAIN);
    readers.map(|position| members[*position]).collect()
}
